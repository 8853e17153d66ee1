"""Nothing is sent to the endpoints of evacuated zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from acaciaramp.conversations.messages import StreamOrigin
from acaciaramp.forwarding.selector import EndpointQuery
from acaciaramp.ids import AvailabilityZone, EndpointId
from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.harness import Harness, complete, run, streamed

if TYPE_CHECKING:
    import pytest

    from acaciaramp.forwarding.call import Call
    from tests.forwarding.endpoint import ScriptedEndpoint

PLAIN: dict[str, Any] = {'kind': RouteKind.IDEMPOTENT, 'timeout_ms': 3_000}
ZONES = tuple(map(AvailabilityZone, ('north', 'south')))


def place(harness: Harness) -> None:
    """Move the endpoints to the two zones."""
    harness.selector.replace_endpoints(
        [
            msgspec.structs.replace(endpoint, availability_zone=zone)
            for endpoint, zone in zip(harness.endpoints, ZONES, strict=True)
        ]
    )


def test_evacuated_zone_gets_no_request_until_it_is_finished() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness)
        harness.selector.replace_evacuated(('north',))
        for number in range(20):
            caller = await harness.request(str(number))
            assert caller.status == 200
        assert [len(fake.received) for fake in fakes] == [0, 20]
        harness.selector.replace_evacuated(())
        for number in range(20):
            await harness.request(f'later-{number}')
        assert fakes[0].received

    run(build.route(**PLAIN), scenario, complete, complete)


def test_request_without_another_zone_is_refused_at_once() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness)
        harness.selector.replace_evacuated(ZONES)
        with anyio.fail_after(1):
            caller = await harness.request()
        assert caller.status == 503
        assert b'retry-after' in caller.headers
        assert not any(fake.received for fake in fakes)

    run(build.route(**PLAIN), scenario, complete, complete)


def test_evacuation_is_kept_while_the_list_is_read_without_the_leader() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.selector.replace_evacuated(('north',))
        place(harness)
        await harness.request()
        assert [len(fake.received) for fake in fakes] == [0, 1]
        # No tunnel of a peer that has lost the leader leads there, while the
        # check of the reach goes on.
        assert harness.selector.find(EndpointId('e-0')) is None
        assert len(harness.selector.staying()) == 2

    run(build.route(**PLAIN), scenario, complete, complete)


def test_version_of_an_evacuated_zone_is_not_gone() -> None:
    # The caller would begin its stream anew for nothing.
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        first = build.listed_endpoint('e-0', version='v1')
        second = build.listed_endpoint(
            'e-1', version='v2', availability_zone='south'
        )
        query = EndpointQuery(
            service=build.MODEL, version='v2', requires_version=True
        )
        harness.selector.replace_endpoints([first, second])
        harness.selector.replace_evacuated(('south',))
        assert not harness.selector.lacks_version(query)
        assert harness.selector.rank(query) == []

    run(build.route(**PLAIN), scenario)


def expect_other(_: Call) -> StreamOrigin:
    """Return an origin that no endpoint has, so that another is committed."""
    return StreamOrigin(build.MODEL, 'other')


def test_evacuation_that_begins_while_an_origin_is_committed_is_obeyed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        place(harness)
        chooser = harness.gateway._chooser
        record_origin = chooser._record_origin

        async def record(call: Call, origin: StreamOrigin) -> None:
            await record_origin(call, origin)
            harness.selector.replace_evacuated(('north',))

        chooser._record_origin = record
        monkeypatch.setattr(chooser, 'expected_origin', expect_other)
        for number in range(10):
            harness.selector.replace_evacuated(())
            caller = await harness.request(str(number))
            assert caller.status == 200
        assert [len(fake.received) for fake in fakes] == [0, 10]

    run(build.route(is_resumable=True), scenario, streamed, streamed)
