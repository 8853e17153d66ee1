"""What the programs of a workspace near its limit get.

Programs need several tokens each, one after the other; one that does not get a
token within its patience has failed, and what it used is wasted.
"""

from __future__ import annotations

import random

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.grants import RatePools
from acaciaramp.coordination.messages import GrantRequest
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

POLICY = WorkspacePolicy(name=build.WORKSPACE, keys=(), rate_per_s=6, burst=6)
WINDOW_MS = 5_000
TICK_MS = 20
DAY_MS = 120_000
STEP_MS = 250
PATIENCE_MS = 1_500


class Caller:
    """One program that needs a number of tokens, at most one each step."""

    def __init__(self, tokens: int, now_ms: int) -> None:
        """Create the program."""
        self.missing = tokens
        self.next_ms = now_ms
        self.give_up_ms = now_ms
        self.has_started = False
        self.tries = 2


def play(starts_per_s: float, seed: int) -> tuple[int, int]:
    """Play a day; return how many programs began in it and how many finished."""
    rng = random.Random(seed)
    clock = ManualClock()
    pools = RatePools(clock, WINDOW_MS)
    pools.configure((POLICY,), 170)
    clock.advance(WINDOW_MS)
    callers: list[Caller] = []
    begun = 0
    finished = 0
    while clock.now_ms() < DAY_MS:
        clock.advance(TICK_MS)
        pools.on_checkpoints_stored(pools.make_checkpoints())
        if rng.random() < starts_per_s * TICK_MS / 1_000:
            begun += 1
            tokens = rng.choice((5, 8, 8, 12, 20))
            callers.append(Caller(tokens, clock.now_ms()))
        rng.shuffle(callers)
        for caller in callers.copy():
            finished += step(pools, caller, callers, clock.now_ms())
    return begun, finished


def step(
    pools: RatePools, caller: Caller, callers: list[Caller], now_ms: int
) -> bool:
    """Let a program request its next token; return whether it has finished."""
    if now_ms < caller.next_ms:
        return False
    is_new = not caller.has_started
    reply = pools.grant(GrantRequest(build.WORKSPACE))
    if reply.granted:
        caller.has_started = True
        caller.missing -= 1
        caller.next_ms = now_ms + STEP_MS
        caller.give_up_ms = caller.next_ms + PATIENCE_MS
    elif is_new:
        # A first request is refused at once and comes back once.
        caller.tries -= 1
        caller.next_ms = now_ms + min(1_000, reply.wait_ms or 1_000)
    has_failed = not caller.tries or (
        caller.has_started and now_ms >= caller.give_up_ms
    )
    if has_failed or not caller.missing:
        callers.remove(caller)
    return not caller.missing


def possible(begun: int) -> float:
    """Return how many programs of the mean size the limit allows at most."""
    tokens = DAY_MS / WINDOW_MS * (6 * WINDOW_MS / 1_000 + 6)
    return min(begun, tokens / 10.6)


def test_within_its_limit_nearly_every_program_finishes() -> None:
    for seed in range(5):
        begun, finished = play(0.25, seed)
        assert finished > 0.8 * begun


def test_beyond_its_limit_most_of_it_is_used_by_programs_that_finish() -> None:
    for seed in range(5):
        begun, finished = play(2, seed)
        assert finished > 0.5 * possible(begun)
