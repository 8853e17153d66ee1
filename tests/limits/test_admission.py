"""Tests that the shares of all instances stay within rate and burst."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

import anyio
import pytest
from anyio import lowlevel
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.limits.admission import Admission, Lender
from acaciaramp.limits.bucket import TokenBucket
from acaciaramp.limits.share import Loan, Share
from acaciaramp.verdicts import Verdict
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.documents.model import Workspace
    from acaciaramp.documents.registry import Registry
    from acaciaramp.limits.messages import BorrowReply, BorrowRequest

_TOLERANCE = 1e-6
_LOAN_MS = 2_000


@given(st.lists(st.integers(0, 3_000), min_size=1, max_size=100))
def test_bucket_limits_rate_and_burst_in_every_window(
    pauses_ms: list[int],
) -> None:
    clock = ManualClock()
    bucket = TokenBucket(2, 5, 0, clock)
    clock.advance(2_500)
    admitted_ms = []
    for pause_ms in pauses_ms:
        clock.advance(pause_ms)
        while bucket.try_consume():
            admitted_ms.append(clock.now_ms())
    check_windows(admitted_ms, rate=2, burst=5)


def check_windows(admitted_ms: list[int], rate: float, burst: int) -> None:
    """Check that each window admits at most length times rate plus burst."""
    for first, start_ms in enumerate(admitted_ms):
        for last, end_ms in enumerate(admitted_ms[first:], first):
            window_s = (end_ms - start_ms) / 1_000
            limit = rate * window_s + burst + _TOLERANCE
            assert last - first + 1 <= limit


def registry(rate: float, burst: int) -> Registry:
    tree = build.workspace_tree('medina', build.KEY, rate=rate, burst=burst)
    return build.registry(workspaces=[tree])


class Fleet(NamedTuple):
    """Instances that lend shares to each other.

    Attributes:
        clock: Clock of all instances.
        members: Admissions of the instances.
    """

    clock: ManualClock
    members: list[Admission]


def fleet(count: int, rate: float, burst: int) -> Fleet:
    """Return instances with full buckets whose messages all arrive."""
    clock = ManualClock()
    document = registry(rate, burst)
    members: list[Admission] = []

    def lender(index: int) -> Lender:
        async def borrow(req: BorrowRequest) -> BorrowReply:
            return await members[index].handle_borrow(req)

        return borrow

    for number in range(count):
        lenders = [lender(other) for other in range(count) if other != number]
        members.append(
            Admission(
                instance=InstanceId(f'entry-{number}'),
                registry=document,
                instances=count,
                wait_ms=1_000,
                loan_ms=_LOAN_MS,
                clock=clock,
                lenders=lenders,
            )
        )
    clock.advance(_LOAN_MS + math.ceil(burst / rate * 1_000))
    return Fleet(clock, members)


def workspace_of(rate: float, burst: int) -> Workspace:
    return registry(rate, burst).workspaces['medina']


def admitted_at_first_instance(
    count: int, tries: int, rate: float, burst: int
) -> int:
    """Return how many of ``tries`` requests the first instance admits."""

    async def scenario() -> int:
        instances = fleet(count, rate, burst)
        workspace = workspace_of(rate, burst)
        admitted = 0
        for _ in range(tries):
            try:
                await admit_now(instances, workspace)
            except CallError:
                break
            admitted += 1
        return admitted

    return anyio.run(scenario)


async def admit_now(instances: Fleet, workspace: Workspace) -> None:
    """Admit one request at the first instance while the clock advances."""
    failures: list[CallError] = []
    done = anyio.Event()

    async def admit_one() -> None:
        try:
            await instances.members[0].admit(workspace)
        except CallError as exc:
            failures.append(exc)
        done.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(admit_one)
        while not done.is_set():
            await lowlevel.checkpoint()
            instances.clock.advance(1)
    if failures:
        raise failures[0]


@pytest.mark.parametrize('burst', [1, 3, 6, 50])
def test_whole_burst_is_available_at_one_instance(burst: int) -> None:
    assert admitted_at_first_instance(6, 2 * burst, 0.001, burst) == burst


def test_request_over_the_rate_is_rejected_as_not_run() -> None:
    async def scenario() -> CallError:
        instances = fleet(1, 0.5, 1)
        workspace = workspace_of(0.5, 1)
        await admit_now(instances, workspace)
        with pytest.raises(CallError) as caught:
            await admit_now(instances, workspace)
        return caught.value

    refusal = anyio.run(scenario).refusal
    assert refusal.code is ErrorCode.RATE_LIMITED
    assert refusal.verdict is Verdict.NOT_RUN
    assert 1_900 <= (refusal.retry_after_ms or 0) <= 2_000


def test_request_waits_for_a_token_that_comes_soon() -> None:
    async def scenario() -> None:
        instances = fleet(1, 2, 1)
        workspace = workspace_of(2, 1)
        await admit_now(instances, workspace)
        await admit_now(instances, workspace)

    anyio.run(scenario)


@pytest.mark.parametrize('seed', range(60))
def test_shares_in_use_never_exceed_the_whole(seed: int) -> None:
    """Lend and borrow at random, with lost and late replies and restarts.

    The clocks of the instances differ.
    """
    rng = random.Random(seed)
    rate, burst = rng.choice(((5, 4), (50, 10), (0.5, 7)))
    clocks = [ManualClock(rng.randint(0, 10_000)) for _ in range(4)]
    workspace = workspace_of(rate, burst)

    def start(clock: ManualClock) -> Share:
        return Share(workspace, 1 / 4, clock.now_ms() + 1_000, clock)

    shares = list(map(start, clocks))
    in_transit: list[tuple[int, int, Loan, int]] = []
    admitted_ms = []
    now_ms = 0
    for _ in range(400):
        action = rng.random()
        borrower, lender = rng.sample(range(4), 2)
        if action < 0.3:
            requested_ms = clocks[borrower].now_ms()
            loan = shares[lender].lend(1_000, yields_fraction=borrower < lender)
            if rng.random() < 0.7:
                arrives_ms = now_ms + rng.choice((0, 0, 5, 300, 1_500))
                in_transit.append((arrives_ms, borrower, loan, requested_ms))
        elif action < 0.6:
            while shares[borrower].try_admit():
                admitted_ms.append(now_ms)
        elif action < 0.63:
            shares[borrower] = start(clocks[borrower])
            in_transit = [item for item in in_transit if item[1] != borrower]
        else:
            step_ms = rng.choice((1, 10, 100, 700))
            now_ms += step_ms
            for clock in clocks:
                clock.advance(step_ms)
        due = [item for item in in_transit if item[0] <= now_ms]
        in_transit = [item for item in in_transit if item[0] > now_ms]
        for _, index, loan, requested_ms in due:
            shares[index].add_loan(loan, requested_ms)
        for share in shares:
            share.expire_loans()
        assert sum(share.current for share in shares) <= 1 + _TOLERANCE
    check_windows(admitted_ms, rate, burst)


@pytest.mark.parametrize('burst', [1, 5, 7, 20])
def test_whole_burst_is_available_across_all_instances(burst: int) -> None:
    async def scenario() -> int:
        instances = fleet(3, 0.001, burst)
        workspace = workspace_of(0.001, burst)
        outcomes: list[bool] = []

        async def admit_one(member: Admission) -> None:
            try:
                await member.admit(workspace)
            except CallError:
                outcomes.append(False)
            else:
                outcomes.append(True)

        async with anyio.create_task_group() as tasks:
            for number in range(3 * burst):
                member = instances.members[number % 3]
                tasks.start_soon(admit_one, member)
            while len(outcomes) < 3 * burst:
                await lowlevel.checkpoint()
                instances.clock.advance(1)
        return sum(outcomes)

    assert anyio.run(scenario) == burst
