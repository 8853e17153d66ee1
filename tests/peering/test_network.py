"""The proxies between test instances survive connections that overlap."""

from __future__ import annotations

import anyio

from acaciaramp.peering.server import Address
from tests import builders as build
from tests.network import Network


async def wait_for_connections(network: Network, count: int) -> None:
    with anyio.fail_after(5):
        while network.connections != count:
            await anyio.sleep(0.01)


def test_connections_of_the_same_instances_end_in_any_order() -> None:
    listen = Address(build.loopback_host(), 7_000)
    target = Address(build.loopback_host(), 7_001)

    async def echo(stream: anyio.abc.ByteStream) -> None:
        async with stream:
            async for part in stream:
                await stream.send(part)

    async def scenario() -> None:
        network = Network()
        listener = await anyio.create_tcp_listener(
            local_host=target.host, local_port=target.port
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, echo)
            await tasks.start(network.serve, 1, 2, listen, target)
            older = await anyio.connect_tcp(*listen)
            newer = await anyio.connect_tcp(*listen)
            for stream in (older, newer):
                await stream.send(b'x')
                assert await stream.receive() == b'x'
            # The newer one ends first; only the older one drops bytes.
            await newer.aclose()
            await wait_for_connections(network, 1)
            network.block(1, 2)
            await older.send(b'dropped')
            await anyio.sleep(0.05)
            await older.aclose()
            await wait_for_connections(network, 0)
            network.heal()
            async with await anyio.connect_tcp(*listen) as last:
                await last.send(b'y')
                assert await last.receive() == b'y'
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
