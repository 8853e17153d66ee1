"""Requests that are bound to home regions, through the gateway."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import Failure
from acaciaramp.errors import ErrorCode
from acaciaramp.forwarding.call import Call
from acaciaramp.forwarding.connections import Connection, ConnectionPool
from acaciaramp.forwarding.dialer import DialedStream, Dialer
from acaciaramp.forwarding.region_reach import LOST_MS
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.metrics.client import Metrics
from acaciaramp.routing.model import RouteKind, WorkspacePolicy
from acaciaramp.tunnels.client import PeerAddress
from acaciaramp.tunnels.opener import TunnelOpener
from tests import builders as build
from tests.forwarding.harness import Harness, complete, make_reach, run

if TYPE_CHECKING:
    from tests.forwarding.endpoint import ScriptedEndpoint

NORTH, SOUTH, WEST = map(AvailabilityZone, ('north', 'south', 'west'))
REGIONS = {NORTH: 'near', SOUTH: 'far', WEST: 'far'}
PLAIN: dict[str, Any] = {'kind': RouteKind.IDEMPOTENT, 'timeout_ms': 3_000}
FAR_REGION = frozenset(('far',))
FAR = EndpointQuery(service=build.MODEL, regions=FAR_REGION)


def place(harness: Harness, *zones: AvailabilityZone) -> None:
    """Move the endpoints to zones, in the order in which they were started."""
    harness.selector._regions = REGIONS
    harness.selector.replace_endpoints(
        [
            msgspec.structs.replace(endpoint, availability_zone=zone)
            for endpoint, zone in zip(harness.endpoints, zones, strict=True)
        ]
    )


def make_call(
    route_regions: tuple[str, ...], workspace_regions: tuple[str, ...]
) -> Call:
    return Call(
        inbound=build.inbound(),
        route=build.route(home_regions=route_regions),
        service=build.MODEL,
        services={},
        workspace=None,
        workspace_regions=workspace_regions,
        deadline_ms=1,
    )


@pytest.mark.parametrize(
    ('route', 'workspace', 'allowed'),
    [
        ((), (), None),
        (('a',), (), {'a'}),
        ((), ('b',), {'b'}),
        (('a', 'b'), ('b', 'c'), {'b'}),
        (('a',), ('b',), set()),
    ],
)
def test_regions_of_route_and_workspace_both_apply(
    route: tuple[str, ...],
    workspace: tuple[str, ...],
    allowed: set[str] | None,
) -> None:
    assert make_call(route, workspace).allowed_regions == allowed


def test_request_runs_only_in_its_home_regions() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness, NORTH, SOUTH)
        for number in range(20):
            caller = await harness.request(str(number))
            assert caller.status == 200
        assert [len(fake.received) for fake in fakes] == [0, 20]

    run(
        build.route(home_regions=('far',), **PLAIN),
        scenario,
        complete,
        complete,
    )


def test_regions_of_the_workspace_bind_its_requests() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness, NORTH, SOUTH)
        policy = WorkspacePolicy(
            name=build.WORKSPACE, keys=(build.KEY,), home_regions=('far',)
        )
        harness.router.install_table(
            build.routing_table(
                build.route(**PLAIN), version=2, workspaces=(policy,)
            )
        )
        await harness.request()
        assert [len(fake.received) for fake in fakes] == [0, 1]

    run(build.route(**PLAIN), scenario, complete, complete)


def test_request_without_an_endpoint_at_home_is_refused_at_once() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness, NORTH)
        with anyio.fail_after(1):
            caller = await harness.request()
        assert caller.status == 503
        assert b'retry-after' in caller.headers
        assert not fakes[0].received

    run(build.route(home_regions=('far',), **PLAIN), scenario, complete)


def make_selector(clock: ManualClock) -> EndpointSelector:
    selector = EndpointSelector(NORTH, 'near', REGIONS, clock, random.Random(1))
    selector.replace_endpoints(
        [
            build.listed_endpoint('n-1'),
            build.listed_endpoint('s-1', availability_zone=SOUTH),
            build.listed_endpoint('w-1', availability_zone=WEST),
        ]
    )
    return selector


def test_region_that_is_cut_off_refuses_bound_requests_at_once() -> None:
    # Each attempt beyond the cut link takes a whole connection timeout.
    clock = ManualClock()
    selector = make_selector(clock)
    south, west = selector.rank(FAR)
    selector.record_failure(south, Failure.CONNECT.value)
    assert selector.place_problem(FAR) is None
    selector.record_failure(west, Failure.CONNECT.value)
    assert selector.place_problem(FAR) is ErrorCode.HOME_REGION_UNAVAILABLE
    assert selector.place_problem(EndpointQuery(service=build.MODEL)) is None
    clock.advance(LOST_MS)
    assert selector.place_problem(FAR) is None
    selector.record_failure(west, Failure.CONNECT.value)
    selector.record_success(south)
    assert selector.place_problem(FAR) is None


def make_opener(clock: ManualClock) -> TunnelOpener:
    opener = TunnelOpener(NORTH, REGIONS, clock, random.Random(1), Metrics())
    opener.replace_peers(
        {
            PeerAddress('near', 1): NORTH,
            PeerAddress('far', 1): SOUTH,
            PeerAddress('other', 1): AvailabilityZone('elsewhere'),
        }
    )
    return opener


def test_tunnels_pass_only_through_peers_that_may_see_the_request() -> None:
    opener = make_opener(ManualClock())
    endpoint = build.listed_endpoint(availability_zone=SOUTH)
    hosts = {peer.host for peer in opener.ranked(endpoint, FAR_REGION)}
    assert hosts == {'near', 'far'}
    assert len(opener.ranked(endpoint)) == 3
    assert not opener.allows(PeerAddress('gone', 1), FAR_REGION)


def test_open_tunnel_through_another_region_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Connection, 'is_reusable', lambda _: True)
    monkeypatch.setattr(Dialer, 'uses_tunnels', True)
    clock = ManualClock()
    opener = make_opener(clock)
    dialer = Dialer(make_reach(list, clock), opener, clock)
    endpoint = build.listed_endpoint()

    async def open_in_turn(*_: object) -> DialedStream:
        return DialedStream(httpcore.AsyncMockStream([]), peers.pop())

    peers = [PeerAddress('far', 1), PeerAddress('other', 1)]
    monkeypatch.setattr(dialer, 'open', open_in_turn)

    async def scenario() -> None:
        pool = ConnectionPool(dialer, clock, lambda _: None)
        await pool.release(endpoint, await pool.acquire(endpoint))
        conn = await pool.acquire(endpoint)
        assert conn.peer == 'other'
        await pool.release(endpoint, conn)
        conn = await pool.acquire(endpoint, FAR_REGION)
        assert conn.peer == 'far'

    anyio.run(scenario)
