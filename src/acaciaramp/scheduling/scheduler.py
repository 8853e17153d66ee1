"""Bounded queues, one per service, for the slots of its endpoints."""

from __future__ import annotations

import collections
import contextlib
import functools
import itertools
from typing import TYPE_CHECKING

import anyio

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.scheduling.health import EndpointHealth
from acaciaramp.scheduling.placement import (
    Candidate,
    Placement,
    Reason,
    SlotClaim,
    choose_endpoint,
    local_slots,
)
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Endpoint, Service
    from acaciaramp.endpoints.failures import EndpointError
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.records import Program, Step

logger = get_logger('scheduling')

_RETRY_AFTER_MS = 1_000


class Scheduler:
    """Assigns slots at endpoints to steps.

    Queued steps get free slots in this order: later steps of programs before
    first steps, then steps of programs that have used fewer tokens, then those
    that have waited longer.
    """

    def __init__(
        self,
        *,
        zone: str,
        instances: int,
        queue_length: int,
        queue_ms: int,
        clock: Clock,
        metrics: Metrics,
        is_leaving: Callable[[str], bool],
    ) -> None:
        """Create the scheduler with empty queues.

        Args:
            zone: This instance's availability zone.
            instances: Number of instances that share the endpoints.
            queue_length: Maximum number of steps queued for one service.
            queue_ms: Longest wait in a queue, milliseconds.
            clock: Source of time.
            metrics: Receives queue times and endpoint failures.
            is_leaving: Returns whether an endpoint is draining and must get no
                new steps.
        """
        self._zone = zone
        self._instances = instances
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._queue_length = queue_length
        self._queue_ms = queue_ms
        self._clock = clock
        self._metrics = metrics
        self._is_leaving = is_leaving
        self._health = EndpointHealth(clock)
        self._order = itertools.count()
        self._queues: dict[str, list[_Waiter]] = {}

    @contextlib.asynccontextmanager
    async def acquire_slot(
        self, service: Service, record: Program, step: Step
    ) -> AsyncIterator[Placement]:
        """Wait for a slot at an endpoint and occupy it while the body runs.

        Args:
            service: The service that is called.
            record: The program.
            step: The step.

        Raises:
            CallError: The queue is full, or no slot came free in time.
        """
        started_ms = self._clock.now_ms()
        chosen = await self._wait_for_slot(service, record, step)
        queued_ms = self._clock.now_ms() - started_ms
        claim = self._claim(service, Placement(*chosen, queued_ms))
        async with claim.occupy() as placement:
            yield placement

    def try_acquire_slot(
        self, service: Service, record: Program, step: Step
    ) -> SlotClaim | None:
        """Claim a slot; return None if none is free or other steps are queued.

        Args:
            service: The service that is called.
            record: The program.
            step: The step.
        """
        if self._queues.get(service.name):
            return None
        chosen = self._reserve_slot(service, record, step)
        if chosen is None:
            return None
        return self._claim(service, Placement(*chosen, 0))

    def record_failure(self, endpoint: Endpoint, error: EndpointError) -> None:
        """Record a failed attempt and pause its endpoint.

        An error after the endpoint ran the request does not pause it.
        """
        if error.verdict is Verdict.RAN:
            return
        if self._health.is_available(endpoint.id):
            self._metrics.count(Counter.ENDPOINT_DOWN, error.failure)
            logger.warning(
                'The endpoint failed; pausing new requests to it.',
                endpoint=endpoint.id,
                failure=error.failure.value,
            )
        self._health.record_failure(endpoint.id)
        self._wake_waiters()

    def record_success(self, endpoint: Endpoint) -> None:
        """Record an answered attempt and end a pause of its endpoint."""
        self._health.record_success(endpoint.id)

    def assign_free_slots(self, service: Service) -> None:
        """Assign free slots to the queued steps, in order of priority."""
        queue = self._queues.get(service.name, [])
        for waiter in sorted(queue, key=_priority):
            chosen = self._reserve_slot(service, waiter.record, waiter.step)
            if chosen is None:
                return
            waiter.chosen = chosen
            queue.remove(waiter)
            waiter.wake()

    async def _wait_for_slot(
        self, service: Service, record: Program, step: Step
    ) -> tuple[Endpoint, Reason]:
        queue = self._queues.setdefault(service.name, [])
        if not queue:
            chosen = self._reserve_slot(service, record, step)
            if chosen is not None:
                return chosen
        if len(queue) >= self._queue_length:
            raise CallError(
                ErrorCode.QUEUE_FULL,
                f'{len(queue)} requests wait for "{service.name}" already',
                retry_after_ms=_RETRY_AFTER_MS,
            )
        waiter = _Waiter(record, step, next(self._order))
        queue.append(waiter)
        try:
            return await self._wait_with_timeout(service, waiter)
        except BaseException:
            self._release_assigned_slot(service, waiter)
            raise
        finally:
            if waiter in queue:
                queue.remove(waiter)

    async def _wait_with_timeout(
        self, service: Service, waiter: _Waiter
    ) -> tuple[Endpoint, Reason]:
        try:
            with self._clock.timeout(self._queue_ms):
                await self._wait_until_assigned(service, waiter)
        except TimeoutError:
            if waiter.chosen is None:
                raise CallError(
                    ErrorCode.QUEUE_TIMEOUT,
                    f'no endpoint of "{service.name}" came free in time',
                    retry_after_ms=_RETRY_AFTER_MS,
                ) from None
        return waiter.assignment

    async def _wait_until_assigned(
        self, service: Service, waiter: _Waiter
    ) -> None:
        while waiter.chosen is None:
            pause_ms = self._shortest_pause_ms(service)
            if pause_ms is None:
                await waiter.wait_wake()
                continue
            await self._wait_at_most(waiter, pause_ms)
            self.assign_free_slots(service)

    async def _wait_at_most(self, waiter: _Waiter, pause_ms: int) -> None:
        with contextlib.suppress(TimeoutError), self._clock.timeout(pause_ms):
            await waiter.wait_wake()

    def _wake_waiters(self) -> None:
        """Let queued steps wait for the end of a pause that has just begun."""
        for queue in self._queues.values():
            for waiter in queue:
                waiter.wake()

    def _release_assigned_slot(self, service: Service, waiter: _Waiter) -> None:
        if waiter.chosen is not None:
            self._release_slot(service, waiter.chosen[0])

    def _claim(self, service: Service, placement: Placement) -> SlotClaim:
        self._metrics.record_duration(Timer.QUEUE, placement.queued_ms)
        free = functools.partial(
            self._release_slot, service, placement.endpoint
        )
        return SlotClaim(placement, free)

    def _release_slot(self, service: Service, endpoint: Endpoint) -> None:
        self._in_flight[endpoint.id] -= 1
        self.assign_free_slots(service)

    def _shortest_pause_ms(self, service: Service) -> int | None:
        pauses_ms = [
            self._health.remaining_pause_ms(endpoint.id)
            for endpoint in service.endpoints
        ]
        return min((pause for pause in pauses_ms if pause > 0), default=None)

    def _reserve_slot(
        self, service: Service, record: Program, step: Step
    ) -> tuple[Endpoint, Reason] | None:
        chosen = choose_endpoint(self._candidates(service), record, step)
        if chosen is not None:
            self._in_flight[chosen[0].id] += 1
        return chosen

    def _candidates(self, service: Service) -> list[Candidate]:
        return [
            Candidate(
                endpoint,
                self._in_flight[endpoint.id],
                endpoint.availability_zone == self._zone,
            )
            for endpoint in service.endpoints
            if self._is_candidate(endpoint)
        ]

    def _is_candidate(self, endpoint: Endpoint) -> bool:
        if self._in_flight[endpoint.id] >= local_slots(
            endpoint, self._instances
        ):
            return False
        if self._is_leaving(endpoint.id):
            return False
        return self._health.is_available(endpoint.id)


class _Waiter:
    """A step queued for a slot."""

    def __init__(self, record: Program, step: Step, order: int) -> None:
        self.record = record
        self.step = step
        self.order = order
        self.chosen: tuple[Endpoint, Reason] | None = None
        self._woken = anyio.Event()

    @property
    def assignment(self) -> tuple[Endpoint, Reason]:
        """The endpoint assigned to the step and why it was chosen."""
        if self.chosen is None:
            raise LookupError('the queued step has no endpoint assigned')
        return self.chosen

    def wake(self) -> None:
        """Let ``wait_wake`` return, as a slot or a pause may have changed."""
        self._woken.set()

    async def wait_wake(self) -> None:
        """Return after the next call of ``wake``, or one that was missed."""
        await self._woken.wait()
        self._woken = anyio.Event()


def _priority(waiter: _Waiter) -> tuple[bool, int, int]:
    is_new = waiter.step.number == 1
    return is_new, waiter.record.used.tokens, waiter.order
