"""Requests refused although their workspace is within its rate."""

from __future__ import annotations

import hashlib
import random
from typing import TYPE_CHECKING

import anyio
import msgspec
from anyio.lowlevel import checkpoint

from acaciaramp.clock import MS_PER_SECOND, ManualClock
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import Registry
from acaciaramp.errors import CallError
from acaciaramp.ids import InstanceId
from acaciaramp.limits.admission import Admission, Lender
from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.limits.messages import BorrowReply, BorrowRequest

_STEP_MS = 5
_LOAN_MS = 2_000
_CHECKPOINTS = 12
_KEY = f'sha256:{hashlib.sha256().hexdigest()}'
_NAME = 'measured'


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A load that lies unevenly over the instances and moves.

    Attributes:
        instances: Number of instances.
        rate: The workspace's rate, requests a second.
        burst: The workspace's burst.
        load: Mean load, as a share of the rate.
        focus: Part of the load that lies on one instance.
        move_ms: How long it lies there, milliseconds.
        duration_ms: Length of the run on its own clock, milliseconds.
        delay_ms: Delay of a message between instances, milliseconds.
        wait_ms: Longest wait for a token, milliseconds.
        seed: Seed of the arrivals.
    """

    instances: int = 6
    rate: float = 60
    burst: int = 60
    load: float = 0.9
    focus: float = 0.8
    move_ms: int = 5_000
    duration_ms: int = 120_000
    delay_ms: int = 5
    wait_ms: int = 1_000
    seed: int = 1


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the requests.

    Attributes:
        plan: The load.
        asked: Requests in all.
        refused: Refused by the instances.
        refused_by_one: Refused by a single bucket that sees all arrivals and
            lets nobody wait.
        needless: Refused beyond those, as a share of all.
        most_over: Most that any window admitted beyond rate times window plus
            burst.
    """

    plan: LoadPlan
    asked: int
    refused: int
    refused_by_one: int
    needless: float
    most_over: float


def measure_loans(plan: LoadPlan) -> LoadResult:
    """Run a load on a clock of its own.

    Args:
        plan: The load.
    """
    run = _LoadRun(plan)
    anyio.run(run.run)
    return run.result()


class _LoadRun:
    """One run of a load over instances in this process."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._clock = ManualClock()
        self._rng = random.Random(plan.seed)
        self._registry = Registry(_document(plan))
        self._members = [self._member(index) for index in range(plan.instances)]
        self._single = TokenBucket(plan.rate, plan.burst, 0, self._clock)
        self._asked = 0
        self._refused = 0
        self._refused_by_one = 0
        self._admitted_ms: list[int] = []

    async def run(self) -> None:
        """Send the load until its end, then wait for the last answers."""
        plan = self._plan
        self._clock.advance(_LOAN_MS + _fill_ms(plan))
        start_ms = self._clock.now_ms()
        async with anyio.create_task_group() as tasks:
            while self._clock.now_ms() < start_ms + plan.duration_ms:
                for _ in range(self._arrivals()):
                    tasks.start_soon(self._ask, self._focused(start_ms))
                await self._step()
            for _ in range(plan.wait_ms // _STEP_MS + 1):
                await self._step()

    def result(self) -> LoadResult:
        """Return what became of the requests."""
        needless = max(0, self._refused - self._refused_by_one)
        return LoadResult(
            plan=self._plan,
            asked=self._asked,
            refused=self._refused,
            refused_by_one=self._refused_by_one,
            needless=needless / max(1, self._asked),
            most_over=self._most_over(),
        )

    async def _step(self) -> None:
        # Enough for what is due to reach its next wait.
        for _ in range(_CHECKPOINTS):
            await checkpoint()
        self._clock.advance(_STEP_MS)

    async def _ask(self, index: int) -> None:
        self._asked += 1
        if not self._single.try_consume():
            self._refused_by_one += 1
        workspace = self._registry.workspaces[_NAME]
        try:
            await self._members[index].admit(workspace)
        except CallError:
            self._refused += 1
        else:
            self._admitted_ms.append(self._clock.now_ms())

    def _arrivals(self) -> int:
        """Return how many requests arrive in one step: Poisson."""
        mean_s = 1 / (self._plan.rate * self._plan.load)
        left_s = _STEP_MS / MS_PER_SECOND
        count = 0
        while True:
            left_s -= self._rng.expovariate(1 / mean_s)
            if left_s < 0:
                return count
            count += 1

    def _focused(self, start_ms: int) -> int:
        """Return the instance that a request arrives at."""
        plan = self._plan
        if self._rng.random() >= plan.focus:
            return self._rng.randrange(plan.instances)
        moves = (self._clock.now_ms() - start_ms) // plan.move_ms
        return random.Random(f'{plan.seed}.{moves}').randrange(plan.instances)

    def _member(self, index: int) -> Admission:
        plan = self._plan
        others = [other for other in range(plan.instances) if other != index]
        return Admission(
            instance=InstanceId(f'entry-{index + 1}'),
            registry=self._registry,
            instances=plan.instances,
            wait_ms=plan.wait_ms,
            loan_ms=_LOAN_MS,
            clock=self._clock,
            lenders=list(map(self._lender, others)),
        )

    def _lender(self, index: int) -> Lender:
        async def ask(req: BorrowRequest) -> BorrowReply:
            await self._clock.sleep_ms(self._plan.delay_ms)
            reply = await self._members[index].handle_borrow(req)
            await self._clock.sleep_ms(self._plan.delay_ms)
            return reply

        return ask

    def _most_over(self) -> float:
        """Return the most that a window admitted beyond what it may.

        The excess of the best window that ends at an admission follows from
        that of the one before.
        """
        plan = self._plan
        most: float = 0
        level: float = 0
        last_ms = 0
        for admitted_ms in sorted(self._admitted_ms):
            passed_s = (admitted_ms - last_ms) / MS_PER_SECOND
            level = max(0, level - passed_s * plan.rate) + 1
            last_ms = admitted_ms
            most = max(most, level - plan.burst)
        return most


def _fill_ms(plan: LoadPlan) -> int:
    return round(plan.burst / plan.rate * MS_PER_SECOND) + _STEP_MS


def _document(plan: LoadPlan) -> Document:
    workspace = {'name': _NAME, 'keys': [_KEY]}
    limits = {'rate': plan.rate, 'burst': plan.burst}
    return Document.model_validate(
        {
            'environment': _NAME,
            'revision': 1,
            'services': [],
            'workspaces': [{**workspace, **limits}],
        }
    )
