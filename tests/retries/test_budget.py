"""RetryBudget and WindowedRetryBudget bound the number of retries."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.retries.budget import RetryBudget, WindowedRetryBudget


@given(st.lists(st.booleans(), max_size=200))
def test_retries_never_exceed_ratio_and_reserve(events: list[bool]) -> None:
    budget = RetryBudget(ratio=0.1, reserve=2)
    requests = 0
    retries = 0
    for is_request in events:
        if is_request:
            budget.on_request()
            requests += 1
        elif budget.try_retry():
            retries += 1
        assert retries <= 0.1 * requests + 2


def test_retries_are_allowed_up_to_the_limit() -> None:
    budget = RetryBudget(ratio=0.1, reserve=1)
    for _ in range(20):
        budget.on_request()
    assert [budget.try_retry() for _ in range(4)] == [True, True, True, False]


def test_a_calm_time_allows_no_retries_after_its_window() -> None:
    """Guards against an hour's worth of retries within one overload."""
    clock = ManualClock()
    budget = WindowedRetryBudget(0.1, 2, 5_000, clock)
    for _ in range(1_000):
        budget.on_request()
    clock.advance(5_000)
    assert [budget.try_retry() for _ in range(3)] == [True, True, False]


def test_a_window_of_retries_is_bounded_and_then_free_again() -> None:
    clock = ManualClock()
    budget = WindowedRetryBudget(0.1, 1, 5_000, clock)
    for _ in range(20):
        budget.on_request()
    assert [budget.try_retry() for _ in range(4)] == [True, True, True, False]
    clock.advance(4_999)
    assert not budget.try_retry()
    clock.advance(1)
    assert budget.try_retry()
