"""Bytes without end from endpoints and callers are cut off by the gateway.

A server in trouble may send bytes that are no answer until the other side
closes. The gateway closes the connection, tells the caller the truth and keeps
its memory bounded.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Awaitable, Callable

import anyio
import pytest

from acaciaramp.conversations.events import MAX_CONTENT_BYTES, MAX_EVENT_BYTES
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.forwarding.buffers import (
    MAX_RESPONSE_BYTES,
    BufferLimit,
    ResponseBuffer,
)
from acaciaramp.routing.model import Route, RouteKind
from tests import builders as build
from tests.endless import EndlessServer, Prefix, head_of
from tests.forwarding.endpoint import FakeCaller, ReceivedRequest
from tests.forwarding.harness import (
    TURN_HEADERS,
    Harness,
    harness_with,
)

LONG_MS = 60_000
PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=LONG_MS)
KEPT = build.route(is_retained=True, retention_ms=60_000, timeout_ms=LONG_MS)
# What sockets and readers of both sides may hold beside the limit.
IN_TRANSIT_BYTES = 16_777_216

Scenario = Callable[[Harness, EndlessServer], Awaitable[None]]


def run(route: Route, server: EndlessServer, scenario: Scenario) -> None:
    async def main() -> None:
        async with (
            harness_with(route) as (harness, _),
            server.serving() as port,
        ):
            harness.selector.replace_endpoints(
                [build.listed_endpoint('e-0', port=port)]
            )
            with anyio.fail_after(30):
                await scenario(harness, server)

    anyio.run(main)


def nothing(_: ReceivedRequest) -> bytes:
    return b''


def chunked_head(request: ReceivedRequest) -> bytes:
    return head_of(request, b'transfer-encoding: chunked')


def open_header(_: ReceivedRequest) -> bytes:
    return b'HTTP/1.1 200 OK\r\nx-padding: '


def open_trailer(request: ReceivedRequest) -> bytes:
    return b'%s1\r\nx\r\n0\r\nx-trailer: ' % chunked_head(request)


def open_extension(request: ReceivedRequest) -> bytes:
    return b'%s1;x=' % chunked_head(request)


async def expect_unknown_outcome(
    harness: Harness, server: EndlessServer
) -> None:
    """The request may have run, and the connection is closed."""
    caller = await harness.request()
    assert caller.status == 502
    await server.wait_closed()


# Guards against a parser that collects an incomplete field after a body, or the
# size of a chunk, without a bound.
@pytest.mark.parametrize('prefix', [open_trailer, open_extension])
def test_framing_of_a_body_without_end(prefix: Prefix) -> None:
    server = EndlessServer(prefix, b'x')
    run(PLAIN, server, expect_unknown_outcome)
    assert server.sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize(
    ('prefix', 'unit'),
    [
        (nothing, b'\x00'),
        (nothing, b'x' * 100),
        (open_header, b'x'),
        (nothing, b'HTTP/1.1 100 Continue\r\n\r\n'),
        (nothing, b'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n'),
    ],
)
def test_head_without_end(prefix: Prefix, unit: bytes) -> None:
    server = EndlessServer(prefix, unit)
    run(PLAIN, server, expect_unknown_outcome)
    assert server.sent_bytes < IN_TRANSIT_BYTES


@pytest.mark.parametrize('prefix', [head_of, chunked_head])
def test_body_without_end(prefix: Prefix) -> None:
    server = EndlessServer(prefix, b'4000\r\n%s\r\n' % bytes(0x4000))
    run(PLAIN, server, expect_unknown_outcome)
    assert server.sent_bytes < MAX_RESPONSE_BYTES + IN_TRANSIT_BYTES


def test_slow_body_without_end_is_cut_off_at_the_deadline() -> None:
    async def scenario(harness: Harness, server: EndlessServer) -> None:
        caller = await harness.request()
        assert caller.status == 504
        await server.wait_closed()

    route = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=300)
    run(route, EndlessServer(head_of, b'x', pause_ms=20), scenario)


@pytest.mark.parametrize(
    ('unit', 'most_bytes'),
    [
        (b'x' * 1_024, MAX_EVENT_BYTES),
        (b'data: %s\n' % (b'x' * 1_024), MAX_EVENT_BYTES),
        (b'data: %s\n\n' % (b'x' * 1_024), MAX_CONTENT_BYTES),
    ],
)
def test_stream_without_end(unit: bytes, most_bytes: int) -> None:
    async def scenario(harness: Harness, server: EndlessServer) -> None:
        caller = await harness.request('a1', *TURN_HEADERS)
        assert caller.status == 200
        assert not caller.is_complete
        await server.wait_closed()
        # Nothing was stored: a turn counts from the end of its response.
        assert harness.ledger.closed == []

    server = EndlessServer(head_of, unit)
    run(KEPT, server, scenario)
    assert server.sent_bytes < most_bytes + IN_TRANSIT_BYTES


def test_stream_of_comments_is_cut_off_at_the_deadline() -> None:
    async def scenario(harness: Harness, server: EndlessServer) -> None:
        caller = await harness.request('a1', *TURN_HEADERS)
        assert not caller.is_complete
        await server.wait_closed()

    route = build.route(is_retained=True, retention_ms=9_000, timeout_ms=300)
    run(route, EndlessServer(head_of, b': ping\n\n', pause_ms=10), scenario)


def test_memory_stays_flat_while_many_bodies_have_no_end() -> None:
    async def scenario(harness: Harness, server: EndlessServer) -> None:
        async def send(number: int) -> None:
            caller = await harness.request(f'a{number}')
            assert caller.status == 502

        tracemalloc.start()
        for _ in range(3):
            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(send, number)
        left_bytes, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak_bytes < 100_663_296
        assert left_bytes < 8_388_608

    run(PLAIN, EndlessServer(head_of, bytes(1_024)), scenario)


def test_buffers_of_a_process_are_limited_together() -> None:
    limit = BufferLimit(100)
    with ResponseBuffer(limit) as first, ResponseBuffer(limit) as second:
        first.append(bytes(60))
        with pytest.raises(EndpointError):
            second.append(bytes(41))
        second.append(bytes(40))
    with ResponseBuffer(limit) as third:
        third.append(bytes(100))


class EndlessCaller(FakeCaller):
    """A caller whose body never ends and arrives slowly."""

    async def receive(self) -> dict[str, object]:
        """Return one more byte of the body."""
        await anyio.sleep(0.02)
        return {'type': 'http.request', 'body': b'x', 'more_body': True}


def test_body_of_a_caller_that_does_not_end_has_a_deadline() -> None:
    async def scenario(harness: Harness, _: EndlessServer) -> None:
        caller = EndlessCaller()
        await harness.request('a1', caller=caller)
        assert caller.status == 408

    route = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=300)
    run(route, EndlessServer(head_of, b'x'), scenario)
