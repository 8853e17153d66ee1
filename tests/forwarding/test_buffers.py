"""Responses that have arrived count in the budget for callers."""

from __future__ import annotations

import pytest

from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.forwarding.buffers import BufferLimit, ResponseBuffer
from acaciaramp.util.caller_budget import BudgetLimits, CallerBudget


def make_budget(most_bytes: int) -> CallerBudget:
    return CallerBudget(BudgetLimits(most_bytes), lambda *_: None)


def test_a_response_counts_until_it_was_sent() -> None:
    budget = make_budget(1_000)
    with ResponseBuffer(BufferLimit(budget=budget)) as buffer:
        buffer.append(300 * b'x')
        buffer.append(100 * b'y')
        assert budget.total_bytes == 400
        assert buffer.take() == 300 * b'x' + 100 * b'y'
        assert budget.total_bytes == 400
    assert budget.total_bytes == 0


def test_responses_take_up_to_half_of_the_budget() -> None:
    limit = BufferLimit(budget=make_budget(1_000))
    with ResponseBuffer(limit) as first, ResponseBuffer(limit) as second:
        first.append(400 * b'x')
        with pytest.raises(EndpointError):
            second.append(101 * b'x')
        second.append(100 * b'x')


# Guards against contents of endless streams that are held without a limit.
def test_collected_contents_share_the_limit_of_the_bodies() -> None:
    budget = make_budget(1_000)
    limit = BufferLimit(budget=budget)
    limit.add(400)
    assert budget.total_bytes == 400
    with ResponseBuffer(limit) as buffer:
        buffer.append(100 * b'x')
        with pytest.raises(EndpointError):
            limit.add(1)
    limit.remove(400)
    assert budget.total_bytes == 0


# Guards against ordinary responses that fail as endless ones hold all of the room.
def test_a_part_of_the_room_is_kept_for_small_responses() -> None:
    most_bytes = 1_000_000
    limit = BufferLimit(most_bytes)
    with ResponseBuffer(limit) as large, ResponseBuffer(limit) as small:
        large.append(750_000 * b'x')
        with pytest.raises(EndpointError):
            large.append(b'x')
        small.append(65_536 * b'x')
        with pytest.raises(EndpointError):
            small.append(b'x')
