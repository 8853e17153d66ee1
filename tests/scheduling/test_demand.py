"""The order of demand guards against serving in order of arrival."""

from __future__ import annotations

from typing import Any

from acaciaramp.scheduling.demand import Demand, position_of


def demand(**overrides: Any) -> Demand:
    fields: dict[str, Any] = {
        'priority': 1,
        'is_running': False,
        'latest_start_ms': 1_000,
    }
    return Demand(**(fields | overrides))


def test_running_programs_precede_new_ones_of_their_priority_only() -> None:
    """Guards against programs that are abandoned halfway for new ones."""
    new, running = demand(), demand(is_running=True)
    urgent = demand(priority=0)
    ranked = sorted([new, running, urgent], key=lambda item: item.order(0))
    assert ranked == [urgent, running, new]


def test_the_least_slack_is_served_first() -> None:
    later, sooner = demand(latest_start_ms=900), demand(latest_start_ms=800)
    by_program = demand(program_start_ms=500)
    ranked = sorted([later, sooner, by_program], key=lambda item: item.order(0))
    assert ranked == [by_program, sooner, later]


def test_programs_that_are_late_already_yield_to_those_in_time() -> None:
    """Guards against an overload in which only late work is served."""
    overdue = demand(program_start_ms=100, latest_start_ms=300)
    in_time = demand(program_start_ms=400)
    assert overdue.order(50) < in_time.order(50)
    assert in_time.order(200) < overdue.order(200)


def test_positions_are_spread_evenly() -> None:
    positions = [position_of(f'p-{number}') for number in range(1_000)]
    assert position_of('p-1') == positions[1]
    below = [sum(item < part / 10 for item in positions) for part in (2, 5)]
    assert abs(below[0] - 200) < 50
    assert abs(below[1] - 500) < 60
