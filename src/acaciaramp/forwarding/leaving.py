"""Endpoints that are leaving, by their own word or by the instance list.

Answers a list that is late or cannot be read: the statement of an endpoint counts
whatever the list says. It belongs to one lifetime of the endpoint, and ends once

- the list lacks the endpoint or has another start of it, or
- a probe shows that the endpoint serves requests (``leaving_prober``).

What the list states holds until the next list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.messages import Endpoint

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from acaciaramp.clock import Clock
    from acaciaramp.ids import EndpointId, ServiceName


class LeavingEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that must get no new requests.

    Attributes:
        endpoint: The endpoint.
        since_ms: When this instance learned that it is leaving.
        stated_ms: When the endpoint itself last stated it; None if only the list
            has.
    """

    endpoint: Endpoint
    since_ms: int
    stated_ms: int | None


class LeavingEndpoints:
    """What an instance knows of the endpoints that are leaving."""

    def __init__(self, clock: Clock) -> None:
        """Create it without endpoints.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._entries: dict[EndpointId, LeavingEndpoint] = {}
        self._listed: frozenset[EndpointId] = frozenset()

    def replace_endpoints(
        self, endpoints: Collection[Endpoint]
    ) -> list[Endpoint]:
        """Replace the list of endpoints; return those that are not leaving."""
        staying = []
        entries: dict[EndpointId, LeavingEndpoint] = {}
        for item in endpoints:
            entry = self._entry(item)
            if entry is None:
                staying.append(item)
            else:
                entries[item.id] = entry
        self._entries = entries
        self._listed = frozenset(listed.id for listed in endpoints)
        return staying

    def record_statement(self, endpoint: Endpoint) -> LeavingEndpoint | None:
        """Record the statement of an endpoint that it is leaving.

        Args:
            endpoint: The endpoint as the list has it now, or had it last.

        Returns:
            Its earlier entry; None if it was not known to be leaving.
        """
        now_ms = self._clock.now_ms()
        known = self._entries.get(endpoint.id)
        since_ms = now_ms if known is None else known.since_ms
        self._entries[endpoint.id] = LeavingEndpoint(endpoint, since_ms, now_ms)
        return known

    def of_service(self, service: ServiceName) -> Iterator[LeavingEndpoint]:
        """Yield the leaving endpoints of a service."""
        for entry in self._entries.values():
            if entry.endpoint.service == service:
                yield entry

    def self_reported(self) -> list[LeavingEndpoint]:
        """Return the endpoints that the list calls ready and that say otherwise."""
        return [
            entry
            for entry in self._entries.values()
            if entry.stated_ms is not None
            and not entry.endpoint.is_leaving
            and entry.endpoint.id in self._listed
        ]

    def end(self, entry: LeavingEndpoint) -> bool:
        """End the statement of an endpoint, as it does not hold any more.

        Args:
            entry: The endpoint as ``self_reported`` returned it.

        Returns:
            Whether the endpoint may be used: it has stated nothing since, and
            the list has not changed what it states of it.
        """
        if self._entries.get(entry.endpoint.id) != entry:
            return False
        self._entries.pop(entry.endpoint.id)
        return True

    def _entry(self, listed: Endpoint) -> LeavingEndpoint | None:
        """Return the entry of a listed endpoint that is leaving, else None."""
        known = self._entries.get(listed.id)
        if known is not None and not is_same_start(known.endpoint, listed):
            known = None
        stated_ms = None if known is None else known.stated_ms
        if not listed.is_leaving and stated_ms is None:
            return None
        since_ms = self._clock.now_ms() if known is None else known.since_ms
        return LeavingEndpoint(listed, since_ms, stated_ms)


def is_same_start(first: Endpoint, second: Endpoint) -> bool:
    """Return whether two entries of one id are of the same start."""
    return _start(first) == _start(second)


def _start(endpoint: Endpoint) -> tuple[str, int, int, str]:
    return endpoint.host, endpoint.port, endpoint.born_ms, endpoint.version
