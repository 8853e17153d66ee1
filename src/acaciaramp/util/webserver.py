"""Serves an ASGI application on sockets."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

from acaciaramp.util.http_protocol import RequestProtocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from starlette.types import ASGIApp

_BACKLOG = 2_048


class _SignalFreeServer(uvicorn.Server):
    """A server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an address.

    Args:
        host: IPv4 address to listen on.
        port: TCP port; 0 picks a free one.

    Raises:
        OSError: The address cannot be bound, for example as it is in use.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


@contextlib.asynccontextmanager
async def running_server(
    app: ASGIApp,
    socks: list[socket.socket],
    protocol: Any = RequestProtocol,
    backlog: int = _BACKLOG,
) -> AsyncIterator[uvicorn.Server]:
    """Serve an application while the body of the ``async with`` runs.

    On exit, the server stops accepting requests and waits for those in flight.
    The body may set ``force_exit`` on the server so that it waits for none.

    Args:
        app: The ASGI application.
        socks: Bound sockets to listen on.
        protocol: Class of the connections.
        backlog: Number of connections that wait to be accepted.

    Yields:
        The server.
    """
    config = uvicorn.Config(
        app,
        http=protocol,
        interface='asgi3',
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=backlog,
    )
    server = _SignalFreeServer(config)
    with contextlib.ExitStack() as stack:
        stack.callback(_close_listeners, server)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, socks)
            try:
                yield server
            finally:
                server.should_exit = True


async def serve_forever(
    app: ASGIApp, sock: socket.socket, protocol: Any = RequestProtocol
) -> None:
    """Serve ``app`` on ``sock`` until cancelled."""
    async with running_server(app, [sock], protocol):
        await anyio.sleep_forever()


def _close_listeners(server: uvicorn.Server) -> None:
    """Close the listeners, which a cancelled server does not close itself."""
    for listener in getattr(server, 'servers', ()):
        listener.close()
