"""Request limits that endpoints state in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint

logger = get_logger('placement')


class _Limit(msgspec.Struct):
    """The limit that an endpoint stated last.

    Attributes:
        per_s: Requests per second from all instances together.
        stated_ms: When its newest statement arrived.
    """

    per_s: float
    stated_ms: int


class EndpointLimits:
    """The limits of the endpoints that state one, as this instance heard."""

    def __init__(self, clock: Clock) -> None:
        """Create it without limits.

        Args:
            clock: Source of time.
        """
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
