"""Requests that are rejected, and the responses to those before them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.util.http_protocol import RequestProtocol
from tests.util.connections import (
    LIMITED,
    LIMITS,
    PROTOCOLS,
    TIMEOUT_S,
    RecordingApp,
    connected,
    read_to_end,
    until_disconnected,
)

if TYPE_CHECKING:
    from anyio.abc import SocketStream
    from starlette.types import Receive, Scope, Send

_FIRST = b'POST /first HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody'
_REJECTED = [
    (RequestProtocol, b'no request\r\n\r\n', b'400 '),
    (RequestProtocol, b'GET /#f HTTP/1.1\r\n\r\n', b'400 '),
    (LIMITED, b'no request\r\n\r\n', b'400 '),
    (
        LIMITED,
        b'POST / HTTP/1.1\r\nx: %s\r\ncontent-length: 3\r\n\r\nbad'
        % (LIMITS.most_bytes * b'y'),
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


# Guards against a parser that collects an incomplete field without a bound, and
# against a size of a chunk that has no end.
@pytest.mark.parametrize(
    'start', [b'0\r\nx-trailer: ', b'0\r\n', b'1;a=', b'1;a="'], ids=repr
)
@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_a_field_without_end_after_a_body_is_rejected(
    protocol: Any, start: bytes
) -> None:
    app = RecordingApp()

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(_CHUNK + start + 100_000 * b'y')
            return await read_to_end(stream)

    assert anyio.run(scenario).startswith(b'HTTP/1.1 431 ')
    assert not app.received


@pytest.mark.parametrize('protocol', PROTOCOLS)
def test_fields_after_a_body_within_the_limit_are_accepted(
    protocol: Any,
) -> None:
    app = RecordingApp()
    fields = b'x: %s\r\n' % (900 * b'y')
    wire = _CHUNK + b'1;a=%s\r\nz\r\n0\r\n' % (900 * b'e') + fields + b'\r\n'

    async def scenario() -> None:
        async with connected(app, protocol) as stream:
            for byte in wire:
                await stream.send(bytes([byte]))
            with anyio.fail_after(TIMEOUT_S):
                while not app.received:
                    await anyio.sleep(0.001)

    anyio.run(scenario)
    assert app.received == [('POST', b'/broken', b'xz')]


# Guards against a second response to a request, which the caller would take for
# that to its next one.
@pytest.mark.parametrize('protocol', PROTOCOLS)
@pytest.mark.parametrize(
    'rest', [_MALFORMED, b'0\r\nx-trailer: ' + 100_000 * b'y']
)
def test_a_rejection_is_not_sent_after_the_response_to_its_request(
    protocol: Any, rest: bytes
) -> None:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body'})

    async def scenario() -> bytes:
        async with connected(app, protocol) as stream:
            await stream.send(_CHUNK)
            await anyio.sleep(0.02)
            await stream.send(rest)
            return await read_to_end(stream)

    received = anyio.run(scenario)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert received.count(b'HTTP/1.1 ') == 1


# Guards against an interim response that is written after the rejection, which
# fails the request with an internal error.
def test_a_rejected_body_is_not_asked_for() -> None:
    failures: list[Exception] = []

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        try:
            assert (await receive())['type'] == 'http.disconnect'
        except Exception as exc:
            failures.append(exc)

    async def scenario() -> bytes:
        async with connected(app, RequestProtocol) as stream:
            head, _, chunk = _CHUNK.partition(b'\r\n\r\n')
            expect = b'\r\nexpect: 100-continue\r\n\r\n'
            await stream.send(head + expect + chunk + _MALFORMED)
            return await read_to_end(stream)

    assert anyio.run(scenario).startswith(b'HTTP/1.1 400 ')
    assert not failures


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
        with anyio.fail_after(TIMEOUT_S):
            while True:
                await stream.send(b'more')
                await anyio.sleep(0.01)

    async def scenario() -> None:
        async with connected(RecordingApp(), LIMITED) as stream:
            await stream.send(b'no request\r\n\r\n')
            with pytest.raises(anyio.BrokenResourceError):
                await send_on(stream)

    anyio.run(scenario)
