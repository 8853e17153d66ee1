"""Local shares and grants together never exceed a workspace's rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.grants import RatePools, local_share
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import RateCheckpoint


def workspace(rate: float, burst: float) -> WorkspacePolicy:
    return WorkspacePolicy(
        name=build.WORKSPACE, keys=(), rate_per_s=rate, burst=burst
    )


def grant_many(pools: RatePools, tries: int, *, is_new: bool = False) -> int:
    """Request a token ``tries`` times; return how many are granted."""
    return sum(
        pools.grant(build.WORKSPACE, is_new=is_new).granted
        for _ in range(tries)
    )


def make_pools(
    clock: ManualClock, rate: float, burst: float, entries: int = 6
) -> RatePools:
    pools = RatePools(clock)
    pools.configure((workspace(rate, burst),), entries)
    return pools


def store_checkpoints(pools: RatePools) -> dict[str, RateCheckpoint]:
    checkpoints = pools.make_checkpoints()
    pools.on_checkpoints_stored(checkpoints)
    return checkpoints


def grant_all(pools: RatePools) -> int:
    """Request tokens until none is left; return how many are granted."""
    count = 0
    for _ in range(100):
        store_checkpoints(pools)
        count += grant_many(pools, 1_000)
    return count


@pytest.mark.parametrize('entries', [1, 6, 71])
@pytest.mark.parametrize('burst', [0.5, 5, 25, 138, 2_000])
def test_shares_and_pool_never_exceed_the_burst(
    entries: int, burst: float
) -> None:
    clock = ManualClock()
    pools = make_pools(clock, burst, burst, entries)
    clock.advance(60_000)
    local = entries * local_share(workspace(burst, burst), entries) * burst
    assert grant_all(pools) + local <= burst + 1e-6


def test_share_below_one_token_goes_to_the_pool() -> None:
    assert local_share(workspace(5, 5), 6) == 0
    assert local_share(workspace(138, 138), 6) > 0


def test_first_owner_starts_without_tokens() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 100, 100)
    assert grant_all(pools) == 0
    clock.advance(100)
    assert grant_all(pools) == 9


def test_nothing_is_granted_before_a_checkpoint_is_stored() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 10)
    clock.advance(60_000)
    reply = pools.grant(build.WORKSPACE, is_new=False)
    assert (reply.granted, reply.wait_ms) == (0, 40)
    assert pools.needs_checkpoint()


def test_last_tokens_are_reserved_for_started_programs() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 10)
    clock.advance(60_000)
    store_checkpoints(pools)
    assert grant_many(pools, 10, is_new=True) == 5
    store_checkpoints(pools)
    assert grant_many(pools, 10, is_new=True) == 2
    assert grant_all(pools) == 3


def test_lower_limits_remove_tokens() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 100, 100)
    clock.advance(60_000)
    pools.configure((workspace(10, 10),), 6)
    assert grant_all(pools) == 10


def test_new_owner_continues_from_the_checkpoint() -> None:
    clock = ManualClock()
    first = make_pools(clock, 10, 20)
    clock.advance(60_000)
    checkpoints = store_checkpoints(first)
    applied_ms = clock.now_ms()
    clock.advance(500)
    second = RatePools(clock)
    second.start(checkpoints, applied_ms)
    second.configure((workspace(10, 20),), 6)
    # The first owner may have granted its allowance of ten of the twenty
    # tokens since the checkpoint, as late as now.
    assert grant_all(second) == 10


@given(
    st.lists(
        st.tuples(
            st.integers(0, 400),
            st.integers(0, 30),
            st.booleans(),
            st.booleans(),
        ),
        max_size=60,
    )
)
def test_successive_owners_stay_within_one_rate(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 20)
    clock.advance(60_000)
    stored: dict[str, RateCheckpoint] = {}
    stored_ms = clock.now_ms()
    granted_ms: list[int] = []
    for pause_ms, tries, stores, changes_owner in steps:
        clock.advance(pause_ms)
        if stores:
            checkpoints = pools.make_checkpoints()
            granted_ms += [clock.now_ms()] * grant_many(pools, tries)
            stored, stored_ms = checkpoints, clock.now_ms()
            pools.on_checkpoints_stored(checkpoints)
        granted_ms += [clock.now_ms()] * grant_many(pools, tries)
        if changes_owner:
            pools = RatePools(clock)
            pools.start(stored, stored_ms)
            pools.configure((workspace(10, 20),), 6)
    for first, start_ms in enumerate(granted_ms):
        for count, end_ms in enumerate(granted_ms[first:], 1):
            assert count <= 20 + 10 * (end_ms - start_ms) / 1_000 + 1e-6
