"""Clients that run turns of agent programs."""

from __future__ import annotations

import asyncio
import random
import sys
from typing import TYPE_CHECKING

from harness import deployment as dep
from harness import http1

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MOST_TOKENS = 80
CHUNK_TOKENS = 11
TIME_BUDGET_S = 3.0
_PATH = '/lohu930/4b'
_RETRIES = 2


class Turn:
    """A turn as its client sees it.

    Attributes:
        attempt: Id of the client attempt.
        text: The input.
        answer: What came back.
    """

    def __init__(self, session: str, text: bytes | None = None) -> None:
        """Create a turn with a new id."""
        self.attempt = dep.new_attempt()
        self.text = text or f'input of {self.attempt} in {session}\n'.encode()
        self.answer = http1.Answer()

    @property
    def is_whole(self) -> bool:
        """Whether it was answered with success and completely."""
        return self.answer.status == 200 and self.answer.is_complete

    @property
    def content(self) -> bytes:
        """What it adds to the chain: the input, then the events' data."""
        lines = ''.join(f'{data}\n' for data in self.answer.events)
        return self.text + lines.encode()


async def run_turn(
    cluster: dep.Deployment,
    entry: int,
    session: str,
    previous: str = '',
    *,
    program: str = '',
    budget: int = 100_000,
    text: bytes | None = None,
) -> Turn:
    """Send a turn once, on a new channel, and wait for its end.

    Args:
        cluster: The deployment.
        entry: Number of the entry.
        session: Name of the line of turns.
        previous: Id of the turn that it continues from, if any.
        program: Name of the program; that of the line if empty.
        budget: Token budget of the program.
        text: The input; a new one if it is None.
    """
    turn = Turn(session, text)
    headers = {
        'Host': dep.HOST,
        'X-Attempt-Id': turn.attempt,
        'X-Model': 'm',
        'X-Program-Id': program or session,
        'X-Session-Id': session,
        'X-Program-Deadline-Ms': '90000',
        'X-Token-Budget': str(budget),
        'X-Token-Counts': f'60,{MOST_TOKENS}',
        'X-Deadline-Ms': str(int(TIME_BUDGET_S * 1000)),
        'Authorization': f'Bearer {dep.KEY}',
        **_previous_header(previous),
    }
    cluster.record.write(
        'sent', attempt=turn.attempt, entry=entry, session=session
    )
    turn.answer = await http1.request(
        cluster.entry_address(entry),
        'POST',
        _PATH,
        headers,
        turn.text,
        timeout_s=TIME_BUDGET_S,
    )
    cluster.record.write(
        'answered',
        attempt=turn.attempt,
        previous=previous,
        status=turn.answer.status,
        is_complete=turn.answer.is_complete,
        events=len(turn.answer.events),
        error=turn.answer.error,
    )
    return turn


def _previous_header(previous: str) -> Mapping[str, str]:
    return {'X-Previous-Turn': previous} if previous else {}


class EndlessProgram:
    """A program that starts sub-agents until its budget is spent.

    Attributes:
        name: Id of the program.
        budget: Its token budget.
        tokens: Tokens that its client got, with those of broken turns.
        is_stopped: Whether it was told that its budget is spent.
    """

    def __init__(self, name: str, cluster: dep.Deployment, budget: int) -> None:
        """Create the program; ``run_sub_agent`` runs a part of it."""
        self.name = name
        self.tokens = 0
        self.is_stopped = False
        self._cluster = cluster
        self.budget = budget

    async def run_sub_agent(self, number: int) -> None:
        """Run one turn after the other until the budget is spent."""
        previous = ''
        while not self.is_stopped:
            done = await self._run_turn(number, previous)
            if done is None:
                return
            previous = done

    async def _run_turn(self, number: int, previous: str) -> str | None:
        """Run a turn, sent again at most twice; None if it failed."""
        for _ in range(_RETRIES + 1):
            turn = await run_turn(
                self._cluster,
                number % 2,
                f'{self.name}-{number}',
                previous,
                program=self.name,
                budget=self.budget,
            )
            self.tokens += CHUNK_TOKENS * len(turn.answer.events)
            if turn.answer.status == 402:
                self.is_stopped = True
                return None
            if turn.is_whole:
                return turn.attempt
            await asyncio.sleep(random.uniform(0.1, 0.4))
        return None


def report_tokens(programs: Sequence[EndlessProgram]) -> bool:
    """Print what each program got; return whether the budgets were kept."""
    is_kept = True
    for program in programs:
        most = program.budget + MOST_TOKENS
        is_kept = is_kept and program.tokens <= most
        sys.stdout.write(
            f'{program.name}: {program.tokens} tokens of {most}, '
            f'stopped: {program.is_stopped}\n'
        )
    return is_kept
