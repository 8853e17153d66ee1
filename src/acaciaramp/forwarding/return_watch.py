"""Finds out when endpoints that have said that they are leaving serve again.

Answers endpoints that start again under their ids where the instance list does not
show the new start: the list is late, is not read meanwhile, or states no starts. As
long as the list calls such an endpoint ready, it is asked from time to time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.metrics.names import Counter, ProbeOutcome
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.connections import ConnectionPool
    from acaciaramp.forwarding.leaving import LeavingEndpoint
    from acaciaramp.forwarding.messages import Codec
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.ids import EndpointId, ServiceName
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.model import Service

    # Asks an endpoint whether it serves requests; None if it cannot be asked.
    # Raises ``EndpointError`` if it does not answer.
    IsServing = Callable[[Endpoint], Awaitable[bool | None]]

logger = get_logger('placement')

_TICK_MS = 500
# Pauses between two questions to one endpoint; each is twice the one before.
_MIN_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 8_000
# An endpoint with a full queue answers late.
_ANSWER_TIMEOUT_MS = 1_000
_MAX_ASKED_AT_ONCE = 4
# An endpoint that cannot be asked is used again after this time: leaving endpoints
# go on for some seconds only.
_UNASKED_MS = 30_000


class _Question:
    """When an endpoint is asked next.

    Attributes:
        due_ms: When it may be asked.
        pause_ms: Pause after that.
    """

    def __init__(self) -> None:
        """Create the first one, which may be asked at once."""
        self.due_ms = 0
        self.pause_ms = _MIN_PAUSE_MS

    def defer(self, now_ms: int) -> None:
        """Ask again after a pause."""
        self.due_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, _MAX_PAUSE_MS)


class ReturnWatch:
    """Asks leaving endpoints, at a bounded rate, whether they serve again."""

    def __init__(
        self,
        selector: EndpointSelector,
        is_serving: IsServing,
        on_return: Callable[[Endpoint], None],
        clock: Clock,
        metrics: Metrics,
        least_ms: int,
    ) -> None:
        """Create the watch; ``run`` starts it.

        Args:
            selector: Knows the leaving endpoints, and is told which ones serve.
            is_serving: Asks one endpoint.
            on_return: Called with each endpoint that serves again.
            clock: Source of time.
            metrics: Counts the answers.
            least_ms: How long after its last word an endpoint is not asked.
        """
        self._selector = selector
        self._is_serving = is_serving
        self._on_return = on_return
        self._clock = clock
        self._metrics = metrics
        self._least_ms = least_ms
        self._questions: dict[EndpointId, _Question] = {}

    async def run(self) -> None:
        """Ask endpoints until cancelled."""
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            await self.check()

    async def check(self) -> None:
        """Ask the endpoints that are due, those that wait longest first."""
        now_ms = self._clock.now_ms()
        async with anyio.create_task_group() as tasks:
            for entry in self._due(now_ms)[:_MAX_ASKED_AT_ONCE]:
                self._questions[entry.endpoint.id].defer(now_ms)
                tasks.start_soon(self._ask, entry)

    def _due(self, now_ms: int) -> list[LeavingEndpoint]:
        """Return the endpoints to be asked, those that wait longest first."""
        doubted = self._selector.leaving.doubted()
        self._questions = {
            entry.endpoint.id: self._questions.get(entry.endpoint.id)
            or _Question()
            for entry in doubted
        }

        def due_ms(entry: LeavingEndpoint) -> int:
            earliest_ms = (entry.said_ms or 0) + self._least_ms
            return max(earliest_ms, self._questions[entry.endpoint.id].due_ms)

        due = [entry for entry in doubted if due_ms(entry) <= now_ms]
        return sorted(due, key=due_ms)

    async def _ask(self, entry: LeavingEndpoint) -> None:
        outcome = await self._outcome(entry)
        self._metrics.count(Counter.LEAVING_PROBED, outcome)
        if outcome not in {ProbeOutcome.SERVING, ProbeOutcome.UNASKED}:
            return
        if self._selector.record_return(entry):
            logger.info(
                'An endpoint that said that it was leaving serves again; sending '
                'it requests.',
                endpoint=entry.endpoint.id,
                outcome=outcome.value,
                said_ago_ms=self._clock.now_ms() - (entry.said_ms or 0),
            )
            self._on_return(entry.endpoint)

    async def _outcome(self, entry: LeavingEndpoint) -> ProbeOutcome:
        try:
            is_serving = await self._is_serving(entry.endpoint)
        except EndpointError:
            return ProbeOutcome.FAILED
        if is_serving is None:
            said_ago_ms = self._clock.now_ms() - (entry.said_ms or 0)
            is_over = said_ago_ms >= _UNASKED_MS
            return ProbeOutcome.UNASKED if is_over else ProbeOutcome.LEAVING
        return ProbeOutcome.SERVING if is_serving else ProbeOutcome.LEAVING


def make_health_check(
    codec: Codec,
    connections: ConnectionPool,
    services: Callable[[], Mapping[ServiceName, Service]],
    clock: Clock,
) -> IsServing:
    """Return a function that asks an endpoint by its service's health path.

    Args:
        codec: Reads and writes the headers of the platform.
        connections: Connections to endpoints.
        services: Returns the services of the routing table in force.
        clock: Bounds the wait for an answer.
    """

    async def is_serving(endpoint: Endpoint) -> bool | None:
        service = services().get(endpoint.service)
        if service is None or not service.health_path:
            return None
        target = service.health_path.encode()
        conn = await connections.acquire(endpoint)
        try:
            with clock.timeout(_ANSWER_TIMEOUT_MS):
                resp = await conn.send(
                    'GET', target, codec.write_health_check(endpoint), b''
                )
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                'no answer on its health came in time',
            ) from None
        finally:
            # Closed with the body unread: it says nothing more.
            with anyio.CancelScope(shield=True):
                await connections.discard(endpoint, conn)
        return codec.is_serving(endpoint, resp.status, resp.headers)

    return is_serving
