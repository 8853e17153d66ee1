"""LoadBoard keeps the newest report and bounds what a false one does."""

from __future__ import annotations

from typing import Any

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.ids import EndpointId
from acaciaramp.metrics.client import Metrics
from acaciaramp.scheduling.load_board import (
    LoadBoard,
    LoadReport,
    RequestStart,
)
from acaciaramp.scheduling.pressure import Pressure

NAMES = tuple(f'e-{number}' for number in range(8))


def report(name: str = 'e-0', **changes: Any) -> LoadReport:
    fields: dict[str, Any] = {
        'endpoint': EndpointId(name),
        'running': 4,
        'waiting': 0,
        'slots': 8,
        'duration_percent': 100,
        'observed_ms': 0,
    }
    return LoadReport(**(fields | changes))


def board_at(now_ms: int) -> tuple[LoadBoard, ManualClock]:
    clock = ManualClock(now_ms)
    return LoadBoard(clock, Metrics()), clock


def test_a_late_report_does_not_replace_one_that_was_observed_later() -> None:
    board, _ = board_at(500)
    assert board.record(report(running=2, observed_ms=400), is_own=False)
    assert not board.record(report(running=7, observed_ms=300), is_own=False)
    assert board.load_of('e-0').running == 2
    assert board.load_of('e-0').reported_ms == 400


def test_an_assumed_duration_makes_every_report_news() -> None:
    """Guards against entries that admit by the load of half of the endpoints."""
    plain, _ = board_at(500)
    plain.record(report(duration_percent=None, observed_ms=400))
    assert not plain.take_news()
    assumed = LoadBoard(ManualClock(500), Metrics(), 100)
    assumed.record(report(duration_percent=None, observed_ms=400))
    assert [item.endpoint for item in assumed.take_news()] == ['e-0']
    assert assumed.load_of('e-0').duration_percent == 100


def test_a_report_that_arrives_twice_counts_requests_sent_since_once() -> None:
    board, clock = board_at(500)
    board.record(report(observed_ms=400), is_own=False)
    board.record_start('e-0')
    clock.advance(10)
    assert not board.record(report(observed_ms=400), is_own=False)
    assert board.load_of('e-0').busy == 5


def test_requests_that_were_sent_after_a_report_count_on_top_of_it() -> None:
    board, clock = board_at(100)
    board.record_start('e-0')
    clock.advance(100)
    board.record_start('e-0')
    clock.advance(100)
    board.record(report(observed_ms=150), is_own=False)
    assert board.load_of('e-0').busy == 5
    board.record(report(observed_ms=300))
    assert board.load_of('e-0').busy == 4
    board.record_end('e-0')
    assert board.load_of('e-0').busy == 3
    board.record_end('e-0')
    assert board.load_of('e-0').in_flight == 0


def test_requests_that_peers_have_sent_count_until_a_later_report() -> None:
    board, clock = board_at(5_000)
    board.record(report(observed_ms=4_900), is_own=False)
    for started_ms in (4_800, 4_950, 4_960, 5_001, 2_000):
        board.record_foreign_start(RequestStart(EndpointId('e-0'), started_ms))
    assert board.load_of('e-0').busy == 6
    board.record(report(observed_ms=4_955), is_own=False)
    assert board.load_of('e-0').busy == 5
    clock.advance(1)
    board.record(report(observed_ms=5_001))
    assert board.load_of('e-0').busy == 4


def test_starts_that_peers_report_are_bounded() -> None:
    board, _ = board_at(5_000)
    for _ in range(1_000):
        board.record_foreign_start(RequestStart(EndpointId('e-0'), 4_990))
        board.record_start('e-1')
    board.record(report(observed_ms=4_980), is_own=False)
    assert board.load_of('e-0').busy == 4 + 256


def test_starts_are_news_where_endpoints_state_their_speed() -> None:
    board, clock = board_at(5_000)
    board.record_start('e-0')
    board.record(report(observed_ms=5_000))
    clock.advance(5)
    board.record_start('e-0')
    assert board.take_starts() == [RequestStart(EndpointId('e-0'), 5_005)]
    assert board.take_starts() == []


def test_requests_of_other_instances_exclude_the_own_ones() -> None:
    board, _ = board_at(0)
    board.record_start('e-0')
    board.record(report(running=3, waiting=1))
    assert board.load_of('e-0').foreign == 3


def test_the_weight_of_a_report_ends_at_a_bound() -> None:
    board, clock = board_at(0)
    board.record(report())
    assert board.load_of('e-0').weight(clock.now_ms()) == 1
    clock.advance(1_000)
    assert board.load_of('e-0').weight(clock.now_ms()) == 0.5
    clock.advance(1_000)
    assert board.load_of('e-0').weight(clock.now_ms()) == 0
    assert board.pressure(NAMES) == Pressure()
    assert not board.record(report(), is_own=False)


@pytest.mark.parametrize(
    'changes',
    [
        {'running': -1},
        {'waiting': 100_001},
        {'slots': 100_001},
        {'duration_percent': 9},
        {'duration_percent': 10_001},
        {'observed_ms': 1},
    ],
)
def test_an_implausible_report_is_discarded_and_counted(
    changes: dict[str, Any],
) -> None:
    metrics = Metrics()
    board = LoadBoard(ManualClock(), metrics)
    assert not board.record(report(**changes))
    assert metrics.counts == {'bad_input.load': 1}
    assert board.load_of('e-0').slots == 0
    assert not board.take_news()


def test_the_duration_is_smoothed_over_reports_in_quick_succession() -> None:
    board, clock = board_at(0)
    board.record(report(duration_percent=100))
    clock.advance(10)
    board.record(report(duration_percent=200, observed_ms=10))
    assert board.load_of('e-0').duration_percent == 140
    clock.advance(400)
    board.record(report(duration_percent=250, observed_ms=410))
    assert board.load_of('e-0').duration_percent == 250
    clock.advance(400)
    board.record(report(duration_percent=None, observed_ms=810))
    assert board.load_of('e-0').duration_percent == 250


def test_news_are_the_newest_own_observations() -> None:
    board, clock = board_at(0)
    board.record(report(running=1))
    clock.advance(10)
    newest = report(running=2, observed_ms=10)
    board.record(newest)
    board.record(report('e-1', observed_ms=10), is_own=False)
    board.record(report('e-2', duration_percent=None, observed_ms=10))
    assert board.take_news() == [newest]
    assert board.take_news() == []


def test_pressure_is_the_load_of_the_endpoints_that_are_known() -> None:
    board, _ = board_at(0)
    for name in NAMES[:6]:
        board.record(report(name, running=8, waiting=2))
    board.record_start('e-0')
    pressure = board.pressure(NAMES)
    assert (pressure.running, pressure.waiting) == (48, 13)
    assert (pressure.slots, pressure.known_share) == (48, 0.75)
    assert (pressure.known, pressure.age_ms) == (6, 0)
    assert pressure.is_known


def test_pressure_of_unknown_endpoints_is_unknown() -> None:
    board, _ = board_at(0)
    board.record_start('e-0')
    assert board.pressure(NAMES) == Pressure()
    assert board.pressure(()) == Pressure()


def test_one_false_report_does_not_decide_the_load_of_a_service() -> None:
    board, _ = board_at(0)
    for name in NAMES[1:]:
        board.record(report(name, running=4))
    board.record(report(running=100_000, waiting=100_000))
    assert board.pressure(NAMES).waiting_per_slot <= 1
    board.record(report(running=0, slots=100_000))
    pressure = board.pressure(NAMES)
    assert pressure.slots <= 11 * 8
    assert pressure.running == pytest.approx(28)


def test_endpoints_that_are_not_listed_any_more_are_forgotten() -> None:
    board, _ = board_at(0)
    board.record(report())
    board.record_start('e-1')
    board.retain({'e-2'})
    assert board.load_of('e-0').slots == 0
    assert board.load_of('e-1').in_flight == 1
    assert board.take_news() == []
    board.record_end('e-1')
    board.retain({'e-2'})
    assert board.load_of('e-1').in_flight == 0
