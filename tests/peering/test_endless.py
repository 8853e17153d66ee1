"""Peers whose bytes never end, on both sides of a link."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketAttribute

from acaciaramp.clock import SystemClock
from acaciaramp.errors import CallError
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.framing import MAX_FRAME_BYTES
from acaciaramp.peering.link import Link, LinkTiming
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.server import Address, serve_peers
from tests import builders as build

TIMING = LinkTiming(
    heartbeat_ms=50,
    silence_ms=300,
    connect_ms=300,
    reconnect_ms=10,
    longest_reconnect_ms=20,
)
IN_TRANSIT_BYTES = 16_777_216
UNITS = [
    bytes(4_096),
    b'x' * 4_096,
    b'\x00\x00\x00\x02\xc1\xc1' * 600,
    b'\x01\x00\x00\x00' + bytes(4_092),
]


async def send_without_end(stream: anyio.abc.ByteStream, unit: bytes) -> int:
    """Send a unit again and again; return the bytes that the peer took."""
    sent = 0
    try:
        while sent < 10 * MAX_FRAME_BYTES:
            await stream.send(unit)
            sent += len(unit)
    except anyio.BrokenResourceError:
        return sent
    raise AssertionError('the peer reads without end')


@pytest.mark.parametrize('unit', UNITS)
def test_server_closes_a_connection_that_is_no_protocol(unit: bytes) -> None:
    address = Address(build.loopback_host(), 7_000)

    async def scenario() -> int:
        async with anyio.create_task_group() as tasks:
            await tasks.start(
                serve_peers, address, {}, SystemClock(), Metrics()
            )
            with anyio.fail_after(30):
                async with await anyio.connect_tcp(*address) as stream:
                    sent = await send_without_end(stream, unit)
            tasks.cancel_scope.cancel()
        return sent

    assert anyio.run(scenario) < MAX_FRAME_BYTES + IN_TRANSIT_BYTES


@pytest.mark.parametrize('unit', UNITS)
def test_link_closes_a_connection_that_is_no_protocol(unit: bytes) -> None:
    taken: list[int] = []

    async def babble(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            taken.append(await send_without_end(stream, unit))

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port: int = listener.extra(SocketAttribute.local_port)
        link = Link(
            'entry-2',
            Address('127.0.0.1', port),
            SystemClock(),
            Metrics(),
            TIMING,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, babble)
            tasks.start_soon(link.run)
            with pytest.raises(CallError):
                await link.request(Channel.PROGRAMS, b'', 1_000)
            with anyio.fail_after(30):
                while not taken:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(scenario)
    assert taken[0] < MAX_FRAME_BYTES + IN_TRANSIT_BYTES
