"""An entry uses its own part, then tokens of the owner, then refuses."""

from __future__ import annotations

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.quota import Quota
from acaciaramp.routing.model import WorkspacePolicy
from tests import builders as build

GRANT_MS = 500
RATED = WorkspacePolicy(name=build.WORKSPACE, keys=(), rate_per_s=10, burst=10)


class Owner:
    """Answers questions for tokens.

    Attributes:
        tokens: Tokens that are left.
        asked: For each question, whether it was for a new program.
    """

    def __init__(self, tokens: int) -> None:
        """Create the owner."""
        self.tokens = tokens
        self.asked: list[bool] = []

    async def ask(self, _: str, is_new: bool) -> tuple[int, int | None]:
        """Grant a token if there is one."""
        self.asked.append(is_new)
        if not self.tokens:
            return 0, 5_000
        self.tokens -= 1
        return 1, None


def admitted(quota: Quota, tries: int) -> int:
    async def scenario() -> int:
        count = 0
        for _ in range(tries):
            try:
                await quota.admit(build.WORKSPACE, is_new=True, wait_ms=50)
            except CallError as exc:
                assert exc.refusal.code is ErrorCode.RATE_LIMITED
                assert exc.refusal.retry_after_ms
            else:
                count += 1
        return count

    return anyio.run(scenario)


def quota_with(owner: Owner, part: float, clock: ManualClock) -> Quota:
    quota = Quota(owner.ask, GRANT_MS, clock)
    quota.configure((RATED,), lambda _: part)
    return quota


def test_the_own_part_needs_nobody() -> None:
    clock = ManualClock()
    owner = Owner(0)
    quota = quota_with(owner, 0.5, clock)
    clock.advance(10_000)
    assert admitted(quota, 5) == 5
    assert not owner.asked


def test_the_rest_comes_from_the_owner() -> None:
    owner = Owner(3)
    assert admitted(quota_with(owner, 0, ManualClock()), 5) == 3
    assert len(owner.asked) == 5


def test_an_owner_that_does_not_answer_admits_nothing() -> None:
    async def unreachable(*_: object) -> tuple[int, int | None]:
        raise CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')

    quota = Quota(unreachable, GRANT_MS, ManualClock())
    quota.configure((RATED,), lambda _: 0)
    assert admitted(quota, 2) == 0


def test_workspaces_without_a_rate_are_not_limited() -> None:
    owner = Owner(0)
    quota = Quota(owner.ask, GRANT_MS, ManualClock())
    quota.configure((), lambda _: 0)
    assert admitted(quota, 100) == 100


def test_a_near_token_is_waited_for() -> None:
    clock = ManualClock()
    answers = iter([(0, 20), (1, None)])

    async def ask(*_: object) -> tuple[int, int | None]:
        return next(answers)

    async def scenario() -> None:
        quota = Quota(ask, GRANT_MS, clock)
        quota.configure((RATED,), lambda _: 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_admit_patiently, quota)
            await anyio.wait_all_tasks_blocked()
            clock.advance(20)

    anyio.run(scenario)
    assert next(answers, None) is None


async def _admit_patiently(quota: Quota) -> None:
    await quota.admit(build.WORKSPACE, is_new=False, wait_ms=100)


def test_a_refused_token_tells_which_program_it_was_for() -> None:
    owner = Owner(0)
    quota = quota_with(owner, 0, ManualClock())
    admitted(quota, 1)
    with pytest.raises(CallError):
        anyio.run(_admit_patiently, quota)
    assert owner.asked == [True, False]
