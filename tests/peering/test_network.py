"""The proxies between test instances survive connections that overlap."""

from __future__ import annotations

import anyio

from acaciaramp.peering.server import Address
from tests import builders as build
from tests.network import Network

LISTEN = Address(build.loopback_host(), 7_000)
TARGET = Address(build.loopback_host(), 7_001)


async def wait_for_connections(network: Network, count: int) -> None:
    with anyio.fail_after(5):
        while network.connections != count:
            await anyio.sleep(0.01)


async def connect() -> anyio.abc.ByteStream:
    """Return a connection through the proxy that has passed bytes."""
    stream = await anyio.connect_tcp(*LISTEN)
    await stream.send(b'x')
    assert await stream.receive() == b'x'
    return stream


async def echo(stream: anyio.abc.ByteStream) -> None:
    async with stream:
        async for part in stream:
            await stream.send(part)


async def drop_bytes_of_older(network: Network) -> None:
    """End the newer of two connections, then the older one that drops bytes."""
    older = await connect()
    newer = await connect()
    await newer.aclose()
    await wait_for_connections(network, 1)
    network.block(1, 2)
    await older.send(b'dropped')
    await anyio.sleep(0.05)
    await older.aclose()
    await wait_for_connections(network, 0)
    network.heal()


def test_connections_of_the_same_instances_end_in_any_order() -> None:
    async def scenario() -> None:
        network = Network()
        listener = await anyio.create_tcp_listener(
            local_host=TARGET.host, local_port=TARGET.port
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, echo)
            await tasks.start(network.serve, 1, 2, LISTEN, TARGET)
            await drop_bytes_of_older(network)
            await (await connect()).aclose()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
