"""Request limits that endpoints state in their responses.

Answers endpoints in need, which accept fewer requests than the instances would
send: each request to such an endpoint needs a slot, which one owner reserves for
all instances.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.messages import (
    SlotReply,
    SlotRequest,
    StatedLimit,
)
from acaciaramp.errors import CallError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint

    # Asks the owner for a slot; raises ``CallError`` if it does not reply.
    RequestSlot = Callable[[SlotRequest], Awaitable[SlotReply]]

logger = get_logger('placement')

# Requests that have another choice do not ask the owner for this long after it
# has not replied.
_OWNER_PAUSE_MS = 200


class _Limit(msgspec.Struct):
    """The limit that an endpoint stated last.

    Attributes:
        per_s: Requests per second from all instances together.
        stated_ms: When its newest statement arrived.
        no_slot_until_ms: Time before which no slot is free, as far as known.
    """

    per_s: float
    stated_ms: int
    no_slot_until_ms: int = 0


class EndpointLimits:
    """The limits of the endpoints that state one, as this instance heard."""

    def __init__(self, request_slot: RequestSlot, clock: Clock) -> None:
        """Create it without limits.

        Args:
            request_slot: Asks the owner of the slots for one.
            clock: Source of time.
        """
        self._request_slot = request_slot
        self._clock = clock
        self._limits: dict[str, _Limit] = {}

    def per_s(self, endpoint_id: str) -> float | None:
        """Return the limit of an endpoint, requests per second, if any."""
        limit = self._limits.get(endpoint_id)
        return None if limit is None else limit.per_s

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether a request to an endpoint needs a slot."""
        return endpoint.id in self._limits

    def record(self, endpoint: Endpoint, per_s: float | None) -> None:
        """Record what a response of an endpoint states.

        Args:
            endpoint: The endpoint.
            per_s: Its limit, requests per second; None if it states none,
                which ends an earlier one.
        """
        before = self.per_s(endpoint.id)
        if per_s is None:
            self._limits.pop(endpoint.id, None)
        else:
            limit = self._limits.setdefault(endpoint.id, _Limit(per_s, 0))
            limit.per_s = per_s
            limit.stated_ms = self._clock.now_ms()
        if before != per_s:
            logger.warning(
                'The request limit of an endpoint has changed.',
                endpoint=endpoint.id,
                service=endpoint.service,
                limit_per_s=per_s,
                before=before,
            )

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Forget the limits of endpoints that are not listed any more."""
        for endpoint_id in self._limits.keys() - endpoint_ids:
            self._limits.pop(endpoint_id)

    async def reserve(
        self, endpoints: Sequence[Endpoint], longest_wait_ms: int
    ) -> SlotReply:
        """Reserve a slot for one request at any of some limited endpoints.

        Args:
            endpoints: The endpoints, preferred ones first.
            longest_wait_ms: Longest time until the slot, milliseconds.

        Raises:
            CallError: The owner of the slots did not reply.
        """
        latest_ms = self._clock.now_ms() + longest_wait_ms
        limits = [self._limits[endpoint.id] for endpoint in endpoints]
        stated = tuple(
            self._stated(endpoint)
            for endpoint, limit in zip(endpoints, limits, strict=True)
            if limit.no_slot_until_ms <= latest_ms
        )
        if not stated:
            free_ms = min(limit.no_slot_until_ms for limit in limits)
            return SlotReply(None, free_ms - self._clock.now_ms())
        try:
            reply = await self._request_slot(
                SlotRequest(stated, longest_wait_ms)
            )
        except CallError:
            self._record_no_slot(stated, _OWNER_PAUSE_MS)
            raise
        if reply.endpoint is None:
            self._record_no_slot(stated, reply.wait_ms)
        return reply

    def _stated(self, endpoint: Endpoint) -> StatedLimit:
        limit = self._limits[endpoint.id]
        age_ms = self._clock.now_ms() - limit.stated_ms
        return StatedLimit(endpoint.id, limit.per_s, age_ms)

    def _record_no_slot(
        self, stated: Sequence[StatedLimit], wait_ms: int
    ) -> None:
        """Record that none of some endpoints has a slot before a time."""
        until_ms = self._clock.now_ms() + wait_ms
        for item in stated:
            limit = self._limits.get(item.endpoint)
            if limit is not None:
                limit.no_slot_until_ms = until_ms
