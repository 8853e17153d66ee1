"""Owner of the request limits that endpoints state: reserves slots for requests.

The owner is the leader of the control group, so that the limit of an endpoint
holds over all entry instances. Nothing is stored: an owner learns a limit from
the first request for a slot and starts without unused slots, which keeps the
limit over a change of the owner but for the slots that the previous one has
reserved in advance.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.coordination.messages import SlotReply
from acaciaramp.limits.pacer import Pacer
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import SlotRequest, StatedLimit
    from acaciaramp.ids import EndpointId

logger = get_logger('coordination')

# No slot is reserved further in advance than this: what two owners have reserved
# for the same time counts twice.
MAX_SLOT_WAIT_MS = 1_000
# An endpoint that accepts fewer requests still gets one in this time, since only
# its response can end the limit.
_MIN_PER_S = 0.1
# Limits that nobody has asked about for this long are forgotten.
_IDLE_MS = 60_000


class _LimitedEndpoint:
    """Slots of one endpoint.

    Attributes:
        pacer: Assigns the slots.
        per_s: Newest limit, requests per second.
        stated_ms: When the endpoint stated it, on this instance's clock.
        used_ms: Time of the last request for a slot.
    """

    def __init__(self, per_s: float, clock: Clock) -> None:
        """Create it for a limit that has not been used here before."""
        self.pacer = Pacer(per_s, clock)
        self.per_s = per_s
        self.stated_ms = 0
        self.used_ms = 0


class SlotOwner:
    """Reserves slots at limited endpoints while this instance leads."""

    def __init__(self, clock: Clock) -> None:
        """Create the owner without endpoints.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._endpoints: dict[EndpointId, _LimitedEndpoint] = {}

    def start(self) -> None:
        """Become the owner; what an earlier term of this instance knew is lost."""
        self._endpoints = {}

    def reserve(self, req: SlotRequest) -> SlotReply:
        """Reserve the earliest slot, that of a preferred endpoint among equals."""
        if not req.limits:
            return SlotReply(None, 0)
        waits_ms = [self._update(item).pacer.wait_ms() for item in req.limits]
        wait_ms = min(waits_ms)
        if wait_ms > min(req.longest_wait_ms, MAX_SLOT_WAIT_MS):
            return SlotReply(None, wait_ms)
        endpoint = req.limits[waits_ms.index(wait_ms)].endpoint
        self._endpoints[endpoint].pacer.reserve()
        return SlotReply(endpoint, wait_ms)

    def _update(self, stated: StatedLimit) -> _LimitedEndpoint:
        """Return the slots of an endpoint, at its newest limit."""
        now_ms = self._clock.now_ms()
        per_s = max(_MIN_PER_S, stated.per_s)
        found = self._endpoints.get(stated.endpoint)
        if found is None:
            self._remove_idle(now_ms)
            found = _LimitedEndpoint(per_s, self._clock)
            self._endpoints[stated.endpoint] = found
            found.stated_ms = now_ms - stated.age_ms
            logger.info(
                'Reserving slots at an endpoint that limits its requests.',
                endpoint=stated.endpoint,
                limit_per_s=per_s,
                age_ms=stated.age_ms,
            )
        found.used_ms = now_ms
        if now_ms - stated.age_ms > found.stated_ms:
            found.stated_ms = now_ms - stated.age_ms
            if per_s != found.per_s:
                found.per_s = per_s
                found.pacer.set_rate(per_s)
        return found

    def _remove_idle(self, now_ms: int) -> None:
        idle = [
            endpoint
            for endpoint, found in self._endpoints.items()
            if now_ms - found.used_ms > _IDLE_MS
        ]
        for endpoint in idle:
            self._endpoints.pop(endpoint)
