"""Probes endpoints that have said that they are leaving until they serve again.

Answers endpoints that start again under their ids where the instance list does not
show the new start: the list is late, is not read meanwhile, or states no start times.
Such an endpoint is probed as long as the list calls it ready.
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

    # Returns whether an endpoint serves requests; None if its service has no health
    # path. Raises ``EndpointError`` if it does not respond.
    ProbeEndpoint = Callable[[Endpoint], Awaitable[bool | None]]

logger = get_logger('placement')

_TICK_MS = 500
# Exponential backoff between two probes of one endpoint.
_MIN_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 8_000
# An endpoint with a full queue responds late.
_PROBE_TIMEOUT_MS = 1_000
_MAX_PROBES_AT_ONCE = 4
# An endpoint that cannot be probed is used again after this time: leaving endpoints
# go on serving for some seconds only.
_UNPROBED_TTL_MS = 30_000


class _ProbeSchedule:
    """When an endpoint is probed next.

    Attributes:
        due_ms: When it may be probed.
        pause_ms: Pause between that probe and the next one.
    """

    def __init__(self) -> None:
        """Create the schedule; the first probe is due at once."""
        self.due_ms = 0
        self.pause_ms = _MIN_PAUSE_MS

    def defer(self, now_ms: int) -> None:
        """Schedule the next probe after a probe."""
        self.due_ms = now_ms + self.pause_ms
        self.pause_ms = min(2 * self.pause_ms, _MAX_PAUSE_MS)


class LeavingProber:
    """Probes the endpoints that have said that they are leaving, at a bounded rate."""

    def __init__(
        self,
        selector: EndpointSelector,
        probe: ProbeEndpoint,
        on_return: Callable[[Endpoint], None],
        clock: Clock,
        metrics: Metrics,
        delay_ms: int,
    ) -> None:
        """Create the prober; ``run`` starts it.

        Args:
            selector: Knows the leaving endpoints, and is told which ones serve.
            probe: Probes one endpoint.
            on_return: Called with each endpoint that serves again.
            clock: Source of time.
            metrics: Counts the probes by their outcome.
            delay_ms: Time from the last statement of an endpoint that it is
                leaving to its first probe.
        """
        self._selector = selector
        self._probe = probe
        self._on_return = on_return
        self._clock = clock
        self._metrics = metrics
        self._delay_ms = delay_ms
        self._schedules: dict[EndpointId, _ProbeSchedule] = {}

    async def run(self) -> None:
        """Probe endpoints until cancelled."""
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            await self.check()

    async def check(self) -> None:
        """Probe the endpoints that are due, the longest overdue ones first."""
        now_ms = self._clock.now_ms()
        async with anyio.create_task_group() as tasks:
            for entry in self._due(now_ms)[:_MAX_PROBES_AT_ONCE]:
                self._schedules[entry.endpoint.id].defer(now_ms)
                tasks.start_soon(self._probe_one, entry)

    def _due(self, now_ms: int) -> list[LeavingEndpoint]:
        """Return the endpoints that are due, the longest overdue ones first."""
        self_reported = self._selector.leaving.self_reported()
        self._schedules = {
            entry.endpoint.id: self._schedules.get(entry.endpoint.id)
            or _ProbeSchedule()
            for entry in self_reported
        }

        def due_ms(entry: LeavingEndpoint) -> int:
            earliest_ms = (entry.stated_ms or 0) + self._delay_ms
            return max(earliest_ms, self._schedules[entry.endpoint.id].due_ms)

        due = [entry for entry in self_reported if due_ms(entry) <= now_ms]
        return sorted(due, key=due_ms)

    async def _probe_one(self, entry: LeavingEndpoint) -> None:
        outcome = await self._outcome(entry)
        self._metrics.count(Counter.LEAVING_PROBED, outcome)
        if outcome not in {ProbeOutcome.SERVING, ProbeOutcome.UNPROBED}:
            return
        if self._selector.record_return(entry):
            logger.info(
                'An endpoint that said that it was leaving serves again; sending '
                'it requests.',
                endpoint=entry.endpoint.id,
                outcome=outcome.value,
                stated_ago_ms=self._clock.now_ms() - (entry.stated_ms or 0),
            )
            self._on_return(entry.endpoint)

    async def _outcome(self, entry: LeavingEndpoint) -> ProbeOutcome:
        try:
            is_serving = await self._probe(entry.endpoint)
        except EndpointError:
            return ProbeOutcome.FAILED
        if is_serving is None:
            stated_ago_ms = self._clock.now_ms() - (entry.stated_ms or 0)
            is_over = stated_ago_ms >= _UNPROBED_TTL_MS
            return ProbeOutcome.UNPROBED if is_over else ProbeOutcome.LEAVING
        return ProbeOutcome.SERVING if is_serving else ProbeOutcome.LEAVING


def make_health_probe(
    codec: Codec,
    connections: ConnectionPool,
    services: Callable[[], Mapping[ServiceName, Service]],
    clock: Clock,
) -> ProbeEndpoint:
    """Return a function that probes an endpoint at the health path of its service.

    Args:
        codec: Reads and writes the headers of the platform.
        connections: Connections to endpoints.
        services: Returns the services of the routing table in force.
        clock: Bounds the wait for a response.
    """

    async def probe(endpoint: Endpoint) -> bool | None:
        service = services().get(endpoint.service)
        if service is None or not service.health_path:
            return None
        target = service.health_path.encode()
        conn = await connections.acquire(endpoint)
        try:
            with clock.timeout(_PROBE_TIMEOUT_MS):
                resp = await conn.send(
                    'GET', target, codec.write_health_probe(endpoint), b''
                )
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                'no response to a health probe came in time',
            ) from None
        finally:
            # The body is not read: it has no meaning.
            with anyio.CancelScope(shield=True):
                await connections.discard(endpoint, conn)
        return codec.is_serving(endpoint, resp.status, resp.headers)

    return probe
