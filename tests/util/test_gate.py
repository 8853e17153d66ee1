"""Listeners for peers and metrics serve a bounded number of connections."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from acaciaramp.util.gate import ConnectionGate

TIMEOUT_S = 10


def test_connections_beyond_the_limit_are_closed_at_once() -> None:
    gate = ConnectionGate('test', 2)

    async def handle(stream: SocketStream) -> None:
        async with stream:
            await stream.send(b'served')
            await stream.receive()

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        address = '127.0.0.1', listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, gate.guard(handle))
            first = await anyio.connect_tcp(*address)
            second = await anyio.connect_tcp(*address)
            assert await first.receive() == await second.receive() == b'served'
            async with await anyio.connect_tcp(*address) as refused:
                with pytest.raises((anyio.EndOfStream, OSError)):
                    await refused.receive()
            await first.send(b'x')
            with pytest.raises(anyio.EndOfStream):
                await first.receive()
            async with await anyio.connect_tcp(*address) as third:
                assert await third.receive() == b'served'
            tasks.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(TIMEOUT_S):
            await scenario()

    anyio.run(main)
    assert gate.refused == 1
