"""Listeners for peers and metrics serve a bounded number of connections."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from acaciaramp.util.gate import ConnectionGate

TIMEOUT_S = 10
SENT_BYTES = 16_777_216


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


# Guards against bytes that are kept while the handler receives none of them.
def test_a_connection_is_not_read_while_its_handler_does_not_receive() -> None:
    gate = ConnectionGate('test', 1)
    kept: list[int] = []

    async def handle(stream: SocketStream) -> None:
        async with stream:
            await anyio.sleep(0.2)
            protocol: Any = stream._protocol  # type: ignore[attr-defined]
            kept.append(sum(map(len, protocol.read_queue)))

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        address = '127.0.0.1', listener.extra(SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, gate.guard(handle))
            peer = await anyio.connect_tcp(*address)
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await peer.send(SENT_BYTES * b'x')
                await peer.receive()
            tasks.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(TIMEOUT_S):
            await scenario()

    anyio.run(main)
    assert kept[0] < SENT_BYTES // 8
