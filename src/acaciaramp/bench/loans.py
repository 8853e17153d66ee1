"""Measures how often the rate limit refuses requests within the rate.

Instances share the rate of a workspace and borrow tokens from each other. If
the load is uneven, an instance may refuse a request although the workspace as
a whole is within its rate.
"""

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
_CHECKPOINTS_PER_STEP = 12
_KEY_HASH = f'sha256:{hashlib.sha256().hexdigest()}'
_NAME = 'measured'


class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """An uneven load whose focus moves from instance to instance.

    Attributes:
        instances: Number of instances.
        rate: Rate limit of the workspace, requests per second.
        burst: Burst of the workspace, requests.
        load: Mean arrival rate, as a fraction of the rate limit.
        focus: Fraction of the requests that go to the focused instance.
        move_ms: Time until the focused instance is drawn anew, milliseconds.
        duration_ms: Length of the run in simulated time, milliseconds.
        delay_ms: One-way delay of a message between instances, milliseconds.
        wait_ms: Longest time that a request waits for a token, milliseconds.
        seed: Random seed of the arrivals and the focus.
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
    """Counts of admitted and refused requests.

    Attributes:
        plan: The load.
        asked: Number of requests.
        refused: Requests refused by the instances.
        refused_by_one: Requests refused by a single token bucket that sees
            all arrivals and does not let them wait.
        needless: Refusals in excess of ``refused_by_one``, as a fraction of
            all requests.
        most_over: Largest number of requests that were admitted in a time
            window in excess of rate times window plus burst.
    """

    plan: LoadPlan
    asked: int
    refused: int
    refused_by_one: int
    needless: float
    most_over: float


def measure_loans(plan: LoadPlan) -> LoadResult:
    """Run a load in simulated time and return the counts.

    Args:
        plan: The load.
    """
    run = _LoadRun(plan)
    anyio.run(run.run)
    return run.result()


class _LoadRun:
    """One run of a load over simulated instances in this process."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._clock = ManualClock()
        self._rng = random.Random(plan.seed)
        self._registry = Registry(_document(plan))
        self._admissions = [
            self._make_admission(index) for index in range(plan.instances)
        ]
        self._reference_bucket = TokenBucket(
            plan.rate, plan.burst, 0, self._clock
        )
        self._asked = 0
        self._refused = 0
        self._refused_by_reference = 0
        self._admitted_ms: list[int] = []

    async def run(self) -> None:
        """Send the load, then wait until every request is decided."""
        plan = self._plan
        # Token buckets stay empty while loans from before the start may be in
        # force, then refill; the run starts once they are full.
        self._clock.advance(_LOAN_MS + _bucket_fill_ms(plan))
        start_ms = self._clock.now_ms()
        async with anyio.create_task_group() as tasks:
            while self._clock.now_ms() < start_ms + plan.duration_ms:
                for _ in range(self._draw_arrivals()):
                    tasks.start_soon(
                        self._send_request, self._pick_instance(start_ms)
                    )
                await self._step()
            for _ in range(plan.wait_ms // _STEP_MS + 1):
                await self._step()

    def result(self) -> LoadResult:
        """Return the counts of the run."""
        needless = max(0, self._refused - self._refused_by_reference)
        return LoadResult(
            plan=self._plan,
            asked=self._asked,
            refused=self._refused,
            refused_by_one=self._refused_by_reference,
            needless=needless / max(1, self._asked),
            most_over=self._max_excess(),
        )

    async def _step(self) -> None:
        # Enough switches for each task that is due to reach its next wait.
        for _ in range(_CHECKPOINTS_PER_STEP):
            await checkpoint()
        self._clock.advance(_STEP_MS)

    async def _send_request(self, index: int) -> None:
        self._asked += 1
        if not self._reference_bucket.try_consume():
            self._refused_by_reference += 1
        workspace = self._registry.workspaces[_NAME]
        try:
            await self._admissions[index].admit(workspace)
        except CallError:
            self._refused += 1
        else:
            self._admitted_ms.append(self._clock.now_ms())

    def _draw_arrivals(self) -> int:
        """Return the number of arrivals in one step of a Poisson process."""
        mean_gap_s = 1 / (self._plan.rate * self._plan.load)
        remaining_s = _STEP_MS / MS_PER_SECOND
        count = 0
        while True:
            remaining_s -= self._rng.expovariate(1 / mean_gap_s)
            if remaining_s < 0:
                return count
            count += 1

    def _pick_instance(self, start_ms: int) -> int:
        """Return the index of the instance that gets the next request."""
        plan = self._plan
        if self._rng.random() >= plan.focus:
            return self._rng.randrange(plan.instances)
        move_count = (self._clock.now_ms() - start_ms) // plan.move_ms
        return random.Random(f'{plan.seed}.{move_count}').randrange(
            plan.instances
        )

    def _make_admission(self, index: int) -> Admission:
        plan = self._plan
        others = [other for other in range(plan.instances) if other != index]
        return Admission(
            instance=InstanceId(f'entry-{index + 1}'),
            registry=self._registry,
            instances=plan.instances,
            wait_ms=plan.wait_ms,
            loan_ms=_LOAN_MS,
            clock=self._clock,
            lenders=list(map(self._make_lender, others)),
        )

    def _make_lender(self, index: int) -> Lender:
        async def borrow(req: BorrowRequest) -> BorrowReply:
            await self._clock.sleep_ms(self._plan.delay_ms)
            reply = await self._admissions[index].handle_borrow(req)
            await self._clock.sleep_ms(self._plan.delay_ms)
            return reply

        return borrow

    def _max_excess(self) -> float:
        """Return the largest excess of admissions over all time windows.

        The largest excess of a window that ends at an admission follows from
        the largest one that ends at the previous admission.
        """
        plan = self._plan
        max_excess: float = 0
        excess: float = 0
        last_ms = 0
        for admitted_ms in sorted(self._admitted_ms):
            elapsed_s = (admitted_ms - last_ms) / MS_PER_SECOND
            excess = max(0, excess - elapsed_s * plan.rate) + 1
            last_ms = admitted_ms
            max_excess = max(max_excess, excess - plan.burst)
        return max_excess


def _bucket_fill_ms(plan: LoadPlan) -> int:
    return round(plan.burst / plan.rate * MS_PER_SECOND) + _STEP_MS


def _document(plan: LoadPlan) -> Document:
    workspace = {'name': _NAME, 'keys': [_KEY_HASH]}
    limits = {'rate': plan.rate, 'burst': plan.burst}
    return Document.model_validate(
        {
            'environment': _NAME,
            'revision': 1,
            'services': [],
            'workspaces': [{**workspace, **limits}],
        }
    )
