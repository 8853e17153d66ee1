"""Streams that are resumed through another entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from acaciaramp.conversations.messages import (
    OpenReply,
    OpenTurn,
    StreamOrigin,
    TurnKey,
)
from acaciaramp.coordination.codec import encode
from acaciaramp.ids import ServiceName
from acaciaramp.routing.model import Target
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    ReceivedRequest,
    ScriptedEndpoint,
    stream_to,
)
from tests.forwarding.harness import Harness, refused, run, streamed

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint

RESUMABLE = build.route(is_resumable=True, timeout_ms=1_000)
OTHER_SERVICE = ServiceName('other-lm')


def cut_after_one_event(request: ReceivedRequest) -> list[bytes | None]:
    return [*list(stream_to(request, b'one', b'two'))[:2], None]


def with_versions(harness: Harness, *versions: str) -> list[Endpoint]:
    """Return the endpoints of a gateway, each with a version."""
    return [
        msgspec.structs.replace(endpoint, version=version)
        for endpoint, version in zip(harness.endpoints, versions, strict=True)
    ]


async def resume(
    harness: Harness, attempt: str = 'a2', resumed: bytes = b'a1'
) -> FakeCaller:
    """Take up the stream of a request after its first event."""
    return await harness.request(
        attempt, (b'last-event-id', b'1'), (b'resumes', resumed)
    )


def origin_of(harness: Harness, attempt: str) -> StreamOrigin | None:
    """Return what the ledger knows of a request's stream."""
    command = OpenTurn(turn=TurnKey(build.WORKSPACE, 'reader'), resumes=attempt)
    reply = harness.ledger.state_machine.apply(encode(command))
    assert isinstance(reply, OpenReply)
    return reply.origin


def test_a_resumed_stream_is_not_joined_from_two_versions() -> None:
    """The entry that began the stream is lost, and the other version is idle."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        old, new = with_versions(harness, 'v1', 'v2')
        harness.selector.replace_endpoints((old,))
        assert not (await harness.request('a1')).is_complete
        async with anyio.create_task_group() as tasks:
            other = Harness(tasks, RESUMABLE, harness.ledger)
            other.selector.replace_endpoints((old, new))
            for _ in range(4):
                other.selector.record_start(old, '')
            await resume(other)
        assert [len(fake.received) for fake in fakes] == [2, 0]
        assert b'last-event-id: 1' in fakes[0].received[1].head.lower()

    run(RESUMABLE, scenario, cut_after_one_event, streamed)


def test_a_stream_whose_version_has_left_is_refused_at_once() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        old, new = with_versions(harness, 'v1', 'v2')
        harness.selector.replace_endpoints((old,))
        await harness.request('a1')
        harness.selector.replace_endpoints((new,))
        caller = await resume(harness)
        assert caller.status == 503
        assert harness.metrics.counts['refused.stream_version_gone'] == 1
        assert not fakes[1].received

    run(RESUMABLE, scenario, cut_after_one_event, streamed)


def test_an_instance_out_of_step_joins_no_stream_with_an_older_version() -> (
    None
):
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        old, new = with_versions(harness, 'v1', 'v2')
        harness.selector.replace_endpoints((old, new))
        harness.selector.record_start(old, '')
        assert not (await harness.request('a1')).is_complete
        assert len(fakes[1].received) == 1
        async with anyio.create_task_group() as tasks:
            stale = Harness(tasks, RESUMABLE, harness.ledger)
            stale.selector.replace_endpoints((old,))
            caller = await resume(stale)
        assert caller.status == 503
        assert not fakes[0].received

    run(RESUMABLE, scenario, streamed, cut_after_one_event)


@pytest.mark.parametrize('resumed', [b'never', b''])
def test_a_stream_of_unknown_origin_is_refused(resumed: bytes) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await resume(harness, resumed=resumed)
        assert caller.status == 503
        assert harness.metrics.counts['refused.unknown_stream'] == 1
        assert not fakes[0].received

    run(RESUMABLE, scenario, streamed)


def test_origin_of_a_stream_is_committed_before_its_request_is_sent() -> None:
    origins: list[StreamOrigin | None] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        def record(request: ReceivedRequest) -> list[bytes | None]:
            origins.append(origin_of(harness, request.attempt.decode()))
            return streamed(request)

        fakes[0]._script = record
        harness.selector.replace_endpoints(with_versions(harness, 'v1'))
        assert (await harness.request('a1')).is_complete

    run(RESUMABLE, scenario, streamed)
    assert origins == [StreamOrigin(build.MODEL, 'v1')]


def test_origin_follows_a_retry_at_another_version() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        full, idle = with_versions(harness, 'v1', 'v2')
        harness.selector.replace_endpoints((full, idle))
        for _ in range(3):
            harness.selector.record_start(idle, '')
        assert (await harness.request('a1')).is_complete
        assert [len(fake.received) for fake in fakes] == [1, 1]
        assert origin_of(harness, 'a1') == StreamOrigin(build.MODEL, 'v2')

    run(RESUMABLE, scenario, refused, streamed)


def test_a_stream_without_a_recorded_origin_is_not_begun() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.ledger.is_down = True
        assert (await harness.request('a1')).status == 503
        assert not fakes[0].received

    run(RESUMABLE, scenario, streamed)


def test_retry_at_another_version_needs_the_ledger() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        def refuse(request: ReceivedRequest) -> list[bytes | None]:
            harness.ledger.is_down = True
            return refused(request)

        fakes[0]._script = refuse
        full, idle = with_versions(harness, 'v1', 'v2')
        harness.selector.replace_endpoints((full, idle))
        for _ in range(3):
            harness.selector.record_start(idle, '')
        assert (await harness.request('a1')).status == 503
        assert not fakes[1].received

    run(RESUMABLE, scenario, refused, streamed)


def test_a_resumed_stream_stays_with_its_service() -> None:
    route = build.route(
        is_resumable=True,
        targets=(Target(build.MODEL, 1), Target(OTHER_SERVICE, 1_000)),
    )

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        (began,) = harness.endpoints
        harness.router.install_table(build.routing_table(RESUMABLE, version=2))
        await harness.request('a1')
        harness.router.install_table(build.routing_table(route, version=3))
        other = msgspec.structs.replace(began, service=OTHER_SERVICE, id='o-1')
        harness.selector.replace_endpoints((began, other))
        for number in range(5):
            await resume(harness, f'b{number}')
        assert len(fakes[0].received) == 6
        heads = [item.head.lower() for item in fakes[0].received]
        assert all(b'x-expect-instance: e-0' in head for head in heads)

    run(RESUMABLE, scenario, streamed)


def test_a_stream_whose_service_left_the_route_is_refused() -> None:
    moved = build.route(
        is_resumable=True,
        targets=(Target(build.MODEL, 0), Target(OTHER_SERVICE, 1)),
    )

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request('a1')
        harness.router.install_table(build.routing_table(moved, version=2))
        assert (await resume(harness)).status == 503
        assert len(fakes[0].received) == 1

    run(RESUMABLE, scenario, streamed)


def test_a_route_without_resumption_keeps_no_origin() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request('a1', (b'last-event-id', b'1'))
        assert caller.is_complete
        assert origin_of(harness, 'a1') is None

    run(build.route(), scenario, streamed)
