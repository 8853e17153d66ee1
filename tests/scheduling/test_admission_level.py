"""AdmissionLevel follows the load of a service."""

from __future__ import annotations

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.scheduling.admission_level import (
    STEP_MS,
    AdmissionLevel,
    LevelChange,
    Load,
    admitted_shares,
)
from acaciaramp.scheduling.demand import Demand
from acaciaramp.scheduling.pressure import Pressure

NOTHING_KNOWN = Pressure()
BUSY = Pressure(running=95, slots=100, known_share=1)
PILED_UP = Pressure(running=100, waiting=60, slots=100, known_share=1)
FREE = Pressure(running=30, slots=100, known_share=1)


def demand(position: float, priority: int = 0, **overrides: bool) -> Demand:
    return Demand(
        priority=priority,
        is_running=overrides.get('is_running', False),
        latest_start_ms=1_000,
        position=position,
    )


class Steps:
    """A level whose clock moves by one step for each update."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.level = AdmissionLevel(self.clock)

    def update(self, pressure: Pressure, times: int = 1) -> LevelChange | None:
        change = None
        for _ in range(times):
            self.clock.advance(STEP_MS)
            change = self.level.update(pressure)
        return change


def test_normal_operation_never_lowers_the_level() -> None:
    steps = Steps()
    for pressure in (FREE, BUSY, NOTHING_KNOWN):
        steps.level.record_wait(0)
        assert steps.update(pressure, 5) is None
    assert steps.level.admits(demand(0.999))


def test_queues_at_the_endpoints_lower_the_level_within_a_second() -> None:
    """Guards against full queues that stay full: the observed overload."""
    steps = Steps()
    change = steps.update(PILED_UP)
    assert change is not None
    assert (change.before, change.after, change.load) == (100, 55, Load.HIGH)
    steps.update(PILED_UP, 4)
    assert steps.level.percent <= 10
    steps.update(PILED_UP, 20)
    assert steps.level.percent > 0


def test_one_step_takes_at_least_its_time() -> None:
    """Guards against a level that falls by a factor with each request."""
    steps = Steps()
    steps.update(PILED_UP)
    for _ in range(100):
        assert steps.level.update(PILED_UP) is None


def test_the_level_rises_slowly_and_stays_while_slots_are_taken() -> None:
    steps = Steps()
    steps.update(PILED_UP, 3)
    low = steps.level.percent
    steps.update(BUSY, 10)
    assert steps.level.percent == low
    steps.update(FREE, 2)
    assert low < steps.level.percent < 60
    steps.update(FREE, 8)
    assert steps.level.percent == 100


def test_a_level_without_news_is_full_within_two_seconds() -> None:
    """Guards against callers who are refused long after an overload."""
    steps = Steps()
    steps.update(PILED_UP, 20)
    steps.update(NOTHING_KNOWN, 10)
    assert steps.level.percent == 100
    steps.update(PILED_UP, 20)
    steps.clock.advance(2_000)
    steps.level.update(NOTHING_KNOWN)
    assert steps.level.percent == 100


def test_an_instance_that_knows_few_endpoints_uses_its_own_signals() -> None:
    """Guards against a level that follows two full endpoints of many."""
    steps = Steps()
    few = Pressure(running=16, waiting=40, slots=16, known_share=0.1)
    steps.level.record_attempt(is_refused=True)
    assert steps.update(few) is None
    for number in range(10):
        steps.level.record_attempt(is_refused=number < 4)
    change = steps.update(few)
    assert change is not None
    assert change.load is Load.HIGH


def test_refusals_of_one_faulty_endpoint_are_no_overload() -> None:
    steps = Steps()
    for _ in range(10):
        steps.level.record_attempt(is_refused=True)
    assert steps.update(FREE) is None


def test_waits_in_the_queue_lower_the_level() -> None:
    steps = Steps()
    steps.level.record_wait(0.25)
    steps.level.record_wait(0)
    change = steps.update(NOTHING_KNOWN)
    assert change is not None
    assert change.load is Load.HIGH


def test_waits_before_a_pause_do_not_lower_the_level_after_it() -> None:
    steps = Steps()
    steps.level.record_wait(0.25)
    steps.clock.advance(3_000)
    assert steps.update(NOTHING_KNOWN) is None


def test_only_new_programs_are_refused_lower_priorities_first() -> None:
    steps = Steps()
    positions = [number / 100 for number in range(100)]
    arrivals = [
        demand(item, priority) for item in positions for priority in (0, 2)
    ]
    for arrival in arrivals:
        steps.level.record_arrival(arrival)
    steps.update(PILED_UP)
    admitted = [item for item in arrivals if steps.level.admits(item)]
    high = sum(item.priority == 0 for item in admitted)
    low = len(admitted) - high
    assert high > 85
    assert low in range(15, 30)
    assert steps.level.admits(demand(0.999, 2, is_running=True))


@pytest.mark.parametrize('admitted', [0.05, 0.3, 0.6, 1])
def test_shares_add_up_and_leave_each_priority_a_floor(admitted: float) -> None:
    """Guards against a lower priority that is not served at all."""
    mix = {0: 27.9, 2: 10.2, 5: 1.0}
    shares = admitted_shares(mix, admitted)
    total = sum(shares[key] * count for key, count in mix.items())
    assert total == pytest.approx(admitted * sum(mix.values()))
    assert min(shares.values()) >= 0.25 * admitted
    ranked = [round(shares[priority], 6) for priority in mix]
    assert ranked == sorted(ranked, reverse=True)
