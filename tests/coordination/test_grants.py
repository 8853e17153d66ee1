"""Own parts and grants stay within the rate together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.grants import Grants, own_part
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import RateLevel


def workspace(rate: float, burst: float) -> WorkspacePolicy:
    return WorkspacePolicy(
        name=build.WORKSPACE, keys=(), rate_per_s=rate, burst=burst
    )


def granted(grants: Grants, tries: int, *, is_new: bool = False) -> int:
    return sum(
        grants.grant(build.WORKSPACE, is_new=is_new).granted
        for _ in range(tries)
    )


def owner(
    clock: ManualClock, rate: float, burst: float, entries: int = 6
) -> Grants:
    grants = Grants(clock)
    grants.configure((workspace(rate, burst),), entries)
    return grants


def store(grants: Grants) -> dict[str, RateLevel]:
    levels = grants.take_levels()
    grants.take_stored(levels)
    return levels


def granted_all(grants: Grants) -> int:
    """Return how many tokens are granted while levels are stored."""
    count = 0
    for _ in range(100):
        store(grants)
        count += granted(grants, 1_000)
    return count


@pytest.mark.parametrize('entries', [1, 6, 71])
@pytest.mark.parametrize('burst', [0.5, 5, 25, 138, 2_000])
def test_parts_never_add_up_to_more_than_the_rate(
    entries: int, burst: float
) -> None:
    clock = ManualClock()
    grants = owner(clock, burst, burst, entries)
    clock.advance(60_000)
    own = entries * own_part(workspace(burst, burst), entries) * burst
    assert granted_all(grants) + own <= burst + 1e-6


def test_a_part_without_a_whole_token_goes_to_the_pool() -> None:
    assert own_part(workspace(5, 5), 6) == 0
    assert own_part(workspace(138, 138), 6) > 0


def test_the_first_owner_starts_without_tokens() -> None:
    clock = ManualClock()
    grants = owner(clock, 100, 100)
    assert granted_all(grants) == 0
    clock.advance(100)
    assert granted_all(grants) == 9


def test_nothing_is_granted_before_levels_are_stored() -> None:
    clock = ManualClock()
    grants = owner(clock, 10, 10)
    clock.advance(60_000)
    reply = grants.grant(build.WORKSPACE, is_new=False)
    assert (reply.granted, reply.wait_ms) == (0, 40)
    assert grants.is_short()


def test_the_last_tokens_are_for_programs_under_way() -> None:
    clock = ManualClock()
    grants = owner(clock, 10, 10)
    clock.advance(60_000)
    store(grants)
    assert granted(grants, 10, is_new=True) == 5
    store(grants)
    assert granted(grants, 10, is_new=True) == 2
    assert granted_all(grants) == 3


def test_a_lower_rate_takes_tokens_away() -> None:
    clock = ManualClock()
    grants = owner(clock, 100, 100)
    clock.advance(60_000)
    grants.configure((workspace(10, 10),), 6)
    assert granted_all(grants) == 10


def test_a_new_owner_goes_on_from_what_was_left() -> None:
    clock = ManualClock()
    first = owner(clock, 10, 20)
    clock.advance(60_000)
    levels = store(first)
    learned_ms = clock.now_ms()
    clock.advance(500)
    second = Grants(clock)
    second.start(levels, learned_ms)
    second.configure((workspace(10, 20),), 6)
    # Ten of the twenty may have been granted since, just now even.
    assert granted_all(second) == 10


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
def test_owners_grant_no_more_than_one_rate_together(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    clock = ManualClock()
    grants = owner(clock, 10, 20)
    clock.advance(60_000)
    stored: dict[str, RateLevel] = {}
    stored_ms = clock.now_ms()
    granted_ms: list[int] = []
    for pause_ms, tries, stores, changes in steps:
        clock.advance(pause_ms)
        if stores:
            levels = grants.take_levels()
            granted_ms += [clock.now_ms()] * granted(grants, tries)
            stored, stored_ms = levels, clock.now_ms()
            grants.take_stored(levels)
        granted_ms += [clock.now_ms()] * granted(grants, tries)
        if changes:
            grants = Grants(clock)
            grants.start(stored, stored_ms)
            grants.configure((workspace(10, 20),), 6)
    for first, start_ms in enumerate(granted_ms):
        for count, end_ms in enumerate(granted_ms[first:], 1):
            assert count <= 20 + 10 * (end_ms - start_ms) / 1_000 + 1e-6
