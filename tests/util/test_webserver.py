"""Shutdown of a server while a request is in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

_REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
# Far longer than a shutdown takes; reached only if the server never ends.
_TIMEOUT_S = 10


def test_a_pending_request_does_not_delay_a_forced_exit() -> None:
    received = anyio.Event()

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        received.set()
        await anyio.sleep_forever()

    async def times_out() -> bool:
        sock = bind_socket('127.0.0.1', 0)
        with anyio.move_on_after(_TIMEOUT_S) as scope:
            async with running_server(app, [sock]) as server:
                caller = await anyio.connect_tcp(*sock.getsockname())
                await caller.send(_REQUEST)
                await received.wait()
                server.force_exit = True
        await caller.aclose()
        return scope.cancelled_caught

    assert not anyio.run(times_out)
