"""Tests that few requests within the rate are rejected when the load moves."""

from __future__ import annotations

import pytest

from acaciaramp.bench.loans import LoadPlan, measure_loans

_MAX_REJECTED_FRACTION = 0.001


@pytest.mark.parametrize('seed', [1, 2])
def test_moving_load_within_the_rate_is_not_rejected(seed: int) -> None:
    plan = LoadPlan(load=0.8, duration_ms=20_000, seed=seed)
    result = measure_loans(plan)
    assert result.needless < _MAX_REJECTED_FRACTION
    assert result.most_over <= 0
