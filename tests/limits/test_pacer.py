"""Pacer spaces slots evenly and never assigns more than its rate allows."""

from __future__ import annotations

import random

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.limits.pacer import Pacer

SPAN_MS = 4_000
BURST_MS = 500


def slot_times(
    pacer: Pacer, clock: ManualClock, longest_wait_ms: int, rng: random.Random
) -> list[int]:
    """Return the times of the slots of requests that come in clumps."""
    times: list[int] = []
    for _ in range(200):
        clock.advance(rng.choice((0, 0, 0, 20, 300, 900)))
        if pacer.wait_ms() <= longest_wait_ms:
            times.append(clock.now_ms() + pacer.wait_ms())
            pacer.reserve()
    return times


def most_in_span(times: list[int]) -> int:
    return max(
        sum(start <= at < start + SPAN_MS for at in times) for start in times
    )


@pytest.mark.parametrize('per_s', [0.4, 3.1, 20])
@pytest.mark.parametrize('longest_wait_ms', [0, 1_000])
def test_no_span_holds_more_slots_than_the_rate_allows(
    per_s: float, longest_wait_ms: int
) -> None:
    for seed in range(20):
        clock = ManualClock()
        pacer = Pacer(per_s, clock)
        times = slot_times(pacer, clock, longest_wait_ms, random.Random(seed))
        most = most_in_span(times)
        assert most <= per_s * (SPAN_MS + BURST_MS) / 1_000 + 1


def test_slots_are_assigned_in_order_at_even_intervals() -> None:
    clock = ManualClock()
    pacer = Pacer(4, clock)
    waits: list[int] = []
    for _ in range(4):
        waits.append(pacer.wait_ms())
        pacer.reserve()
    assert waits == [250, 500, 750, 1_000]


def test_unused_slots_of_half_a_second_may_be_used_at_once() -> None:
    clock = ManualClock()
    pacer = Pacer(4, clock)
    clock.advance(10_000)
    free = 0
    while pacer.wait_ms() == 0:
        pacer.reserve()
        free += 1
    assert free == 3


@pytest.mark.parametrize(('per_s', 'wait_ms'), [(8, 125), (2, 500)])
def test_a_changed_rate_holds_from_the_next_slot(
    per_s: float, wait_ms: int
) -> None:
    pacer = Pacer(4, ManualClock())
    pacer.set_rate(per_s)
    assert pacer.wait_ms() == wait_ms
