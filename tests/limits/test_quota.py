"""Tests of rate limiting by local shares and by tokens of the owner."""

from __future__ import annotations

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.quota import Patience, Quota
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

GRANT_MS = 500
RATED = WorkspacePolicy(name=build.WORKSPACE, keys=(), rate_per_s=10, burst=10)


class Owner:
    """Grants tokens on request.

    Attributes:
        tokens: Number of tokens not granted yet.
        requests: The workspace of each request.
    """

    def __init__(self, tokens: int) -> None:
        """Create the owner."""
        self.tokens = tokens
        self.requests: list[str] = []

    async def request_tokens(self, workspace: str) -> tuple[int, int | None]:
        """Grant one token while there are any."""
        self.requests.append(workspace)
        if not self.tokens:
            return 0, 5_000
        self.tokens -= 1
        return 1, None


def admitted(quota: Quota, tries: int) -> int:
    async def scenario() -> int:
        count = 0
        for _ in range(tries):
            try:
                await quota.admit(build.WORKSPACE, Patience(50, 50))
            except CallError as exc:
                assert exc.refusal.code is ErrorCode.RATE_LIMITED
                assert exc.refusal.retry_after_ms
            else:
                count += 1
        return count

    return anyio.run(scenario)


def quota_with(owner: Owner, share: float, clock: ManualClock) -> Quota:
    quota = Quota(owner.request_tokens, GRANT_MS, clock)
    quota.configure((RATED,), lambda _: share)
    return quota


def test_local_share_needs_no_owner() -> None:
    clock = ManualClock()
    owner = Owner(0)
    quota = quota_with(owner, 0.5, clock)
    clock.advance(10_000)
    assert admitted(quota, 5) == 5
    assert not owner.requests


def test_owner_grants_tokens_beyond_the_local_share() -> None:
    owner = Owner(3)
    assert admitted(quota_with(owner, 0, ManualClock()), 5) == 3
    assert len(owner.requests) == 5


def test_unreachable_owner_grants_nothing() -> None:
    async def unreachable(*_: object) -> tuple[int, int | None]:
        raise CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')

    quota = Quota(unreachable, GRANT_MS, ManualClock())
    quota.configure((RATED,), lambda _: 0)
    assert admitted(quota, 2) == 0


def test_workspaces_without_a_rate_are_not_limited() -> None:
    owner = Owner(0)
    quota = Quota(owner.request_tokens, GRANT_MS, ManualClock())
    quota.configure((), lambda _: 0)
    assert admitted(quota, 100) == 100


def test_request_waits_for_a_token_that_comes_in_time() -> None:
    clock = ManualClock()
    replies = iter([(0, 20), (1, None)])

    async def request_tokens(*_: object) -> tuple[int, int | None]:
        return next(replies)

    async def scenario() -> None:
        quota = Quota(request_tokens, GRANT_MS, clock)
        quota.configure((RATED,), lambda _: 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_admit_with_wait, quota)
            await anyio.wait_all_tasks_blocked()
            clock.advance(20)

    anyio.run(scenario)
    assert next(replies, None) is None


async def _admit_with_wait(quota: Quota) -> None:
    await quota.admit(build.WORKSPACE, Patience(100, 100))


def test_prefetched_token_is_used_and_not_requested_again() -> None:
    owner = Owner(1)
    quota = quota_with(owner, 0, ManualClock())

    async def scenario() -> None:
        await quota.prefetch(build.WORKSPACE)
        await quota.admit(build.WORKSPACE, Patience(50, 50))

    anyio.run(scenario)
    assert owner.requests == [build.WORKSPACE]


def test_prefetched_token_can_be_dropped_once() -> None:
    quota = quota_with(Owner(1), 0, ManualClock())
    assert not quota.pop_granted(build.WORKSPACE)
    anyio.run(quota.prefetch, build.WORKSPACE)
    assert quota.pop_granted(build.WORKSPACE)
    assert not quota.pop_granted(build.WORKSPACE)
    assert admitted(quota, 1) == 0


def test_nothing_is_prefetched_beside_a_local_token() -> None:
    clock = ManualClock()
    owner = Owner(5)
    quota = quota_with(owner, 0.5, clock)
    clock.advance(10_000)
    anyio.run(quota.prefetch, build.WORKSPACE)
    assert not owner.requests


def test_request_waits_for_the_next_owner_but_not_long_for_a_token() -> None:
    clock = ManualClock()
    replies: list[tuple[int, int | None] | None] = [
        None,
        None,
        (1, None),
        (0, 400),
    ]

    async def request_tokens(_: str) -> tuple[int, int | None]:
        reply = replies.pop(0)
        if reply is None:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')
        return reply

    async def scenario() -> None:
        quota = Quota(request_tokens, GRANT_MS, clock)
        quota.configure((RATED,), lambda _: 0)
        patience = Patience(token_ms=70, owner_ms=1_000)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(quota.admit, build.WORKSPACE, patience)
            for _ in range(2):
                await anyio.wait_all_tasks_blocked()
                clock.advance(50)
        with pytest.raises(CallError) as caught:
            await quota.admit(build.WORKSPACE, patience)
        assert caught.value.refusal.retry_after_ms == 400

    anyio.run(scenario)


def test_refusal_without_an_owner_names_the_time_of_an_election() -> None:
    async def unreachable(_: str) -> tuple[int, int | None]:
        raise CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')

    async def scenario() -> None:
        quota = Quota(unreachable, GRANT_MS, ManualClock())
        quota.configure((RATED,), lambda _: 0)
        with pytest.raises(CallError, match='does not answer') as caught:
            await quota.admit(build.WORKSPACE, Patience(70, 40))
        assert caught.value.refusal.retry_after_ms == 900

    anyio.run(scenario)
