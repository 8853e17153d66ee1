"""Which endpoints are cold: started lately, so that they handle few requests.

Answers endpoints that are started under load: until they are warm each request
to them needs a slot of the owner, which holds their rate over all instances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import ServiceName
    from acaciaramp.routing.model import Service

logger = get_logger('placement')


class _Start(NamedTuple):
    """The start of an endpoint, as this instance first heard of it.

    Attributes:
        born_ms: Wall-clock time of the start, as the list states it.
        at_ms: Time of the start on the clock of this process.
    """

    born_ms: int
    at_ms: int


class ColdEndpoints:
    """Knows which endpoints are cold, and their limits while they are."""

    def __init__(
        self,
        services: Callable[[], Mapping[ServiceName, Service]],
        clock: Clock,
    ) -> None:
        """Create it without endpoints.

        Args:
            services: Returns the services of the routing table in force.
            clock: Source of time.
        """
        self._services = services
        self._clock = clock
        self._starts: dict[str, _Start] = {}
        self._listed: frozenset[str] = frozenset()

    def replace_endpoints(self, endpoints: Collection[Endpoint]) -> None:
        """Replace the list of endpoints."""
        self._starts = {item.id: self._start_of(item) for item in endpoints}
        listed = frozenset(item.id for item in endpoints if item.is_cold)
        if listed != self._listed:
            logger.info(
                'The endpoints that the list states to be cold have changed.',
                new=sorted(listed - self._listed),
                out=sorted(self._listed - listed),
            )
        self._listed = listed

    def per_s(self, endpoint: Endpoint) -> float | None:
        """Return the requests per second that a cold endpoint can handle.

        They come from all instances together; None if it is not cold or has no
        such limit.
        """
        service = self._services().get(endpoint.service)
        if service is None or service.cold_per_s <= 0:
            return None
        return service.cold_per_s if self._is_cold(endpoint, service) else None

    def _is_cold(self, endpoint: Endpoint, service: Service) -> bool:
        """Return whether an endpoint is cold.

        The list's word counts; one that does not say is judged by its start.
        """
        if endpoint.is_cold is not None:
            return endpoint.is_cold
        start = self._starts.get(endpoint.id)
        if start is None or not start.born_ms:
            return False
        return self._clock.now_ms() - start.at_ms < service.cold_start_ms

    def _start_of(self, endpoint: Endpoint) -> _Start:
        """Return the start of an endpoint on the clock of this process.

        The wall clock is read only once for each start, so that its jumps change
        nothing later.
        """
        known = self._starts.get(endpoint.id)
        if known is not None and known.born_ms == endpoint.born_ms:
            return known
        age_ms = max(0, self._clock.wall_ms() - endpoint.born_ms)
        return _Start(endpoint.born_ms, self._clock.now_ms() - age_ms)
