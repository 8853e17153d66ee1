"""An application behind a web server, and connections to it."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.http_protocol import RequestProtocol, request_target
from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream
    from starlette.types import Receive, Scope, Send

LIMITS = HeaderLimits(most_bytes=1_000, longest_ms=60_000)
LIMITED = functools.partial(HeaderLimitProtocol, lambda: LIMITS)
PROTOCOLS = [RequestProtocol, LIMITED]
# Reached only if an expected response never comes.
TIMEOUT_S = 10


class RecordingApp:
    """An ASGI application that records requests and answers them with 200.

    Attributes:
        received: Method, target and body of each request whose body has ended.
    """

    def __init__(self) -> None:
        """Create the application."""
        self.received: list[tuple[str, bytes, bytes]] = []

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Record a request and answer it."""
        body = b''
        has_more = True
        while has_more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message.get('body', b'')
            has_more = message.get('more_body', False)
        target = request_target(scope)
        self.received.append((scope['method'], target, body))
        headers = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body'})


@contextlib.asynccontextmanager
async def connected(app: Any, protocol: Any) -> AsyncIterator[SocketStream]:
    """Serve an application and yield a connection to it."""
    sock = bind_socket('127.0.0.1', 0)
    async with (
        running_server(app, [sock], protocol),
        await anyio.connect_tcp(*sock.getsockname()) as stream,
    ):
        yield stream


async def until_disconnected(receive: Receive) -> None:
    """Return when an application is told that its caller has gone."""
    kind = ''
    while kind != 'http.disconnect':
        kind = (await receive())['type']


async def read_to_end(stream: SocketStream) -> bytes:
    """Return all bytes until the server closes the connection."""
    received = bytearray()
    with anyio.fail_after(TIMEOUT_S):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                received.extend(await stream.receive())
    return bytes(received)
