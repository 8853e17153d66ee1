"""Whether this instance reaches the endpoints of each region.

Answers a cut link between regions: each attempt at an endpoint beyond it takes a
whole connection timeout, and requests that are bound to the region have no other
choice. A zone that is lost alone does not make its region unreachable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import AvailabilityZone

logger = get_logger('placement')

# How long requests that are bound to a lost region are refused before one of them
# tries it again; longer than the timeout of a connection.
LOST_MS = 1_000


class RegionReach:
    """Regions in each of whose zones the last connection attempt failed."""

    def __init__(self, clock: Clock) -> None:
        """Create it without zones.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._regions: Mapping[AvailabilityZone, str] = {}
        self._zones: dict[str, set[AvailabilityZone]] = {}
        self._failed: dict[str, set[AvailabilityZone]] = {}
        self._lost_until_ms: dict[str, int] = {}

    def replace_zones(
        self,
        zones: Collection[AvailabilityZone],
        regions: Mapping[AvailabilityZone, str],
    ) -> None:
        """Replace the zones that have endpoints, and the region of each zone."""
        self._regions = regions
        self._zones = {}
        for zone in zones:
            region = regions.get(zone, '')
            self._zones.setdefault(region, set()).add(zone)

    def is_lost(self, zone: AvailabilityZone) -> bool:
        """Return whether the region of a zone is held to be unreachable."""
        region = self._regions.get(zone, '')
        return self._clock.now_ms() < self._lost_until_ms.get(region, 0)

    def record_success(self, endpoint: Endpoint) -> None:
        """Record a response of an endpoint: its region is reached."""
        region = self._regions.get(endpoint.availability_zone, '')
        self._failed.pop(region, None)
        if self._lost_until_ms.pop(region, None) is not None:
            logger.info('A region is reached again.', region=region)

    def record_failure(self, endpoint: Endpoint) -> None:
        """Record that no connection to an endpoint could be opened."""
        zone = endpoint.availability_zone
        region = self._regions.get(zone, '')
        failed = self._failed.setdefault(region, set())
        failed.add(zone)
        zones = self._zones.get(region, set())
        if not zones <= failed:
            return
        if region not in self._lost_until_ms:
            logger.warning(
                'No zone of a region is reached; refusing requests bound to it.',
                region=region,
                zones=sorted(zones),
            )
        self._lost_until_ms[region] = self._clock.now_ms() + LOST_MS
