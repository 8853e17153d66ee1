"""An instance that reaches no endpoint serves its callers through peers."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from acaciaramp.clock import SystemClock
from acaciaramp.endpoints import dialing
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding import dialer as dialer_module
from acaciaramp.forwarding import reach as reach_module
from acaciaramp.forwarding.dialer import Dialer
from acaciaramp.ids import AvailabilityZone
from acaciaramp.metrics.client import Metrics
from acaciaramp.routing.model import RouteKind
from acaciaramp.tunnels.client import PeerAddress
from acaciaramp.tunnels.opener import TunnelOpener
from acaciaramp.tunnels.server import TunnelServer
from acaciaramp.verdicts import Verdict
from tests import builders as build
from tests.forwarding.harness import (
    Harness,
    complete,
    harness_with,
    make_reach,
    streamed,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import httpcore

    from acaciaramp.routing.model import Route
    from tests.forwarding.endpoint import ScriptedEndpoint

NORTH = AvailabilityZone('north')
LONG = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=5_000)


class Network:
    """The way from one instance to the endpoints; the peers have their own.

    Attributes:
        cut: Ports that cannot be reached from the instance.
        is_refusing: Whether connections to these are refused instead of
            hanging.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the dialling of the instance, but not that of its peers."""
        self.cut: set[int] = set()
        self.is_refusing = False
        self._dial = dialing.dial
        monkeypatch.setattr(reach_module, 'dial', self.dial)
        monkeypatch.setattr(dialer_module, 'dial', self.dial)

    async def dial(
        self, host: str, port: int, timeout_ms: int
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection unless the port is cut off."""
        if port not in self.cut:
            return await self._dial(host, port, timeout_ms)
        if not self.is_refusing:
            await anyio.sleep(timeout_ms / 1_000)
        raise EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'cut off')


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Network:
    return Network(monkeypatch)


@contextlib.asynccontextmanager
async def harness_with_a_peer(
    route: Route, *scripts: Any
) -> AsyncIterator[tuple[Harness, list[ScriptedEndpoint]]]:
    """Serve a gateway whose instance has one peer."""
    async with harness_with(route, *scripts) as (harness, fakes):
        clock = SystemClock()
        server = TunnelServer(
            harness.selector.find,
            bool,
            lambda _: None,
            clock,
            Metrics(),
        )
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        opener = TunnelOpener(NORTH, {}, clock, random.Random(1), Metrics())
        port = listener.extra(SocketAttribute.local_port)
        opener.replace_peers({PeerAddress('127.0.0.1', port): NORTH})
        harness.use_dialer(Dialer(harness.reach, opener, clock))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve_connection)
            tasks.start_soon(harness.reach.run)
            yield harness, fakes
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize('is_refusing', [False, True])
@pytest.mark.parametrize('script', [complete, streamed])
def test_callers_are_served_while_the_instance_reaches_no_endpoint(
    network: Network, script: Any, *, is_refusing: bool
) -> None:
    async def main() -> list[int]:
        scripts = [script] * 3
        async with harness_with_a_peer(LONG, *scripts) as (harness, _):
            network.cut = {endpoint.port for endpoint in harness.endpoints}
            network.is_refusing = is_refusing
            callers = [await harness.request(str(n)) for n in range(5)]
            assert harness.reach.is_lost
            return [caller.status for caller in callers]

    assert anyio.run(main) == [200] * 5


def test_a_dead_endpoint_does_not_end_the_service_through_peers(
    network: Network,
) -> None:
    async def main() -> list[int]:
        scripts = [complete] * 2
        async with harness_with_a_peer(LONG, *scripts) as (harness, _):
            dead = build.listed_endpoint('dead', port=1)
            harness.selector.replace_endpoints([*harness.endpoints, dead])
            network.cut = {item.port for item in harness.selector.staying()}
            network.is_refusing = True
            callers = [await harness.request(str(n)) for n in range(8)]
            return [caller.status for caller in callers]

    assert anyio.run(main) == [200] * 8


def test_idle_connections_of_the_other_path_are_not_used(
    network: Network,
) -> None:
    async def main() -> list[int]:
        async with harness_with_a_peer(LONG, complete, complete) as (
            harness,
            fakes,
        ):
            only = harness.endpoints[0]
            network.is_refusing = True
            for number, cut in enumerate((False, False, True, True, False)):
                ports = {endpoint.port for endpoint in harness.endpoints}
                network.cut = ports if cut else set()
                await harness.reach.check()
                harness.selector.replace_endpoints((only,))
                assert (await harness.request(str(number))).status == 200
                harness.selector.replace_endpoints(harness.endpoints)
            return [request.connection for request in fakes[0].received]

    direct, again, tunnel, same_tunnel, last = anyio.run(main)
    assert direct == again
    assert tunnel == same_tunnel
    assert len({direct, tunnel, last}) == 3


def test_many_suspects_are_no_loss_of_reach_while_another_endpoint_answers(
    network: Network,
) -> None:
    async def main() -> None:
        async with harness_with(LONG, complete) as (harness, _):
            suspects = [
                build.listed_endpoint(
                    f's-{number}',
                    port=number,
                    availability_zone=AvailabilityZone(f'zone-{number}'),
                )
                for number in range(1, 9)
            ]
            network.cut = {endpoint.port for endpoint in suspects}
            network.is_refusing = True
            harness.selector.replace_endpoints([*harness.endpoints, *suspects])
            for endpoint in suspects:
                harness.reach.suspect(endpoint.id)
            await harness.reach.check()
            assert not harness.reach.is_lost

    anyio.run(main)


def test_one_silent_endpoint_is_no_loss_of_reach(network: Network) -> None:
    async def main() -> None:
        async with harness_with(LONG, complete, complete) as (harness, _):
            silent = harness.endpoints[0]
            network.cut = {silent.port}
            harness.reach.suspect(silent.id)
            await harness.reach.check()
            assert not harness.reach.is_lost

    anyio.run(main)


def test_the_direct_way_is_used_again_once_endpoints_are_reached(
    network: Network,
) -> None:
    async def main() -> None:
        async with harness_with(LONG, complete, complete) as (harness, _):
            network.cut = {endpoint.port for endpoint in harness.endpoints}
            network.is_refusing = True
            await harness.reach.check()
            assert harness.reach.is_lost
            network.cut = set()
            await harness.reach.check()
            assert not harness.reach.is_lost
            assert not harness.reach.lost.is_set()

    anyio.run(main)


def test_a_request_is_refused_at_once_if_no_peer_reaches_endpoints(
    network: Network,
) -> None:
    async def main() -> None:
        async with harness_with(LONG, complete, complete) as (harness, fakes):
            clock = SystemClock()
            opener = TunnelOpener(NORTH, {}, clock, random.Random(1), Metrics())
            harness.use_dialer(Dialer(harness.reach, opener, clock))
            network.cut = {endpoint.port for endpoint in harness.endpoints}
            network.is_refusing = True
            await harness.reach.check()
            caller = await harness.request()
            assert caller.status == 503
            assert b'retry-after' in caller.headers
            assert not fakes[0].received

    anyio.run(main)


def test_without_endpoints_there_is_no_doubt() -> None:
    async def main() -> None:
        reach = make_reach(list, SystemClock())
        await reach.check()
        assert not reach.is_lost

    anyio.run(main)
