"""Shares of all instances stay within rate and burst together."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.documents.model import Workspace
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.admission import Admission, share_of_burst
from acaciaramp.limits.bucket import TokenBucket


@given(st.integers(1, 1_000), st.integers(1, 54))
def test_burst_shares_add_up(burst: int, instances: int) -> None:
    shares = [share_of_burst(burst, pos, instances) for pos in range(instances)]
    assert sum(shares) == burst


@given(st.lists(st.integers(0, 3_000), min_size=1, max_size=100))
def test_bucket_keeps_rate_and_burst_in_every_window(
    pauses_ms: list[int],
) -> None:
    clock = ManualClock()
    bucket = TokenBucket(2, 5, clock)
    admitted_ms = []
    for pause_ms in pauses_ms:
        clock.advance(pause_ms)
        while bucket.try_take():
            admitted_ms.append(clock.now_ms())
    for first, start_ms in enumerate(admitted_ms):
        for last, end_ms in enumerate(admitted_ms[first:], first):
            window_s = (end_ms - start_ms) / 1_000
            assert last - first + 1 <= 2 * window_s + 5 + 1e-6


def workspace(rate: float, burst: int) -> Workspace:
    return Workspace(name='medina', rate=rate, burst=burst)


def test_request_over_the_rate_is_refused_with_a_time_to_come_back() -> None:
    async def scenario() -> None:
        admission = Admission(
            position=0, instances=1, wait_ms=1_000, clock=ManualClock()
        )
        tenant = workspace(0.5, 1)
        await admission.admit(tenant)
        with pytest.raises(CallError) as caught:
            await admission.admit(tenant)
        assert caught.value.refusal.code is ErrorCode.RATE_LIMITED
        assert caught.value.refusal.retry_after_ms == 2_000

    anyio.run(scenario)


def test_short_wait_beats_a_refusal() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        admission = Admission(
            position=0, instances=1, wait_ms=1_000, clock=clock
        )
        tenant = workspace(2, 1)
        await admission.admit(tenant)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(admission.admit, tenant)
            await anyio.wait_all_tasks_blocked()
            clock.advance(500)

    anyio.run(scenario)


def test_instance_without_a_share_admits_nothing() -> None:
    async def scenario() -> None:
        admission = Admission(
            position=5, instances=6, wait_ms=1_000, clock=ManualClock()
        )
        with pytest.raises(CallError):
            await admission.admit(workspace(100, 5))

    anyio.run(scenario)
