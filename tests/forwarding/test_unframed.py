"""Responses that have no length and end with their connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.abc import SocketAttribute

from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import read_request, reset_connection
from tests.forwarding.harness import Harness, run

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from acaciaramp.routing.model import Route
    from tests.forwarding.endpoint import (
        ReceivedRequest,
        Script,
        ScriptedEndpoint,
    )

READ_S = 0.05
PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=2_000)
STREAM = build.route(timeout_ms=2_000)


def unframed(*parts: bytes) -> Script:
    """Return a script that sends parts of a body, and closes."""

    def script(request: ReceivedRequest) -> list[bytes | None]:
        head = b'HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\n\r\n'
        return [head % request.attempt, *parts, None]

    return script


def test_a_body_without_a_length_is_handed_on_with_one() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        callers = [await harness.request(name) for name in 'ab']
        assert [caller.body for caller in callers] == [b'thing'] * 2
        assert callers[0].headers[b'content-length'] == b'5'
        assert [item.connection for item in fakes[0].received] == [1, 2]

    run(PLAIN, scenario, unframed(b'thi', b'ng'))


def test_an_empty_body_without_a_length_is_whole() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert (caller.status, caller.body) == (200, b'')
        assert caller.is_complete

    run(PLAIN, scenario, unframed())


@pytest.mark.parametrize('route', [PLAIN, STREAM])
def test_a_response_that_ends_with_a_reset_is_not_whole(route: Route) -> None:
    async def reset(stream: SocketStream) -> None:
        request = await read_request(stream, 1)
        head, body, _ = unframed(b'data: a\n\n')(request)
        assert head is not None
        assert body is not None
        await stream.send(head + body)
        # The gateway reads what was sent before the reset discards it.
        await anyio.sleep(READ_S)
        await reset_connection(stream)

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(SocketAttribute.local_port)
        harness.selector.replace_endpoints(
            [build.listed_endpoint('e-1', port=port)]
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, reset)
            caller = await harness.request()
            assert caller.status != 200 or not caller.is_complete
            tasks.cancel_scope.cancel()

    run(route, scenario)


def test_a_response_that_ends_within_its_head_is_none() -> None:
    def cut_head(_: ReceivedRequest) -> list[bytes | None]:
        return [b'HTTP/1.1 200 OK\r\nx-attempt', None]

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502

    run(PLAIN, scenario, cut_head)


@pytest.mark.parametrize(
    ('parts', 'is_complete'),
    [
        ([b'data: a\n\n', b'data: b\n\n'], True),
        ([b'data: a\r\n\r', b'\n'], True),
        ([], True),
        ([b'data: a\n\n', b'data: b\n'], False),
        ([b'data: a\n\nid: 2'], False),
    ],
)
def test_a_stream_that_ends_within_an_event_is_not_complete(
    parts: list[bytes], *, is_complete: bool
) -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 200
        assert caller.is_complete is is_complete
        assert caller.body == b''.join(parts)

    run(STREAM, scenario, unframed(*parts))
