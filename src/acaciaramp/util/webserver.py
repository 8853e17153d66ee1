"""Runs an ASGI application on a port until it is told to stop."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import anyio
import uvicorn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from starlette.types import ASGIApp

_BACKLOG = 2_048


class _QuietServer(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket; port 0 takes a free one.

    Raises:
        OSError: The port is taken.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


@contextlib.asynccontextmanager
async def serving(
    app: ASGIApp, socks: list[socket.socket], protocol: Any = 'httptools'
) -> AsyncIterator[uvicorn.Server]:
    """Serve ``app`` while the body runs; requests under way then end whole.

    The server is yielded; with ``force_exit`` set it waits for no request.

    Args:
        app: The application.
        socks: Bound sockets.
        protocol: The class of connections.
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
        backlog=_BACKLOG,
    )
    server = _QuietServer(config)
    with contextlib.ExitStack() as stack:
        stack.callback(_close_ports, server)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, socks)
            try:
                yield server
            finally:
                server.should_exit = True


async def serve_forever(app: ASGIApp, sock: socket.socket) -> None:
    """Serve ``app`` until cancelled."""
    async with serving(app, [sock]):
        await anyio.sleep_forever()


def _close_ports(server: uvicorn.Server) -> None:
    """Close what a server that was cancelled has left open."""
    for port in getattr(server, 'servers', ()):
        port.close()
