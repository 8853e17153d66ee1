"""Runs seeded fault schedules against the replicated log."""

from __future__ import annotations

import pytest

from tests.replication.fuzz import run_schedule

_BLOCKS = 20
_SCHEDULES = 50


@pytest.mark.parametrize('block', range(_BLOCKS))
def test_fault_schedules_keep_the_safety_properties(block: int) -> None:
    acknowledged = 0
    for seed in range(block * _SCHEDULES, (block + 1) * _SCHEDULES):
        acknowledged += len(run_schedule(seed).acknowledged)
    assert acknowledged > _SCHEDULES
