"""Limits the number of open connections of a listener."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import ByteStream

    Handler = Callable[[Any], Awaitable[None]]

logger = get_logger('listener')


class ConnectionGate:
    """Closes connections beyond a number at once.

    Attributes:
        open_connections: Number of connections that are being served.
        refused: Number of connections that were closed at once.
    """

    def __init__(self, name: str, most_connections: int) -> None:
        """Create the gate of a listener.

        Args:
            name: What the listener serves, for the log.
            most_connections: Maximum number of open connections.
        """
        self.open_connections = 0
        self.refused = 0
        self._name = name
        self._most_connections = most_connections
        self._is_full = False

    def guard(self, handle: Handler) -> Handler:
        """Return a handler that serves connections within the limit."""
        return functools.partial(self._serve, handle)

    async def _serve(self, handle: Handler, stream: ByteStream) -> None:
        if self.open_connections >= self._most_connections:
            self._record_refusal()
            await anyio.aclose_forcefully(stream)
            return
        self._is_full = False
        self.open_connections += 1
        _pause_reading(stream)
        try:
            await handle(stream)
        finally:
            self.open_connections -= 1

    def _record_refusal(self) -> None:
        """Count a refusal; log the first one since there was room."""
        self.refused += 1
        if not self._is_full:
            self._is_full = True
            logger.warning(
                'Too many connections are open; closing new ones.',
                listener=self._name,
                open_connections=self.open_connections,
                refused=self.refused,
            )


def _pause_reading(stream: ByteStream) -> None:
    """Let a connection be read only while its handler receives.

    anyio reads from a connection that it has accepted as fast as the peer sends,
    and keeps all of it, until a call of ``receive`` has waited once.
    """
    # There is no public access to the transport.
    transport = getattr(stream, '_transport', None)
    if transport is not None:
        transport.pause_reading()
