"""Test doubles: a scripted endpoint, an ASGI caller and a recorded crash watch."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from acaciaramp.forwarding.crashes import Crash, CrashWatch
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint

_ATTEMPT = re.compile(rb'x-attempt-id: (\S+)', re.IGNORECASE)
_LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)


class ReceivedRequest:
    """One request as the endpoint received it.

    Attributes:
        head: Request line and headers.
        body: The body.
        connection: Number of the connection, counted from 1.
    """

    def __init__(self, head: bytes, body: bytes, connection: int) -> None:
        """Create the record."""
        self.head = head
        self.body = body
        self.connection = connection

    @property
    def attempt(self) -> bytes:
        """The id of the request, empty if it has none."""
        found = _ATTEMPT.search(self.head)
        return found[1] if found else b''


Script = Callable[[ReceivedRequest], 'list[bytes | None]']


class ScriptedEndpoint:
    """Responds to each request with the bytes that a script returns.

    ``None`` in a script closes the connection at that point.

    Attributes:
        received: All requests, in order.
        closed: Number of connections that have ended.
    """

    def __init__(self, script: Script) -> None:
        """Create the endpoint; ``serving`` opens its port.

        Args:
            script: Returns the parts of the response to a request.
        """
        self.received: list[ReceivedRequest] = []
        self.closed = 0
        self._script = script
        self._connections = 0

    @contextlib.asynccontextmanager
    async def serving(self, name: str = 'e-1') -> AsyncIterator[Endpoint]:
        """Serve until the context ends; yield the listed endpoint."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield build.listed_endpoint(name, port=port)
            tasks.cancel_scope.cancel()
        await listener.aclose()

    async def _serve(self, stream: SocketStream) -> None:
        self._connections += 1
        number = self._connections
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    request = await read_request(stream, number)
                    self.received.append(request)
                    for part in self._script(request):
                        if part is None:
                            return
                        await stream.send(part)
        self.closed += 1


def response_to(
    request: ReceivedRequest,
    body: bytes = b'ok',
    status: str = '200 OK',
    header_lines: str = '',
) -> bytes:
    """Return a complete response to a request."""
    return (
        b'HTTP/1.1 %s\r\nx-attempt-id: %s\r\ncontent-length: %d\r\n%s\r\n%s'
        % (
            status.encode(),
            request.attempt,
            len(body),
            header_lines.encode(),
            body,
        )
    )


def stream_to(request: ReceivedRequest, *events: bytes) -> Iterator[bytes]:
    """Yield the parts of a chunked response with server-sent events."""
    yield (
        b'HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\n'
        b'transfer-encoding: chunked\r\n\r\n' % request.attempt
    )
    for event in events:
        text = b'data: %s\n\n' % event
        yield b'%x\r\n%s\r\n' % (len(text), text)
    yield b'0\r\n\r\n'


class FakeCaller:
    """The ASGI server's side of one request.

    Attributes:
        sent: Messages that the application sent.
        disconnected: To be set when the caller closes its connection.
    """

    def __init__(self, body: bytes = b'input') -> None:
        """Create the caller of one request with a body."""
        self.sent: list[dict[str, Any]] = []
        self.disconnected = anyio.Event()
        self._bodies = [body]

    async def receive(self) -> dict[str, Any]:
        """Return the body, then wait until the caller disconnects."""
        if self._bodies:
            return {'type': 'http.request', 'body': self._bodies.pop()}
        await self.disconnected.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message: dict[str, Any]) -> None:
        """Record a message of the application."""
        self.sent.append(message)

    @property
    def status(self) -> int:
        """The status of the response."""
        status: int = self.sent[0]['status']
        return status

    @property
    def headers(self) -> dict[bytes, bytes]:
        """The headers of the response."""
        return dict(self.sent[0]['headers'])

    @property
    def body(self) -> bytes:
        """The part of the response body that was sent."""
        return b''.join(message['body'] for message in self.sent[1:])

    @property
    def is_complete(self) -> bool:
        """Whether the response has ended."""
        last = self.sent[-1]
        is_body = last['type'] == 'http.response.body'
        return is_body and not last.get('more_body', False)


class RecordedCrashes:
    """A crash watch and its reports.

    Attributes:
        watch: The watch; not run.
        reported: What it has reported.
        refuses: Whether endpoints refuse connections.
        dials: How often an endpoint was dialled.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the watch; endpoints accept connections."""
        self.reported: list[Crash] = []
        self.refuses = False
        self.dials = 0
        self.watch = CrashWatch(self._dial, self.reported.append, clock)

    @property
    def digests(self) -> list[str]:
        """Digests of the reported requests."""
        return [crash.digest for crash in self.reported]

    async def _dial(self, _: Endpoint) -> bool:
        self.dials += 1
        return self.refuses


async def reset_connection(stream: SocketStream) -> None:
    """Close a connection with a reset, so that its end is not in order."""
    raw = stream.extra(SocketAttribute.raw_socket)
    # Lingering for no time discards what is not sent yet.
    linger = struct.pack('ii', 1, 0)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await stream.aclose()


async def read_request(stream: SocketStream, number: int) -> ReceivedRequest:
    """Return the next request of a connection.

    Args:
        stream: The connection.
        number: Number of the connection, for the record.
    """
    wire = b''
    while b'\r\n\r\n' not in wire:
        wire += await stream.receive()
    head, _, body = wire.partition(b'\r\n\r\n')
    found = _LENGTH.search(head)
    length = int(found[1]) if found else 0
    while len(body) < length:
        body += await stream.receive()
    return ReceivedRequest(head, body, number)
