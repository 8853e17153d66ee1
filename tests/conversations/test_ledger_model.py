"""Random lives of turns against a small model.

A chain is whole or refused, programs are never handed out more tokens than their
budget and the most of one turn, and no kept turn is unknown.
"""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    TurnKey,
)
from acaciaramp.ids import ProgramId
from tests import builders as build

RETENTION_MS = 60_000
# Longer than the margin with which the ledger keeps turns.
LIMIT_MS = 30_000
COMMIT_MS = 3_000
BUDGET = 100
MOST_TOKENS = 30
# Wall clocks of entry instances differ by this much from the true time.
SKEW_MS = 2_000
# Callers come back at once, around the end of the retention, or not at all.
RESTS_MS = (0, 0, 100, 100, 1_000, 1_000, RETENTION_MS - SKEW_MS, 90_000)

_encode = msgspec.msgpack.Encoder().encode
positions = st.integers(0, 3)
skews = st.sampled_from((-SKEW_MS, 0, SKEW_MS))


class Turn(msgspec.Struct):
    """A turn in the model.

    Attributes:
        name: Request id.
        program: Program that it belongs to.
        chain: Contents before it.
        previous: Request id of the turn that it continues, if any.
        opened_ms: True time of its opening.
        ended_ms: True time of the end of its response; None if it has none.
    """

    name: str
    program: ProgramId
    chain: bytes
    previous: str | None
    opened_ms: int
    ended_ms: int | None = None

    @property
    def content(self) -> bytes:
        """Its input and output."""
        return f'{self.name}.'.encode()


class TurnLives(RuleBasedStateMachine):
    """Opens, ends and breaks off turns of two programs."""

    def __init__(self) -> None:
        """Begin with an empty ledger."""
        super().__init__()
        self.ledger = Ledger()
        self.now_ms = 0
        self.open: list[Turn] = []
        self.kept: list[Turn] = []
        self.handed_out: dict[ProgramId, int] = {}
        self.used_ms: dict[ProgramId, int] = {}
        self.names = 0

    @rule(program=st.sampled_from('pq'), position=positions, skew_ms=skews)
    def open_turn(self, program: str, position: int, skew_ms: int) -> None:
        """Open a turn that continues a kept one, or none."""
        previous = None
        if self.kept and position:
            previous = self.kept[-min(position, len(self.kept))]
        self.names += 1
        turn = Turn(
            name=f't{self.names}',
            program=self._current(program),
            chain=b''
            if previous is None
            else previous.chain + previous.content,
            previous=None if previous is None else previous.name,
            opened_ms=self.now_ms,
        )
        reply = self._open(turn, skew_ms)
        if reply.outcome is OpenOutcome.OPENED:
            assert reply.chain == turn.chain
            self.open.append(turn)
        elif reply.outcome is OpenOutcome.UNKNOWN_TURN:
            assert previous is not None
            assert previous.ended_ms is not None
            assert self.now_ms - previous.ended_ms > RETENTION_MS

    @precondition(lambda lives: lives.open)
    @rule(
        position=positions,
        tokens=st.sampled_from((0, 10, MOST_TOKENS)),
        lasts_ms=st.sampled_from((0, 100, LIMIT_MS)),
        commit_ms=st.sampled_from((0, 10, COMMIT_MS)),
        skew_ms=skews,
        is_committed=st.booleans(),
    )
    def end_turn(
        self,
        position: int,
        tokens: int,
        lasts_ms: int,
        commit_ms: int,
        skew_ms: int,
        *,
        is_committed: bool,
    ) -> None:
        """End a turn; its commit takes its time, or fails and is settled."""
        turn = self.open.pop(position % len(self.open))
        until_ms = turn.opened_ms + lasts_ms
        self._advance(max(0, until_ms - self.now_ms))
        is_late = self.now_ms > turn.opened_ms + LIMIT_MS
        asked_ms = self.now_ms + skew_ms
        kept = RetainedTurn(
            previous=turn.previous,
            content=turn.content,
            until_ms=asked_ms + RETENTION_MS,
        )
        self._hand_out(turn.program, tokens)
        self._advance(commit_ms)
        reply = self._close(
            turn, tokens, asked_ms, kept if is_committed else None
        )
        if not is_committed:
            return
        # Entries break off a turn at its time limit, so that none is as late.
        assert reply.is_stored or is_late
        if reply.is_stored:
            turn.ended_ms = self.now_ms
            self.kept.append(turn)

    @precondition(lambda lives: lives.open)
    @rule(position=positions, tokens=st.sampled_from((0, 10, MOST_TOKENS)))
    def break_off(self, position: int, tokens: int) -> None:
        """Break off a turn; how many tokens were handed out is not known."""
        turn = self.open.pop(position % len(self.open))
        self._hand_out(turn.program, tokens)

    @rule(duration_ms=st.sampled_from(RESTS_MS))
    def rest(self, duration_ms: int) -> None:
        """Let time pass, and let the ledger remove what has expired.

        No open turn is left: entries break them off at their time limit.
        """
        if duration_ms > LIMIT_MS:
            self.open.clear()
        self._advance(duration_ms)

    @rule()
    def restart(self) -> None:
        """Replace the ledger by one that is restored from its snapshot."""
        restored = Ledger()
        restored.restore(self.ledger.snapshot())
        self.ledger = restored

    def _current(self, name: str) -> ProgramId:
        """Return the id of a program; a new one if it has rested for too long.

        Programs return within the retention only.
        """
        program = ProgramId(name)
        while self.now_ms - self.used_ms.get(program, self.now_ms) > (
            RETENTION_MS
        ):
            program = ProgramId(f'{program}+')
        self.used_ms[program] = self.now_ms
        return program

    def _open(self, turn: Turn, skew_ms: int) -> OpenReply:
        command = OpenTurn(
            turn=TurnKey(build.WORKSPACE, turn.name),
            reservation=Reservation(
                program=turn.program, most_tokens=MOST_TOKENS, budget=BUDGET
            ),
            previous=turn.previous,
            at_ms=self.now_ms + skew_ms,
            lasts_ms=LIMIT_MS + COMMIT_MS,
        )
        reply = self.ledger.apply(_encode(command))
        assert isinstance(reply, OpenReply)
        return reply

    def _close(
        self, turn: Turn, tokens: int, at_ms: int, kept: RetainedTurn | None
    ) -> CloseReply:
        command = CloseTurn(
            turn=TurnKey(build.WORKSPACE, turn.name),
            program=turn.program,
            tokens=tokens,
            kept=kept,
            at_ms=at_ms,
        )
        reply = self.ledger.apply(_encode(command))
        assert isinstance(reply, CloseReply)
        return reply

    def _hand_out(self, program: ProgramId, tokens: int) -> None:
        self.used_ms[program] = self.now_ms
        total = self.handed_out.get(program, 0) + tokens
        self.handed_out[program] = total
        assert total <= BUDGET + MOST_TOKENS

    def _advance(self, duration_ms: int) -> None:
        """Let time pass; other entries' clocks are ahead."""
        self.now_ms += duration_ms
        key = TurnKey(build.WORKSPACE, 'other')
        self.ledger.apply(
            _encode(CloseTurn(turn=key, at_ms=self.now_ms + SKEW_MS))
        )
        self.ledger._sweep()


TestTurnLives = TurnLives.TestCase
TestTurnLives.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
