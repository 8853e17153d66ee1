"""Test double: a server that sends bytes until its client closes."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

from tests.forwarding.endpoint import ReceivedRequest, read_request

if TYPE_CHECKING:
    from anyio.abc import SocketStream

# Far above every limit, so that a test ends even if nobody closes.
_MOST_BYTES = 268_435_456
_PART_BYTES = 65_536
_POLL_S = 0.01

Prefix = Callable[[ReceivedRequest], bytes]


class EndlessServer:
    """Starts each response as given and goes on until the client closes.

    Attributes:
        sent_bytes: Number of bytes that were sent on all connections.
        closed: Number of connections that clients have closed.
    """

    def __init__(
        self, prefix: Prefix, unit: bytes, pause_ms: int | None = None
    ) -> None:
        """Create the server; ``serving`` opens its port.

        Args:
            prefix: Returns the start of the response to a request.
            unit: Bytes that are sent again and again after it.
            pause_ms: Pause after each unit, milliseconds; None sends as fast as
                the client reads.
        """
        self.sent_bytes = 0
        self.closed = 0
        self._prefix = prefix
        self._unit = unit
        self._pause_ms = pause_ms

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[int]:
        """Serve until the context ends; yield the port."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port: int = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield port
            tasks.cancel_scope.cancel()
        await listener.aclose()

    async def wait_closed(self) -> None:
        """Return once a client has closed its connection."""
        while not self.closed:
            await anyio.sleep(_POLL_S)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                request = await read_request(stream, 1)
                await self._send(stream, self._prefix(request))
                await self._send_without_end(stream)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed += 1

    async def _send_without_end(self, stream: SocketStream) -> None:
        part = self._unit
        if self._pause_ms is None:
            part *= max(1, _PART_BYTES // len(part))
        while self.sent_bytes < _MOST_BYTES:
            await self._send(stream, part)
            await anyio.sleep((self._pause_ms or 0) / 1_000)

    async def _send(self, stream: SocketStream, part: bytes) -> None:
        await stream.send(part)
        self.sent_bytes += len(part)


def head_of(
    request: ReceivedRequest, *lines: bytes, status: bytes = b'200 OK'
) -> bytes:
    """Return a complete head without a length, with the id of the request."""
    named = (b'x-attempt-id: %s' % request.attempt, *lines)
    return b'HTTP/1.1 %s\r\n%s\r\n\r\n' % (status, b'\r\n'.join(named))
