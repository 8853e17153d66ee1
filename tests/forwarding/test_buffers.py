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


def test_other_bytes_count_without_a_limit_of_their_own() -> None:
    budget = make_budget(1_000)
    limit = BufferLimit(budget=budget)
    limit.count(900)
    assert budget.total_bytes == 900
    limit.count(-900)
    assert budget.total_bytes == 0
