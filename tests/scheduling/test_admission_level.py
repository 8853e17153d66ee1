"""AdmissionLevel follows the load of a service."""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.scheduling.admission_level import (
    STEP_MS,
    AdmissionLevel,
    LevelChange,
    Load,
)
from acaciaramp.scheduling.demand import Demand
from acaciaramp.scheduling.pressure import Pressure

NOTHING_KNOWN = Pressure()
BUSY = Pressure(running=95, slots=100, known_share=1)
PILED_UP = Pressure(running=100, waiting=26, slots=100, known_share=1)
# Two endpoints of ten have all the queued requests.
UNEVEN = Pressure(running=60, waiting=48, slots=100, known_share=1)
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
        self.level.record_arrival(demand(0))

    @property
    def percent(self) -> int:
        return self.level.percent(0)

    def update(self, pressure: Pressure, times: int = 1) -> LevelChange | None:
        changes: list[LevelChange] = []
        for _ in range(times):
            self.clock.advance(STEP_MS)
            changes = self.level.update(pressure)
        return changes[0] if changes else None


def test_normal_operation_never_lowers_the_level() -> None:
    steps = Steps()
    for pressure in (FREE, BUSY, UNEVEN, NOTHING_KNOWN):
        steps.level.record_wait(demand(0), 0)
        assert steps.update(pressure, 5) is None
    assert steps.level.admits(demand(0.999))


def test_queues_at_the_endpoints_lower_the_level_within_a_second() -> None:
    """Guards against full queues that stay full: the observed overload."""
    steps = Steps()
    change = steps.update(PILED_UP)
    assert change is not None
    assert (change.before, change.after, change.load) == (100, 70, Load.HIGH)
    steps.update(PILED_UP, 4)
    assert steps.percent <= 20
    steps.update(PILED_UP, 20)
    assert steps.percent > 0


def test_the_level_stays_while_the_queues_drain() -> None:
    """Guards against a level so low that slots are empty after the queues."""
    steps = Steps()
    steps.update(PILED_UP)
    for waiting in (60, 50, 40, 30):
        pressure = Pressure(
            running=100, waiting=waiting, slots=100, known_share=1
        )
        steps.update(pressure)
    assert steps.percent == 49


def test_one_step_takes_at_least_its_time() -> None:
    """Guards against a level that falls by a factor with each request."""
    steps = Steps()
    steps.update(PILED_UP)
    for _ in range(100):
        assert not steps.level.update(PILED_UP)


def test_the_level_rises_slowly_and_stays_while_slots_are_taken() -> None:
    steps = Steps()
    steps.update(PILED_UP, 4)
    low = steps.percent
    steps.update(BUSY, 10)
    assert steps.percent == low
    steps.update(FREE, 2)
    assert low < steps.percent < 60
    steps.update(FREE, 8)
    assert steps.percent == 100


def test_a_level_without_news_is_full_within_two_seconds() -> None:
    """Guards against callers who are refused long after an overload."""
    steps = Steps()
    steps.update(PILED_UP, 20)
    steps.update(NOTHING_KNOWN, 10)
    assert steps.percent == 100
    steps.update(PILED_UP, 20)
    steps.clock.advance(2_000)
    steps.level.update(NOTHING_KNOWN)
    assert steps.percent == 100


def test_an_instance_that_knows_few_endpoints_uses_its_own_signals() -> None:
    """Guards against a level that follows two full endpoints of many."""
    steps = Steps()
    few = Pressure(running=16, waiting=40, slots=16, known_share=0.1)
    steps.level.record_attempt(is_failure=True)
    assert steps.update(few) is None
    for number in range(10):
        steps.level.record_attempt(is_failure=number < 4)
    change = steps.update(few)
    assert change is not None
    assert change.load is Load.HIGH


def test_refusals_of_one_faulty_endpoint_are_no_overload() -> None:
    steps = Steps()
    for _ in range(10):
        steps.level.record_attempt(is_failure=True)
    assert steps.update(FREE) is None


def test_waits_in_the_queue_lower_the_level() -> None:
    steps = Steps()
    steps.level.record_wait(demand(0), 0.25)
    assert steps.update(NOTHING_KNOWN) is None
    steps.level.record_wait(demand(0), 0.25)
    steps.level.record_wait(demand(0), 0.25)
    change = steps.update(NOTHING_KNOWN)
    assert change is not None
    assert change.load is Load.HIGH


def test_waits_before_a_pause_do_not_lower_the_level_after_it() -> None:
    steps = Steps()
    for _ in range(5):
        steps.level.record_wait(demand(0), 0.25)
    steps.clock.advance(3_000)
    assert steps.update(NOTHING_KNOWN) is None


def test_waits_of_a_lower_priority_do_not_lower_a_higher_one() -> None:
    """Guards against refusing the requests that the queue serves first."""
    steps = Steps()
    steps.level.record_arrival(demand(0, 2))
    for _ in range(5):
        steps.level.record_wait(demand(0, 0), 0)
        steps.level.record_wait(demand(0, 2), 0.5)
        steps.update(BUSY)
    assert steps.level.percent(0) == 100
    assert steps.level.percent(2) <= 20
    for _ in range(5):
        steps.level.record_wait(demand(0, 0), 0.5)
        steps.update(BUSY)
    assert steps.level.percent(0) <= 20


def test_queues_at_the_endpoints_lower_the_lowest_priority_first() -> None:
    steps = Steps()
    steps.level.record_arrival(demand(0, 2))
    steps.update(PILED_UP, 8)
    assert (steps.level.percent(0), steps.level.percent(2)) == (100, 5)
    steps.update(PILED_UP)
    assert steps.level.percent(0) == 70


def test_only_new_programs_are_refused_and_a_floor_is_kept() -> None:
    """Guards against a lower priority that is not served at all."""
    steps = Steps()
    positions = [number / 100 for number in range(100)]
    for position in positions:
        steps.level.record_arrival(demand(position, 0))
        steps.level.record_arrival(demand(position, 2))
    steps.update(PILED_UP, 8)
    admitted = [
        sum(steps.level.admits(demand(item, priority)) for item in positions)
        for priority in (0, 2)
    ]
    assert admitted[0] == 100
    assert admitted[1] in range(15, 25)
    assert steps.level.admits(demand(0.999, 2, is_running=True))
