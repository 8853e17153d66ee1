"""Who is served during and after an overload, on a fleet of fakes.

The earlier behaviour, in order of arrival, is played beside the admission control
on the same arrivals.
"""

from __future__ import annotations

import functools

import pytest

from tests.forwarding.load import Fleet, Kind, Record

HIGH = Kind(priority=0, rate=37, turns=3, factor=1.3, slack_ms=253)
LOW = Kind(priority=2, rate=13.5, turns=11, factor=1.4, slack_ms=503)
BURST_S = (4, 9)
RECOVERED_S = (12, 16)


@functools.cache
def play(*, has_control: bool, known: int = 23, total_s: int = 24) -> Fleet:
    """Return a fleet after a burst of 2.4 times for 5 s; 0.7 of it is used else."""
    fleet = Fleet(has_control=has_control, known=known)
    fleet.run([HIGH, LOW], BURST_S, total_s)
    return fleet


def started(
    records: list[Record], kind: Kind, span_s: tuple[float, float]
) -> list[Record]:
    return [
        record
        for record in records
        if record.kind == kind
        and span_s[0] <= record.started_ms / 1_000 < span_s[1]
    ]


def in_time(
    fleet: Fleet, kind: Kind, span_s: tuple[float, float] = (0, 16)
) -> float:
    """Return the share of programs within their target, by their start."""
    found = started(fleet.records, kind, span_s)
    return sum(record.is_in_time for record in found) / len(found)


def served(fleet: Fleet, kind: Kind, span_s: tuple[float, float]) -> float:
    """Return the share of programs that ended at all, by their start."""
    found = started(fleet.records, kind, span_s)
    return sum(record.ended_ms is not None for record in found) / len(found)


def test_more_programs_end_within_their_target_during_a_burst() -> None:
    """Guards against queues of work that is late already."""
    before, after = play(has_control=False), play(has_control=True)
    for kind in (HIGH, LOW):
        assert in_time(after, kind, BURST_S) > 1.5 * in_time(
            before, kind, BURST_S
        )
    assert in_time(after, HIGH, BURST_S) > 0.5
    # By then the endpoints' queues are full of what came first.
    assert in_time(before, HIGH, (7, 9)) < 0.1
    assert in_time(after, HIGH, (7, 9)) > 0.4


def test_normal_operation_is_back_within_three_seconds_of_a_burst() -> None:
    """Guards against an overload that outlives its cause."""
    before, after = play(has_control=False), play(has_control=True)
    assert in_time(before, HIGH, RECOVERED_S) < 0.5
    assert in_time(after, HIGH, RECOVERED_S) > 0.95
    assert served(after, HIGH, RECOVERED_S) > 0.95
    assert served(after, LOW, (14, 16)) > 0.9


def test_the_higher_priority_is_hurt_last_and_the_lower_keeps_a_floor() -> None:
    """Guards against a priority that starves, and against the wrong order."""
    after = play(has_control=True)
    high, low = served(after, HIGH, BURST_S), served(after, LOW, BURST_S)
    assert high > low
    assert low > 0.25 * high
    for second in range(4, 12):
        assert served(after, LOW, (second, second + 4)) > 0.1


def test_refusals_come_at_once_and_only_while_there_is_an_overload() -> None:
    """Guards against refusals by mistake, late ones and abandoned programs."""
    records = play(has_control=True).records
    refused = [record for record in records if record.refused_ms]
    # The earliest ones had been admitted before the burst.
    assert not started(refused, HIGH, (0, 4))
    assert not started(refused, LOW, (0, 3))
    waits_ms = sorted(wait for item in refused for wait in item.refused_ms)
    # A quarter of the objective of 1,000 ms.
    assert waits_ms[int(0.9 * len(waits_ms))] <= 250
    abandoned = [
        record
        for record in records
        if record.turns
        and record.ended_ms is None
        and record.started_ms < 14_000
    ]
    assert len(abandoned) < 0.02 * len(records)


def test_a_caller_that_gives_up_leaves_nothing_taken() -> None:
    """Guards against slots that are lost during an overload."""
    fleet = play(has_control=True)
    assert not any(overload._claims for overload in fleet.overloads)


def test_an_entry_that_knows_few_endpoints_still_ends_an_overload() -> None:
    """Guards against an entry that admits everything for lack of reports."""
    before = play(has_control=False, known=10, total_s=26)
    after = play(has_control=True, known=10, total_s=26)
    span_s = (16, 22)
    assert in_time(before, HIGH, span_s) < 0.4
    assert in_time(after, HIGH, span_s) > 0.8
    assert served(after, HIGH, span_s) > 0.9


@pytest.mark.parametrize('known', [23, 10])
def test_nobody_is_refused_at_seven_tenths_of_the_capacity(known: int) -> None:
    """Guards against refusals by mistake in normal operation."""
    fleet = Fleet(has_control=True, known=known)
    records = fleet.run([HIGH, LOW], (0, 0), 12)
    assert not any(record.refused_ms for record in records)


def test_a_hot_workspace_does_not_starve_the_others() -> None:
    """Guards against one workspace at 6.5 times that makes all others late."""
    kinds = [
        Kind(
            priority=1,
            rate=rate,
            turns=5,
            factor=1.4,
            slack_ms=400,
            workspace=name,
            burst=6.5 if name == 'hot' else 1,
        )
        for name, rate in (('a', 30), ('b', 24), ('hot', 8))
    ]
    fleets = []
    for has_control in (False, True):
        fleets.append(Fleet(has_control=has_control))
        fleets[-1].run(kinds, (4, 10.8), 20)
    before, after = fleets
    everyone = served_share(after.records, (4, 12))
    for kind in kinds:
        assert in_time(before, kind, (7, 14)) < 0.1
        assert in_time(after, kind, (7, 14)) > 0.4
        assert served(after, kind, (4, 12)) > 0.5 * everyone
        assert in_time(after, kind, (13, 15)) > 0.9


def served_share(records: list[Record], span_s: tuple[float, float]) -> float:
    found = [
        record
        for record in records
        if span_s[0] <= record.started_ms / 1_000 < span_s[1]
    ]
    return sum(record.ended_ms is not None for record in found) / len(found)
