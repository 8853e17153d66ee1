"""Local shares and grants together never exceed a workspace's rate."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.grants import RatePools, local_share
from acaciaramp.coordination.messages import GrantRequest, RateCheckpoint
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

WINDOW_MS = 5_000


def workspace(rate: float, burst: float) -> WorkspacePolicy:
    return WorkspacePolicy(
        name=build.WORKSPACE, keys=(), rate_per_s=rate, burst=burst
    )


def grant_many(pools: RatePools, tries: int) -> int:
    """Request a token ``tries`` times; return how many are granted."""
    req = GrantRequest(build.WORKSPACE)
    return sum(pools.grant(req).granted for _ in range(tries))


def make_pools(
    clock: ManualClock,
    rate: float,
    burst: float,
    entries: int = 6,
    window_ms: int = WINDOW_MS,
) -> RatePools:
    pools = RatePools(clock, window_ms)
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
def test_shares_and_pool_never_exceed_the_limit(
    entries: int, burst: float
) -> None:
    clock = ManualClock()
    pools = make_pools(clock, burst, burst, entries)
    clock.advance(60_000)
    most = burst + burst * WINDOW_MS / 1_000
    local = entries * local_share(workspace(burst, burst), entries) * most
    assert grant_all(pools) + local <= most + 1e-6


def test_share_below_one_token_goes_to_the_pool() -> None:
    assert local_share(workspace(5, 5), 6) == 0
    assert local_share(workspace(138, 138), 6) > 0


def test_first_owner_waits_for_a_window() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 10)
    assert grant_all(pools) == 0
    clock.advance(WINDOW_MS)
    assert grant_all(pools) == 60


def test_nothing_is_granted_before_a_checkpoint_is_stored() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 10)
    clock.advance(60_000)
    reply = pools.grant(GrantRequest(build.WORKSPACE))
    assert (reply.granted, reply.wait_ms) == (0, 20)
    assert pools.needs_checkpoint()


def test_lower_limits_hold_for_the_present_window() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 100, 100)
    clock.advance(60_000)
    store_checkpoints(pools)
    assert grant_many(pools, 20) == 20
    pools.configure((workspace(2, 2),), 6)
    assert grant_all(pools) == 0
    clock.advance(WINDOW_MS)
    assert grant_all(pools) == 12


def test_new_owner_continues_from_the_checkpoint() -> None:
    clock = ManualClock()
    first = make_pools(clock, 10, 20)
    clock.advance(60_000)
    store_checkpoints(first)
    assert grant_many(first, 10) == 10
    checkpoints = store_checkpoints(first)
    applied_ms = clock.now_ms()
    clock.advance(500)
    second = RatePools(clock, WINDOW_MS)
    second.start(checkpoints, {build.WORKSPACE: applied_ms})
    second.configure((workspace(10, 20),), 6)
    # Ten tokens were granted before the checkpoint, and its allowance, a part
    # of the seventy, may have been granted as late as now.
    allowance = checkpoints[build.WORKSPACE].allowance
    assert grant_all(second) == 60 - allowance
    clock.advance(WINDOW_MS - 500)
    assert grant_all(second) == 10
    clock.advance(500)
    assert grant_all(second) == 60


def test_new_owner_does_not_trust_a_checkpoint_without_a_window() -> None:
    clock = ManualClock()
    pools = RatePools(clock, WINDOW_MS)
    pools.start({build.WORKSPACE: RateCheckpoint(3)}, {})
    pools.configure((workspace(10, 10),), 6)
    assert grant_all(pools) == 0
    clock.advance(WINDOW_MS)
    assert grant_all(pools) == 60


STEPS = st.lists(
    st.tuples(
        st.integers(0, 400), st.integers(0, 30), st.booleans(), st.booleans()
    ),
    max_size=60,
)


def grants_of_successive_owners(
    steps: list[tuple[int, int, bool, bool]], window_ms: int
) -> list[int]:
    """Return the times of all grants of owners that follow each other.

    Args:
        steps: For each step a pause, a number of requests, whether checkpoints
            are stored, and whether another instance becomes the owner.
        window_ms: Window of the limit, milliseconds.
    """
    clock = ManualClock()
    pools = make_pools(clock, 10, 20, window_ms=window_ms)
    clock.advance(60_000)
    stored: dict[str, RateCheckpoint] = {}
    applied_ms: dict[str, int] = {}
    granted_ms: list[int] = []
    for pause_ms, tries, stores, changes_owner in steps:
        clock.advance(pause_ms)
        if stores:
            checkpoints = pools.make_checkpoints()
            granted_ms += [clock.now_ms()] * grant_many(pools, tries)
            stored |= checkpoints
            applied_ms |= dict.fromkeys(checkpoints, clock.now_ms())
            pools.on_checkpoints_stored(checkpoints)
        granted_ms += [clock.now_ms()] * grant_many(pools, tries)
        if changes_owner:
            pools = RatePools(clock, window_ms)
            pools.start(stored, applied_ms)
            pools.configure((workspace(10, 20),), 6)
    return granted_ms


@given(STEPS)
def test_successive_owners_stay_within_each_window(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    granted_ms = grants_of_successive_owners(steps, window_ms=2_000)
    for first, start_ms in enumerate(granted_ms):
        for count, end_ms in enumerate(granted_ms[first:], 1):
            assert count <= 40 or end_ms - start_ms >= 2_000


def test_idle_workspaces_are_not_stored_again() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 20)
    clock.advance(60_000)
    assert store_checkpoints(pools)
    clock.advance(60_000)
    assert not pools.needs_checkpoint()
    assert not store_checkpoints(pools)
    grant_many(pools, 1)
    assert store_checkpoints(pools)


def test_empty_pool_gets_an_allowance_once_tokens_are_there() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 10, 20)
    assert store_checkpoints(pools)
    assert not pools.needs_checkpoint()
    clock.advance(WINDOW_MS)
    assert pools.needs_checkpoint()
    assert grant_many(pools, 9) == 0
    store_checkpoints(pools)
    assert grant_many(pools, 9) > 0


def test_a_window_may_be_used_at_once() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 5, 5)
    clock.advance(60_000)
    assert grant_all(pools) == 30
    clock.advance(4_999)
    assert grant_all(pools) == 0
    clock.advance(1)
    assert grant_all(pools) == 30


def test_returned_token_is_granted_again() -> None:
    clock = ManualClock()
    pools = make_pools(clock, 5, 5)
    clock.advance(60_000)
    assert grant_all(pools) == 30
    pools.take_back(build.WORKSPACE)
    assert grant_all(pools) == 1
    pools.take_back('unknown')


def test_grants_of_the_last_owner_leave_the_window_in_order() -> None:
    clock = ManualClock()
    first = make_pools(clock, 10, 20)
    clock.advance(60_000)
    for _ in range(5):
        store_checkpoints(first)
        assert grant_many(first, 6) == 6
        clock.advance(1_000)
    checkpoints = store_checkpoints(first)
    allowance = checkpoints[build.WORKSPACE].allowance
    second = RatePools(clock, WINDOW_MS)
    second.start(checkpoints, {build.WORKSPACE: clock.now_ms()})
    second.configure((workspace(10, 20),), 6)
    # The first six tokens have left the window.
    assert grant_all(second) == 70 - 24 - allowance
    for _ in range(3):
        clock.advance(1_000)
        assert grant_all(second) == 6
