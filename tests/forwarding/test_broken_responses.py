"""Responses of endpoints that break off at any byte."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from acaciaramp.routing.model import Route, RouteKind
from tests import builders as build
from tests.forwarding.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
    stream_to,
)
from tests.forwarding.harness import (
    NOT_EXECUTED_HEADER,
    SERVER_ERROR,
    SERVICE_UNAVAILABLE,
    Harness,
    run,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SUCCESS = 200
BAD_GATEWAY = 502
PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT)
STREAM = build.route()
RESUMABLE = build.route(is_resumable=True, attempts=3)


def sized(request: ReceivedRequest) -> bytes:
    """Return a response with a length."""
    return response_to(request, b'data: one\n\ndata: two\n\n')


def chunked(request: ReceivedRequest) -> bytes:
    """Return a response in chunks."""
    return b''.join(stream_to(request, b'one', b'two'))


def with_informational_head(request: ReceivedRequest) -> bytes:
    """Return a response after an informational one."""
    return b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n' + sized(request)


# Guards against a response that is passed on as whole, empty or short, though
# its endpoint stopped within its head or body.
@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize('write', [sized, chunked, with_informational_head])
def test_a_response_that_breaks_off_at_any_byte_is_not_whole(
    route: Route, write: Callable[[ReceivedRequest], bytes]
) -> None:
    cuts: list[int] = []

    def broken(request: ReceivedRequest) -> list[bytes | None]:
        return [write(request)[: cuts[-1]], None]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        whole = write(ReceivedRequest(b'x-attempt-id: a', b'', 1))
        for cut in range(len(whole)):
            cuts.append(cut)
            caller = await harness.request('a')
            if caller.status == SUCCESS:
                assert not caller.is_complete, whole[:cut]
            else:
                assert caller.status == BAD_GATEWAY, whole[:cut]
                assert b'"error"' in caller.body
            harness.selector.record_success(harness.endpoints[0])

    run(route, scenario, broken)


# Guards against the text of an error, or the events of another run, in the
# middle of a stream that has begun.
@pytest.mark.parametrize('route', [STREAM, RESUMABLE])
@pytest.mark.parametrize(
    ('status', 'header_lines'),
    [
        (SERVER_ERROR, ''),
        (SERVICE_UNAVAILABLE, NOT_EXECUTED_HEADER),
        ('200 OK', ''),
    ],
)
def test_a_stream_that_broke_off_is_not_continued_by_another_response(
    route: Route, status: str, header_lines: str
) -> None:
    def broken_once(request: ReceivedRequest) -> list[bytes | None]:
        received = sum(len(fake.received) for fake in endpoints)
        if received == 1:
            return [*list(stream_to(request, b'one', b'two'))[:2], None]
        return [response_to(request, b'other', status, header_lines)]

    endpoints: list[ScriptedEndpoint] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        endpoints.extend(fakes)
        caller = await harness.request()
        assert caller.body == b'data: one\n\n'
        assert not caller.is_complete
        assert sum(len(fake.received) for fake in fakes) == 1

    run(route, scenario, broken_once, broken_once)
