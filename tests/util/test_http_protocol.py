"""Requests that arrive on a connection, byte for byte."""

from __future__ import annotations

import gc
import weakref
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.util.http_protocol import RequestProtocol
from tests.util.connections import (
    PROTOCOLS,
    TIMEOUT_S,
    RecordingApp,
    connected,
    until_disconnected,
)

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

_BODY = b'GET /hidden HTTP/1.1\r\nhost: h\r\n\r\n'


def requests_of(protocol: Any, *segments: bytes, answers: int = 1) -> list[Any]:
    """Return what an application gets from a connection.

    Args:
        protocol: Class of the connection.
        *segments: Bytes that are sent, with a pause after each.
        answers: Number of responses that have to come.
    """
    app = RecordingApp()

    async def scenario() -> None:
        async with connected(app, protocol) as stream:
            for segment in segments:
                await stream.send(segment)
                await anyio.sleep(0.01)
            with anyio.fail_after(TIMEOUT_S):
                while len(app.received) < answers:
                    await anyio.sleep(0.001)
            # Another request shows that the connection is in order.
            await stream.send(b'GET /last HTTP/1.1\r\nhost: h\r\n\r\n')
            with anyio.fail_after(TIMEOUT_S):
                while app.received[-1][1] != b'/last':
                    await anyio.sleep(0.001)

    anyio.run(scenario)
    return app.received[:-1]


def head(upgrade: str, framing: str) -> bytes:
    """Return the head of a request that asks for an upgrade."""
    lines = (
        'POST /a?b HTTP/1.1',
        'Host: h',
        'Connection: Upgrade, HTTP2-Settings',
        f'Upgrade: {upgrade}',
        'HTTP2-Settings: AAMAAABk',
        framing,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


FRAMINGS = [
    (f'Content-Length: {len(_BODY)}', _BODY),
    (
        'Transfer-Encoding: chunked',
        b'%x\r\n%s\r\n0\r\n\r\n' % (len(_BODY), _BODY),
    ),
]


# Guards against a body that is taken for another protocol, or for the next
# request of the connection, as its head asks for an upgrade.
@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize('upgrade', ['h2c', 'websocket', 'TLS/1.3'])
@pytest.mark.parametrize(('framing', 'wire'), FRAMINGS)
def test_the_body_of_a_request_that_asks_for_an_upgrade_is_read(
    protocol: Any, upgrade: str, framing: str, wire: bytes
) -> None:
    request = head(upgrade, framing)
    expected = [('POST', b'/a?b', _BODY)]
    assert requests_of(protocol, request + wire) == expected
    assert requests_of(protocol, request, wire) == expected
    middle = len(request) // 2
    segments = (request[:middle], request[middle:] + wire[:9], wire[9:])
    assert requests_of(protocol, *segments) == expected


@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_requests_after_one_that_asks_for_an_upgrade_are_read(
    protocol: Any,
) -> None:
    framing, wire = FRAMINGS[0]
    request = head('h2c', framing) + wire
    expected = 3 * [('POST', b'/a?b', _BODY)]
    assert requests_of(protocol, 3 * request, answers=3) == expected


@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_an_upgrade_without_a_body_is_ignored(protocol: Any) -> None:
    request = head('websocket', 'Content-Length: 0')
    assert requests_of(protocol, request) == [('POST', b'/a?b', b'')]


@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize(
    'target',
    ['/', '/?', '/a??', '//a/../b', '/a?b=/?&&=', '/%61%2F%?%zz', '/a;b,c?:@'],
)
def test_a_target_is_passed_on_as_it_was_sent(
    protocol: Any, target: str
) -> None:
    request = f'GET {target} HTTP/1.1\r\nhost: h\r\n\r\n'.encode()
    assert requests_of(protocol, request) == [('GET', target.encode(), b'')]


# What an application would get without a part of it is refused.
@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize(
    'first_line',
    [
        'CONNECT h:80',
        'GET /a#f',
        'GET /a?b#',
        'GET /#',
        'GET http://h/a?b',
        'OPTIONS *',
    ],
)
def test_a_request_that_is_not_for_an_origin_server_is_refused(
    protocol: Any, first_line: str
) -> None:
    app = RecordingApp()

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(f'{first_line} HTTP/1.1\r\n\r\n'.encode())
            with anyio.fail_after(TIMEOUT_S):
                return await stream.receive()

    assert anyio.run(scenario).startswith(b'HTTP/1.1 400 ')
    assert not app.received


# Guards against requests that go on at an endpoint for a caller that has gone.
@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_each_request_learns_that_its_caller_has_gone(protocol: Any) -> None:
    has_started = anyio.Event()
    is_told = anyio.Event()

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        has_started.set()
        await until_disconnected(receive)
        is_told.set()

    async def scenario() -> None:
        async with connected(app, protocol) as stream:
            await stream.send(3 * b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
            await has_started.wait()
            await stream.aclose()
            with anyio.fail_after(TIMEOUT_S):
                await is_told.wait()

    anyio.run(scenario)


# Guards against fields after the body that are taken for headers: they come
# once the request has been routed, or not, as the segments have it.
@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_trailer_fields_are_not_added_to_the_headers(protocol: Any) -> None:
    names: list[list[bytes]] = []

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await RecordingApp()(scope, receive, send)
        names.append([name for name, _ in scope['headers']])

    async def scenario() -> None:
        async with connected(app, protocol) as stream:
            await stream.send(
                b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
                b'1\r\nx\r\n0\r\nauthorization: Bearer k\r\n\r\n'
            )
            with anyio.fail_after(TIMEOUT_S):
                await stream.receive()

    anyio.run(scenario)
    assert names == [[b'transfer-encoding']]


def connections_in_memory() -> list[Any]:
    """Return the server's connections that are not freed."""
    return [
        item
        for item in gc.get_objects()
        if isinstance(item, RequestProtocol)
        and not isinstance(item, weakref.ProxyType)
    ]


# Guards against closed connections that stay in memory until the garbage collector
# runs, with the objects for their requests.
@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize(
    'wire',
    [
        b'',
        b'POST /a HT',
        b'POST /a HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody',
        b'POST /a HTTP/1.1\r\ncontent-length: 9\r\n\r\nbody',
        b'no request\r\n\r\n',
        3 * b'GET /a HTTP/1.1\r\n\r\n',
    ],
    ids=['idle', 'head', 'answered', 'unfinished', 'rejected', 'pipelined'],
)
def test_a_closed_connection_is_freed_at_once(
    protocol: Any, wire: bytes
) -> None:
    async def scenario() -> None:
        async with connected(RecordingApp(), protocol) as kept:
            address = kept.extra(anyio.abc.SocketAttribute.remote_address)
            await kept.send(b'GET / HTTP/1.1\r\n\r\n')
            await kept.receive()
            gc.collect()
            gc.disable()
            try:
                async with await anyio.connect_tcp(*address) as stream:
                    await stream.send(wire)
                    with anyio.fail_after(TIMEOUT_S):
                        while len(connections_in_memory()) < 2:
                            await anyio.sleep(0.001)
                    await anyio.sleep(0.02)
                with anyio.fail_after(TIMEOUT_S):
                    while len(connections_in_memory()) > 1:
                        await anyio.sleep(0.001)
            finally:
                gc.enable()

    anyio.run(scenario, backend_options={'use_uvloop': True})
