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
from acaciaramp.ids import EndpointId
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint

    # Asks the owner for a slot; raises ``CallError`` if it does not reply.
    RequestSlot = Callable[[SlotRequest], Awaitable[SlotReply]]
    ColdLimit = Callable[[Endpoint], float | None]

logger = get_logger('placement')

# Requests that have another choice do not ask the owner for this long after it
# has not replied.
_OWNER_PAUSE_MS = 200
# Longest wait for a slot at a cold endpoint. What an owner has reserved in advance
# counts beside the slots of the next one, and the bound of a cold endpoint holds
# over one second only.
_COLD_WAIT_MS = 200


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

    def __init__(
        self,
        request_slot: RequestSlot,
        clock: Clock,
        cold_per_s: ColdLimit | None = None,
    ) -> None:
        """Create it without limits.

        Args:
            request_slot: Asks the owner of the slots for one.
            clock: Source of time.
            cold_per_s: Returns the limit of a cold endpoint, requests per
                second; None for an endpoint that is not cold.
        """
        self._cold_per_s = cold_per_s
        self._cold_limits: dict[str, _Limit] = {}
        self._request_slot = request_slot
        self._clock = clock
        self._limits: dict[str, _Limit] = {}

    def per_s(self, endpoint_id: str) -> float | None:
        """Return the limit of an endpoint, requests per second, if any."""
        limit = self._limits.get(endpoint_id)
        return None if limit is None else limit.per_s

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether a request to an endpoint needs a slot."""
        return self._limit_of(endpoint) is not None

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
        for cold_id in self._cold_limits.keys() - endpoint_ids:
            self._cold_limits.pop(cold_id)

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
        limits = {item.id: self._limit_of(item) for item in endpoints}
        if any(endpoint_id in self._cold_limits for endpoint_id in limits):
            longest_wait_ms = min(longest_wait_ms, _COLD_WAIT_MS)
        latest_ms = self._clock.now_ms() + longest_wait_ms
        free_ms: list[int] = []
        stated: list[StatedLimit] = []
        for endpoint_id, limit in limits.items():
            if limit is None:
                # It has become warm just now.
                return SlotReply(EndpointId(endpoint_id), 0)
            free_ms.append(limit.no_slot_until_ms)
            if limit.no_slot_until_ms <= latest_ms:
                stated.append(self._stated(endpoint_id, limit))
        if not stated:
            return SlotReply(None, min(free_ms) - self._clock.now_ms())
        try:
            reply = await self._request_slot(
                SlotRequest(tuple(stated), longest_wait_ms)
            )
        except CallError:
            self._record_no_slot(stated, _OWNER_PAUSE_MS)
            raise
        if reply.endpoint is None:
            self._record_no_slot(stated, reply.wait_ms)
        return reply

    def _limit_of(self, endpoint: Endpoint) -> _Limit | None:
        """Return the limit of an endpoint, the lower one if it is cold as well."""
        stated = self._limits.get(endpoint.id)
        if self._cold_per_s is None:
            return stated
        cold_per_s = self._cold_per_s(endpoint)
        if cold_per_s is None or (stated and stated.per_s <= cold_per_s):
            self._cold_limits.pop(endpoint.id, None)
            return stated
        cold = self._cold_limits.setdefault(endpoint.id, _Limit(cold_per_s, 0))
        cold.per_s = cold_per_s
        cold.stated_ms = self._clock.now_ms()
        return cold

    def _stated(self, endpoint_id: str, limit: _Limit) -> StatedLimit:
        age_ms = self._clock.now_ms() - limit.stated_ms
        return StatedLimit(EndpointId(endpoint_id), limit.per_s, age_ms)

    def _record_no_slot(
        self, stated: Sequence[StatedLimit], wait_ms: int
    ) -> None:
        """Record that none of some endpoints has a slot before a time."""
        until_ms = self._clock.now_ms() + wait_ms
        for item in stated:
            for known in (self._limits, self._cold_limits):
                limit = known.get(item.endpoint)
                if limit is not None:
                    limit.no_slot_until_ms = until_ms
