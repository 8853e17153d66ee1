"""What the load of some endpoints says about all endpoints of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.ids import EndpointId
from acaciaramp.metrics.client import Metrics
from acaciaramp.scheduling.admission_level import (
    STEP_MS,
    AdmissionLevel,
    Load,
)
from acaciaramp.scheduling.demand import Demand
from acaciaramp.scheduling.load_board import LoadBoard, LoadReport

if TYPE_CHECKING:
    from acaciaramp.scheduling.pressure import Pressure

SLOTS = 8
FULL, EMPTY = 14, 2


def pressure_of(listed: int, *loads: int, age_ms: int = 0) -> Pressure:
    """Return the load of a service some of whose endpoints have reported.

    Args:
        listed: Number of its endpoints.
        *loads: Requests at those that have reported.
        age_ms: Age of the reports.
    """
    clock = ManualClock(10_000)
    board = LoadBoard(clock, Metrics())
    names = [f'e-{number}' for number in range(listed)]
    for name, load in zip(names, loads, strict=False):
        board.record(
            LoadReport(
                endpoint=EndpointId(name),
                running=min(load, SLOTS),
                waiting=max(0, load - SLOTS),
                slots=SLOTS,
                duration_percent=None,
                observed_ms=clock.now_ms(),
            )
        )
    clock.advance(age_ms)
    return board.pressure(names)


def judged(pressure: Pressure, percent: int = 100) -> tuple[int, Load | None]:
    """Return the level after one step from a percentage, and its judgement."""
    clock = ManualClock()
    level = AdmissionLevel(clock)
    level.record_arrival(
        Demand(priority=0, is_running=False, latest_start_ms=1_000)
    )
    level._percents[0] = percent
    clock.advance(STEP_MS)
    changes = level.update(pressure)
    return level.percent(0), changes[0].load if changes else None


@pytest.mark.parametrize('listed', [3, 23, 3_000])
def test_a_level_falls_if_all_endpoints_that_are_heard_are_full(
    listed: int,
) -> None:
    """Guards against taking few reports for no load: an overload that lasts."""
    heard = min(listed, 10)
    pressure = pressure_of(listed, *[FULL] * heard)
    assert judged(pressure) == (70, Load.HIGH)
    assert judged(pressure, 50) == (35, Load.HIGH)


@pytest.mark.parametrize(('listed', 'heard'), [(23, 2), (3_000, 2), (3, 1)])
def test_a_level_stays_if_too_few_are_heard_and_those_are_full(
    listed: int, heard: int
) -> None:
    """Guards against a rise while nothing speaks for free slots."""
    pressure = pressure_of(listed, *[FULL] * heard)
    assert not pressure.is_known
    assert judged(pressure) == (100, None)
    assert judged(pressure, 50) == (50, None)


@pytest.mark.parametrize(('listed', 'heard'), [(3, 3), (23, 3), (3_000, 30)])
def test_one_faulty_endpoint_neither_lowers_nor_raises_a_level(
    listed: int, heard: int
) -> None:
    pressure = pressure_of(listed, 90, *[4] * (heard - 1))
    assert judged(pressure)[0] == 100
    pressure = pressure_of(listed, 0, *[12] * (heard - 1))
    assert judged(pressure, 50)[0] <= 50


def test_few_endpoints_that_differ_are_no_certainty() -> None:
    """Guards against a level that follows which endpoints were heard last."""
    mixed = (FULL, EMPTY, FULL, FULL)
    assert judged(pressure_of(23, *mixed), 50) == (50, None)
    assert judged(pressure_of(23, *mixed * 5), 50) == (35, Load.HIGH)
    full = (FULL, FULL, FULL, FULL)
    assert judged(pressure_of(23, *full), 50) == (35, Load.HIGH)


def test_free_slots_of_some_endpoints_raise_the_level() -> None:
    """Guards against refusals that last longer than the overload."""
    assert judged(pressure_of(23, *[EMPTY] * 10), 50) == (65, Load.FREE)
    assert judged(pressure_of(3_000, *[EMPTY] * 10), 50) == (65, Load.FREE)
    assert judged(pressure_of(23), 50) == (60, Load.UNKNOWN)


def test_the_bounds_are_narrow_only_if_most_endpoints_are_known() -> None:
    few = pressure_of(23, 4, 8, 12)
    many = pressure_of(23, *(4, 8, 12) * 7)
    everyone = pressure_of(24, *(4, 8, 12) * 8)
    widths = [
        item.most_taken_share - item.least_taken_share
        for item in (few, many, everyone)
    ]
    assert widths[0] > 0.5
    assert widths[1] < 0.5
    assert widths[2] < widths[1]
    assert everyone.least_taken_share <= 1 <= everyone.most_taken_share


def test_old_reports_are_worth_less_than_new_ones() -> None:
    clock = ManualClock(10_000)
    board = LoadBoard(clock, Metrics())
    names = [f'e-{number}' for number in range(23)]
    for number, name in enumerate(names[:8]):
        if number == 4:
            clock.advance(1_800)
        board.record(
            LoadReport(
                endpoint=EndpointId(name),
                running=SLOTS,
                waiting=0 if number < 4 else 8,
                slots=SLOTS,
                duration_percent=None,
                observed_ms=clock.now_ms(),
            )
        )
    mixed = board.pressure(names)
    assert mixed.taken_share > 1.8
    fresh = pressure_of(23, *[16] * 8)
    assert mixed.over_estimate > fresh.over_estimate
