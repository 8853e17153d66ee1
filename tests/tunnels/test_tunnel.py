"""A tunnel passes on the bytes of an endpoint, and how its connection ended."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import anyio
import httpcore
import pytest
from anyio.abc import SocketAttribute

from acaciaramp.clock import ManualClock, SystemClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.ids import AvailabilityZone, EndpointId
from acaciaramp.metrics.client import Metrics
from acaciaramp.tunnels.client import PeerAddress, open_tunnel
from acaciaramp.tunnels.messages import TunnelError
from acaciaramp.tunnels.opener import TunnelOpener
from acaciaramp.tunnels.server import TunnelServer
from acaciaramp.verdicts import Verdict
from tests import builders as build
from tests.forwarding.endpoint import reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import SocketStream

    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.tunnels.client import TunnelStream

    Handler = Callable[[SocketStream], Awaitable[None]]

NORTH, SOUTH, WEST = map(AvailabilityZone, ('north', 'south', 'west'))
REGIONS = {NORTH: 'east', SOUTH: 'east', WEST: 'far'}
LOST_PEER = PeerAddress('127.0.0.1', 1)


def ignore(_: object) -> None:
    """Do nothing."""


@contextlib.asynccontextmanager
async def listening(handler: Handler) -> AsyncIterator[int]:
    """Serve connections with a handler; yield the port."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handler)
        yield listener.extra(SocketAttribute.local_port)
        tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def tunnel_to(
    handler: Handler, *, is_lost: bool = False
) -> AsyncIterator[tuple[PeerAddress, Endpoint]]:
    """Serve an endpoint, and a peer that passes bytes on to it."""
    async with listening(handler) as port:
        endpoint = build.listed_endpoint('e-1', port=port)
        server = TunnelServer(
            lambda name: endpoint if name == endpoint.id else None,
            lambda: is_lost,
            ignore,
            SystemClock(),
            Metrics(),
        )
        async with listening(server.serve_connection) as peer_port:
            yield PeerAddress('127.0.0.1', peer_port), endpoint


def run(
    handler: Handler,
    scenario: Callable[[PeerAddress, Endpoint], Awaitable[None]],
    *,
    is_lost: bool = False,
) -> None:
    async def main() -> None:
        async with tunnel_to(handler, is_lost=is_lost) as (peer, endpoint):
            with anyio.fail_after(10):
                await scenario(peer, endpoint)

    anyio.run(main)


async def echo_once(stream: SocketStream) -> None:
    async with stream:
        with contextlib.suppress(anyio.EndOfStream):
            await stream.send(b'heard ' + await stream.receive())


async def reset_after_some_bytes(stream: SocketStream) -> None:
    await stream.receive()
    await stream.send(b'some')
    await reset_connection(stream)


async def read_to_end(tunnel: TunnelStream) -> bytes:
    received = b''
    while part := await tunnel.read(3):
        received += part
    return received


def test_bytes_pass_both_ways_and_the_end_is_the_endpoints() -> None:
    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        tunnel = await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)
        await tunnel.write(b'this')
        assert await read_to_end(tunnel) == b'heard this'

    run(echo_once, scenario)


def test_a_reset_of_the_endpoint_is_no_end_of_its_response() -> None:
    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        tunnel = await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)
        await tunnel.write(b'this')
        with pytest.raises(httpcore.ReadError):
            await read_to_end(tunnel)

    run(reset_after_some_bytes, scenario)


def test_closing_the_tunnel_closes_the_connection_to_the_endpoint() -> None:
    closed = anyio.Event()

    async def wait_for_end(stream: SocketStream) -> None:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                await stream.receive()
        closed.set()

    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        tunnel = await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)
        await tunnel.write(b'this')
        await tunnel.aclose()
        await closed.wait()

    run(wait_for_end, scenario)


def test_only_listed_endpoints_are_dialled() -> None:
    async def scenario(peer: PeerAddress, _: Endpoint) -> None:
        with pytest.raises(TunnelError, match='unlisted'):
            await open_tunnel(peer, EndpointId('e-2'), SystemClock(), 1_000)

    run(echo_once, scenario)


def test_a_peer_without_reach_refuses_at_once() -> None:
    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        with pytest.raises(TunnelError, match='lost'):
            await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)

    run(echo_once, scenario, is_lost=True)


def test_a_peer_that_stops_opens_no_tunnel() -> None:
    async def main() -> None:
        async with listening(echo_once) as port:
            endpoint = build.listed_endpoint('e-1', port=port)
            server = TunnelServer(
                lambda _: endpoint, bool, ignore, SystemClock(), Metrics()
            )
            server.is_stopping = True
            async with listening(server.serve_connection) as peer_port:
                peer = PeerAddress('127.0.0.1', peer_port)
                with pytest.raises(TunnelError, match='busy'):
                    await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)

    anyio.run(main)


def test_a_port_in_use_does_not_end_the_instance() -> None:
    async def main() -> None:
        async with listening(echo_once) as port:
            server = TunnelServer(
                lambda _: None, bool, ignore, SystemClock(), Metrics()
            )
            with anyio.fail_after(10):
                await server.serve('127.0.0.1', port)

    anyio.run(main)


@pytest.mark.parametrize('wire', [b'', b'\xff' * 64, b'\0\0\0\1\xc1'])
def test_other_bytes_end_one_connection_only(wire: bytes) -> None:
    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        async with await anyio.connect_tcp(*peer) as stream:
            if wire:
                await stream.send(wire)
            await stream.send_eof()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
        tunnel = await open_tunnel(peer, endpoint.id, SystemClock(), 1_000)
        await tunnel.aclose()

    run(echo_once, scenario)


def make_opener(peers: dict[PeerAddress, AvailabilityZone]) -> TunnelOpener:
    opener = TunnelOpener(
        NORTH, REGIONS, ManualClock(), random.Random(1), Metrics()
    )
    opener.replace_peers(peers)
    return opener


def test_peers_on_the_way_to_the_endpoint_are_preferred() -> None:
    peers = {PeerAddress(zone, 1): zone for zone in (WEST, SOUTH, NORTH)}
    endpoint = build.listed_endpoint('e-1', port=1)
    ranked = make_opener(peers).ranked(endpoint)
    assert [peer.host for peer in ranked] == [NORTH, SOUTH, WEST]


def test_a_peer_that_opens_no_tunnel_is_passed_over() -> None:
    async def scenario(peer: PeerAddress, endpoint: Endpoint) -> None:
        opener = TunnelOpener(
            NORTH, REGIONS, SystemClock(), random.Random(1), Metrics()
        )
        opener.replace_peers({LOST_PEER: NORTH, peer: WEST})
        for _ in range(2):
            tunnel = await opener.open(endpoint)
            assert tunnel.peer == peer
            await tunnel.stream.aclose()
        assert opener.ranked(endpoint)[-1] == LOST_PEER

    run(echo_once, scenario)


def test_a_dead_endpoint_says_nothing_about_the_peers() -> None:
    unreachable: list[EndpointId] = []

    async def main() -> None:
        dead = build.listed_endpoint('e-1', port=1)
        server = TunnelServer(
            lambda _: dead, bool, unreachable.append, SystemClock(), Metrics()
        )
        async with listening(server.serve_connection) as port:
            opener = make_opener({PeerAddress('127.0.0.1', port): NORTH})
            with pytest.raises(EndpointError):
                await opener.open(dead)
        assert opener.has_peers
        assert unreachable == [dead.id]

    anyio.run(main)


def test_without_a_peer_that_reaches_it_nothing_is_sent() -> None:
    async def scenario(_: PeerAddress, endpoint: Endpoint) -> None:
        opener = make_opener({LOST_PEER: NORTH})
        with pytest.raises(EndpointError) as raised:
            await opener.open(endpoint)
        assert raised.value.failure is Failure.CONNECT
        assert raised.value.verdict is Verdict.NOT_RUN
        assert not opener.has_peers

    run(echo_once, scenario)
