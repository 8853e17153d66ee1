"""Endpoints that are leaving, by their own word or by the instance list.

Answers a list that is late or cannot be read: the word of an endpoint counts whatever
the list says. It belongs to one lifetime of the endpoint, and ends once

- the list lacks the endpoint or has another start of it, or
- the endpoint says that it serves requests (``return_watch``).

The word of the list ends with the next list that says otherwise.
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
        said_ms: When the endpoint itself last said so; None if only the list
            has.
    """

    endpoint: Endpoint
    since_ms: int
    said_ms: int | None


class LeavingEndpoints:
    """What an instance knows of the endpoints that are leaving."""

    def __init__(self, clock: Clock) -> None:
        """Create it without endpoints.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._entries: dict[EndpointId, LeavingEndpoint] = {}

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
        return staying

    def record_word(self, listed: Endpoint) -> LeavingEndpoint | None:
        """Record that an endpoint has said that it is leaving.

        Args:
            listed: The endpoint as the list has it now.

        Returns:
            What was known before; None if nothing was.
        """
        now_ms = self._clock.now_ms()
        known = self._entries.get(listed.id)
        since_ms = now_ms if known is None else known.since_ms
        self._entries[listed.id] = LeavingEndpoint(listed, since_ms, now_ms)
        return known

    def of_service(self, service: ServiceName) -> Iterator[LeavingEndpoint]:
        """Yield the leaving endpoints of a service."""
        for entry in self._entries.values():
            if entry.endpoint.service == service:
                yield entry

    def doubted(self) -> list[LeavingEndpoint]:
        """Return the endpoints that only their own word calls leaving."""
        return [
            entry
            for entry in self._entries.values()
            if entry.said_ms is not None and not entry.endpoint.is_leaving
        ]

    def end(self, entry: LeavingEndpoint) -> bool:
        """End what an endpoint has said, as it does not hold any more.

        Args:
            entry: The endpoint as ``doubted`` returned it.

        Returns:
            Whether it is not leaving now: it has said nothing new meanwhile, and
            the list does not call it leaving.
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
        said_ms = None if known is None else known.said_ms
        if not listed.is_leaving and said_ms is None:
            return None
        since_ms = self._clock.now_ms() if known is None else known.since_ms
        return LeavingEndpoint(listed, since_ms, said_ms)


def is_same_start(first: Endpoint, second: Endpoint) -> bool:
    """Return whether two entries of one id are of the same start."""
    return _start(first) == _start(second)


def _start(endpoint: Endpoint) -> tuple[str, int, int, str]:
    return endpoint.host, endpoint.port, endpoint.born_ms, endpoint.version
