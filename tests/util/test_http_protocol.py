"""Requests that arrive on a connection, byte for byte."""

from __future__ import annotations

import contextlib
import functools
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.http_protocol import RequestProtocol, request_target
from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream
    from starlette.types import Receive, Scope, Send

_LIMITS = HeaderLimits(most_bytes=1_000, longest_ms=60_000)
LIMITED = functools.partial(HeaderLimitProtocol, lambda: _LIMITS)
PROTOCOLS = [RequestProtocol, LIMITED]
# Reached only if an expected response never comes.
_TIMEOUT_S = 10
_FIRST = b'POST /first HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody'
_BODY = b'GET /hidden HTTP/1.1\r\nhost: h\r\n\r\n'


class RecordingApp:
    """An ASGI application that records requests and answers them with 200.

    Attributes:
        received: Method, target and body of each request whose body has ended.
    """

    def __init__(self) -> None:
        """Create the application."""
        self.received: list[tuple[str, bytes, bytes]] = []

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Record a request and answer it."""
        body = b''
        has_more = True
        while has_more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message.get('body', b'')
            has_more = message.get('more_body', False)
        target = request_target(scope)
        self.received.append((scope['method'], target, body))
        headers = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body'})


@contextlib.asynccontextmanager
async def connected(app: Any, protocol: Any) -> AsyncIterator[SocketStream]:
    """Serve an application and yield a connection to it."""
    sock = bind_socket('127.0.0.1', 0)
    async with (
        running_server(app, [sock], protocol),
        await anyio.connect_tcp(*sock.getsockname()) as stream,
    ):
        yield stream


async def until_disconnected(receive: Receive) -> None:
    """Return when an application is told that its caller has gone."""
    kind = ''
    while kind != 'http.disconnect':
        kind = (await receive())['type']


async def read_to_end(stream: SocketStream) -> bytes:
    """Return all bytes until the server closes the connection."""
    received = bytearray()
    with anyio.fail_after(_TIMEOUT_S):
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                received.extend(await stream.receive())
    return bytes(received)


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
            with anyio.fail_after(_TIMEOUT_S):
                while len(app.received) < answers:
                    await anyio.sleep(0.001)
            # Another request shows that the connection is in order.
            await stream.send(b'GET /last HTTP/1.1\r\nhost: h\r\n\r\n')
            with anyio.fail_after(_TIMEOUT_S):
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
            with anyio.fail_after(_TIMEOUT_S):
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
            with anyio.fail_after(_TIMEOUT_S):
                await is_told.wait()

    anyio.run(scenario)


_REJECTED = [
    (RequestProtocol, b'no request\r\n\r\n', b'400 '),
    (RequestProtocol, b'GET /#f HTTP/1.1\r\n\r\n', b'400 '),
    (LIMITED, b'no request\r\n\r\n', b'400 '),
    (
        LIMITED,
        b'POST / HTTP/1.1\r\nx: %s\r\ncontent-length: 3\r\n\r\nbad'
        % (_LIMITS.most_bytes * b'y'),
        b'431 ',
    ),
]


# Guards against a body that is added to the request before, as the head that it
# belongs to is rejected.
@pytest.mark.parametrize(('protocol', 'rejected', 'status'), _REJECTED)
def test_a_rejected_request_does_not_change_the_one_before(
    protocol: Any, rejected: bytes, status: bytes
) -> None:
    recording = RecordingApp()
    may_read = anyio.Event()

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await may_read.wait()
        await recording(scope, receive, send)

    async def scenario() -> None:
        async with connected(app, protocol) as stream:
            await stream.send(_FIRST + rejected)
            await anyio.sleep(0.02)
            await stream.send(b'GET /after HTTP/1.1\r\n\r\n')
            await anyio.sleep(0.02)
            may_read.set()
            await read_to_end(stream)

    anyio.run(scenario)
    assert recording.received == [('POST', b'/first', b'body')]


# Guards against a rejection that is written into the response before.
@pytest.mark.parametrize(('protocol', 'rejected', 'status'), _REJECTED)
def test_a_rejection_is_sent_after_the_response_before(
    protocol: Any, rejected: bytes, status: bytes
) -> None:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b'content-length', b'8')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send(
            {'type': 'http.response.body', 'body': b'half', 'more_body': True}
        )
        await anyio.sleep(0.05)
        await send({'type': 'http.response.body', 'body': b'half'})

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(_FIRST)
            await anyio.sleep(0.02)
            await stream.send(rejected)
            return await read_to_end(stream)

    response, rejection = anyio.run(scenario).split(b'halfhalf')
    assert response.startswith(b'HTTP/1.1 200 ')
    assert rejection.startswith(b'HTTP/1.1 ' + status)


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
            with anyio.fail_after(_TIMEOUT_S):
                await stream.receive()

    anyio.run(scenario)
    assert names == [[b'transfer-encoding']]


_CHUNK = (
    b'POST /broken HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n'
)
_MALFORMED = b'no size\r\n'


@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize('before', [b'', _FIRST])
def test_a_request_with_a_malformed_body_is_rejected_at_once(
    protocol: Any, before: bytes
) -> None:
    app = RecordingApp()

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(before + _CHUNK)
            await anyio.sleep(0.02)
            await stream.send(_MALFORMED)
            return await read_to_end(stream)

    statuses = [
        part[:3] for part in anyio.run(scenario).split(b'HTTP/1.1 ')[1:]
    ]
    assert statuses == ([b'200'] if before else []) + [b'400']
    assert ('POST', b'/broken', b'x') not in app.received


@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_a_rejection_is_not_sent_within_the_response_to_its_request(
    protocol: Any,
) -> None:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        await send(
            {'type': 'http.response.body', 'body': b'half', 'more_body': True}
        )
        await until_disconnected(receive)

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(_CHUNK)
            await anyio.sleep(0.02)
            await stream.send(_MALFORMED)
            return await read_to_end(stream)

    assert anyio.run(scenario).endswith(b'4\r\nhalf\r\n')


# Guards against a response that is lost as the connection is reset.
@pytest.mark.parametrize(('protocol', 'rejected', 'status'), _REJECTED)
def test_responses_arrive_though_bytes_follow_a_rejected_request(
    protocol: Any, rejected: bytes, status: bytes
) -> None:
    async def scenario() -> bytes:
        async with connected(RecordingApp(), protocol) as stream:
            await stream.send(_FIRST + rejected)
            await anyio.sleep(0.02)
            for _ in range(5):
                await stream.send(b'more')
                await anyio.sleep(0.01)
            return await read_to_end(stream)

    received = anyio.run(scenario)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 ' + status in received


def test_a_caller_that_does_not_close_is_closed() -> None:
    async def send_on(stream: SocketStream) -> None:
        with anyio.fail_after(_TIMEOUT_S):
            while True:
                await stream.send(b'more')
                await anyio.sleep(0.01)

    async def scenario() -> None:
        async with connected(RecordingApp(), LIMITED) as stream:
            await stream.send(b'no request\r\n\r\n')
            with pytest.raises(anyio.BrokenResourceError):
                await send_on(stream)

    anyio.run(scenario)
