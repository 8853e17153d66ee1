"""A server ends with its body, also while a request is under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.util.webserver import bind_socket, serving

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

_REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
# Far beyond what ending takes; only a server that waits for ever reaches it.
_LONGEST_S = 10


def test_a_request_that_never_ends_does_not_hold_up_a_forced_exit() -> None:
    asked = anyio.Event()

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        asked.set()
        await anyio.sleep_forever()

    async def whole() -> bool:
        sock = bind_socket('127.0.0.1', 0)
        with anyio.move_on_after(_LONGEST_S) as scope:
            async with serving(app, [sock]) as server:
                caller = await anyio.connect_tcp(*sock.getsockname())
                await caller.send(_REQUEST)
                await asked.wait()
                server.force_exit = True
        await caller.aclose()
        return scope.cancelled_caught

    assert not anyio.run(whole)
