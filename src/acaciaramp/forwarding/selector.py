"""Chooses the endpoint for each request by load, place and warm prompts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.messages import EndpointLoad
    from acaciaramp.ids import AvailabilityZone, ServiceName

logger = get_logger('placement')

# What an endpoint said of its load counts less and less until this age.
_LOAD_AGE_MS = 1_000
# Pauses after failures in a row; an endpoint that is replaced is back sooner.
_FIRST_PAUSE_MS = 500
_LONGEST_PAUSE_MS = 4_000
# Costs in requests that wait: crossing zones or regions, and a cold prompt.
_OTHER_ZONE_COST = 0.25
_OTHER_REGION_COST = 4
_COLD_COST = 1.5
_MOST_LINES = 4_096


class _Known(msgspec.Struct):
    """What this instance knows of one endpoint.

    Attributes:
        in_flight: Requests of this instance there.
        foreign: Requests of others there, when they were last reported.
        reported_ms: When that was.
        failures: Failures in a row.
        paused_until_ms: Until when it is not used, unless nothing else is.
    """

    in_flight: int = 0
    foreign: int = 0
    reported_ms: int = -_LOAD_AGE_MS
    failures: int = 0
    paused_until_ms: int = 0


class EndpointSelector:
    """The endpoints in use and their load as this instance sees it."""

    def __init__(
        self,
        zone: AvailabilityZone,
        region: str,
        regions: Mapping[AvailabilityZone, str],
        clock: Clock,
    ) -> None:
        """Create the placement without endpoints.

        Args:
            zone: Where this instance stands.
            region: The region of that availability zone.
            regions: Region of each availability zone.
            clock: Source of time.
        """
        self._zone = zone
        self._region = region
        self._regions = regions
        self._clock = clock
        self._by_service: dict[ServiceName, list[Endpoint]] = {}
        self._known: dict[str, _Known] = collections.defaultdict(_Known)
        self._lines: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def replace_endpoints(self, endpoints: Collection[Endpoint]) -> None:
        """Take over the list of endpoints; leaving ones are not used."""
        by_service: dict[ServiceName, list[Endpoint]] = {}
        for item in endpoints:
            if not item.is_leaving:
                by_service.setdefault(item.service, []).append(item)
        self._log_changes(by_service)
        self._by_service = by_service
        ids = {endpoint.id for endpoint in endpoints}
        gone = self._known.keys() - ids
        for name in gone:
            if not self._known[name].in_flight:
                self._known.pop(name)

    @property
    def has_endpoints(self) -> bool:
        """Whether any endpoint is in use."""
        return bool(self._by_service)

    def choose(
        self, service: ServiceName, line: str, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return the endpoint for a request, None if there is none.

        Args:
            service: The service that takes it.
            line: Names what later requests share with it; empty for nothing.
            excluded: Endpoints that must not get it.
        """
        now_ms = self._clock.now_ms()
        usable = [
            endpoint
            for endpoint in self._by_service.get(service, ())
            if endpoint.id not in excluded
        ]
        if not usable:
            return None
        awake = [
            endpoint
            for endpoint in usable
            if self._known[endpoint.id].paused_until_ms <= now_ms
        ]
        warm = self._lines.get(line)
        return min(
            awake or usable, key=lambda item: self._cost(item, warm, now_ms)
        )

    def explain(self, endpoint: Endpoint, line: str) -> dict[str, Any]:
        """Return the figures behind the choice of an endpoint, for a log."""
        known = self._known[endpoint.id]
        return {
            'endpoint': endpoint.id,
            'zone': endpoint.availability_zone,
            'in_flight': known.in_flight,
            'foreign': known.foreign,
            'load_age_ms': self._clock.now_ms() - known.reported_ms,
            'is_warm': self._lines.get(line) == endpoint.id,
        }

    def begin(self, endpoint: Endpoint, line: str) -> None:
        """Count a request that is sent to an endpoint."""
        self._known[endpoint.id].in_flight += 1
        if line:
            self._lines[line] = endpoint.id
            self._lines.move_to_end(line)
            if len(self._lines) > _MOST_LINES:
                self._lines.popitem(last=False)

    def end(self, endpoint: Endpoint) -> None:
        """Count a request that has ended."""
        self._known[endpoint.id].in_flight -= 1

    def take_load(self, endpoint: Endpoint, load: EndpointLoad) -> None:
        """Take note of what an endpoint says of its load."""
        known = self._known[endpoint.id]
        known.foreign = max(0, load.running + load.waiting - known.in_flight)
        known.reported_ms = self._clock.now_ms()

    def take_success(self, endpoint: Endpoint) -> None:
        """Take note that an endpoint answered."""
        known = self._known[endpoint.id]
        known.failures = 0
        known.paused_until_ms = 0

    def take_failure(self, endpoint: Endpoint, reason: str) -> None:
        """Leave an endpoint for a time after it failed."""
        known = self._known[endpoint.id]
        known.failures += 1
        pause_ms = min(
            _FIRST_PAUSE_MS * 2 ** (known.failures - 1), _LONGEST_PAUSE_MS
        )
        known.paused_until_ms = self._clock.now_ms() + pause_ms
        logger.warning(
            'An endpoint is left for a time.',
            endpoint=endpoint.id,
            reason=reason,
            failures=known.failures,
            pause_ms=pause_ms,
        )

    def _cost(self, endpoint: Endpoint, warm: str | None, now_ms: int) -> float:
        known = self._known[endpoint.id]
        age_ms = now_ms - known.reported_ms
        trust = max(0, 1 - age_ms / _LOAD_AGE_MS)
        busy = known.in_flight + trust * known.foreign
        cost = busy + max(0, busy - endpoint.slots)
        if endpoint.availability_zone != self._zone:
            cost += _OTHER_ZONE_COST
        region = self._regions.get(endpoint.availability_zone, self._region)
        if region != self._region:
            cost += _OTHER_REGION_COST
        if warm is not None and warm != endpoint.id:
            cost += _COLD_COST
        return cost

    def _log_changes(
        self, by_service: dict[ServiceName, list[Endpoint]]
    ) -> None:
        before = _ids(self._by_service)
        after = _ids(by_service)
        if before != after:
            logger.info(
                'The endpoints in use have changed.',
                new=sorted(after - before),
                out=sorted(before - after),
                count=len(after),
            )


def _ids(by_service: dict[ServiceName, list[Endpoint]]) -> set[str]:
    return {item.id for group in by_service.values() for item in group}
