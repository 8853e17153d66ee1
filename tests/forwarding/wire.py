"""Random requests as bytes on connections, and what became of them.

``play`` sends them to a gateway behind a web server. By hand, for example with
20,000 connections of up to three requests::

    python -c "from tests.forwarding.wire import play; print(play(1, 20_000))"
"""

from __future__ import annotations

import contextlib
import functools
import random
import re
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import msgspec

from acaciaramp.forwarding.protocol import TrafficLimitProtocol
from acaciaramp.routing.model import RouteKind
from acaciaramp.util.webserver import bind_socket, running_server
from tests import builders as build
from tests.forwarding.harness import Harness, complete, harness_with

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from tests.forwarding.endpoint import ReceivedRequest

_ROUTE = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=20_000)
_LENGTH_FIELD = 'content-length: 1\r\n'
_METHODS = ('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS')
_PATHS = (
    '1',
    '',
    '/',
    'a//b',
    '%2e%2e/x',
    '%61%2F',
    '..;p=1/',
    "~!$&'()*+,=:@",
)
_QUERIES = ('', '', '?', '??', '?a=b', '?a&&=', '?x=/../?', '?%3f%23')
# Most requests have none; those that have one are refused.
_FRAGMENTS = ('', '', '', '', '', '', '', '#', '#f')
# A length after chunks is refused; other fields after the body are ignored.
_TRAILERS = ('', 'x-attempt-id: hidden\r\n', _LENGTH_FIELD)
_BODIES = (
    b'',
    b'input',
    b'\r\n\r\n',
    b'0\r\n\r\n',
    b'POST /chat/hidden HTTP/1.1\r\nx-attempt-id: hidden\r\n\r\n',
    bytes(range(256)),
)
_OPTIONAL_FIELDS = (
    'Connection: keep-alive',
    'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: A',
    'Upgrade: websocket\r\nCONNECTION:upgrade',
    'Upgrade: h2c',
    'Expect: 100-continue',
    'X-Empty:',
    'x-spaced: \t a b \t',
    'Accept: a\r\nAccept: b',
)
_LEAVING_SHARE = 0.15
_LENGTH_SHARE = 0.5
_MOST_CUTS = 4
_MOST_REQUESTS = 3
# Reached only if a response never comes.
_TIMEOUT_S = 30
_STATUS = re.compile(rb'HTTP/1\.1 (\d+) ')
_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)\r\n', re.IGNORECASE)


class SentRequest(msgspec.Struct, frozen=True):
    """A request that was sent.

    Attributes:
        attempt: Id of the request.
        method: HTTP method.
        target: Request target.
        body: The body.
        wire: All bytes of the request.
        is_valid: Whether the request may be run.
    """

    attempt: str
    method: str
    target: str
    body: bytes
    wire: bytes
    is_valid: bool


class Connection(msgspec.Struct, frozen=True):
    """The requests of one connection and how they are sent.

    Attributes:
        requests: The requests in order.
        segments: All bytes that are sent.
        is_left: Whether the caller leaves after these instead of waiting for
            its responses.
    """

    requests: list[SentRequest]
    segments: list[bytes]
    is_left: bool


def make_connection(rng: random.Random, number: int) -> Connection:
    """Return a connection with random requests, cut into random segments."""
    requests = [
        _make_request(rng, f'{number}-{index}')
        for index in range(rng.randint(1, _MOST_REQUESTS))
    ]
    wire = b''.join(request.wire for request in requests)
    is_left = rng.random() < _LEAVING_SHARE
    if is_left:
        wire = wire[: rng.randrange(len(wire))]
    cuts = sorted(
        rng.randint(0, len(wire)) for _ in range(rng.randint(0, _MOST_CUTS))
    )
    ends = [*cuts, len(wire)]
    segments = [
        wire[start:end] for start, end in zip([0, *cuts], ends, strict=True)
    ]
    return Connection(requests, [part for part in segments if part], is_left)


def play(seed: int, connections: int) -> int:
    """Send random requests and check what the endpoint runs.

    Args:
        seed: Seed of the requests.
        connections: Number of connections, which are used one after the other.

    Returns:
        The number of requests that the endpoint ran.
    """
    rng = random.Random(seed)

    async def main() -> int:
        async with harness_with(_ROUTE, complete) as (harness, fakes):
            sock = bind_socket('127.0.0.1', 0)
            protocol = functools.partial(
                TrafficLimitProtocol, harness.router, harness.metrics
            )
            app: Any = harness.gateway.serve
            async with running_server(app, [sock], protocol):
                for number in range(connections):
                    connection = make_connection(rng, number)
                    await _use(connection, sock.getsockname(), harness)
                    _check_runs(connection, fakes[0].received)
                    ran = len(fakes[0].received)
                    total.append(ran)
                    fakes[0].received.clear()
        return sum(total)

    total: list[int] = []
    return anyio.run(main)


def _make_request(rng: random.Random, attempt: str) -> SentRequest:
    method = rng.choice(_METHODS)
    target = '/chat/' + ''.join(
        rng.choice(part) for part in (_PATHS, _QUERIES, _FRAGMENTS)
    )
    body = rng.choice(_BODIES)
    fields = [
        'host: example.test',
        f'X-Attempt-Id: {attempt}',
        f'Authorization: Bearer {build.KEY}',
        *rng.sample(_OPTIONAL_FIELDS, rng.randint(0, 2)),
    ]
    trailer = ''
    if rng.random() < _LENGTH_SHARE:
        fields.append(f'Content-Length: {len(body)}')
        content = body
    else:
        fields.append('Transfer-Encoding: chunked')
        trailer = rng.choice(_TRAILERS)
        content = _chunks(rng, body, trailer)
    rng.shuffle(fields)
    head = '\r\n'.join((f'{method} {target} HTTP/1.1', *fields, '', ''))
    return SentRequest(
        attempt,
        method,
        target,
        body,
        head.encode() + content,
        is_valid='#' not in target and trailer != _LENGTH_FIELD,
    )


def _chunks(rng: random.Random, body: bytes, trailer: str) -> bytes:
    """Return a body in random chunks, some with an extension."""
    parts: list[bytes] = []
    rest = body
    while rest:
        size = rng.randint(1, len(rest))
        extension = rng.choice((b'', b';a', b';a=b', b';a="b"'))
        parts.append(b'%x%s\r\n%s\r\n' % (size, extension, rest[:size]))
        rest = rest[size:]
    return b''.join((*parts, b'0\r\n', trailer.encode(), b'\r\n'))


async def _use(
    connection: Connection, address: tuple[str, int], harness: Harness
) -> None:
    """Send the segments and read the responses, which must be in order."""
    async with await anyio.connect_tcp(*address) as stream:
        with contextlib.suppress(anyio.BrokenResourceError):
            for segment in connection.segments:
                await stream.send(segment)
                await anyio.lowlevel.checkpoint()
        if not connection.is_left:
            await _check_responses(stream, connection)
    with anyio.fail_after(_TIMEOUT_S):
        while harness.gateway.in_flight:
            await anyio.lowlevel.checkpoint()


async def _check_responses(
    stream: SocketStream, connection: Connection
) -> None:
    for request in connection.requests:
        expected = 200 if request.is_valid else 400
        assert await _read_status(stream) == expected, request
        # The connection is closed after a request that is not valid.
        if not request.is_valid:
            return


async def _read_status(stream: SocketStream) -> int:
    """Return the status of the next response that is not informational."""
    status = 0
    with anyio.fail_after(_TIMEOUT_S):
        while status < 200:
            head = b''
            while not head.endswith(b'\r\n\r\n'):
                head += await stream.receive(1)
            found = _STATUS.match(head)
            assert found, head
            status = int(found[1])
            length = _LENGTH.search(head)
            left = int(length[1]) if length else 0
            while left:
                left -= len(await stream.receive(left))
    return status


def _check_runs(connection: Connection, runs: list[ReceivedRequest]) -> None:
    """Check that each run is a valid request as it was sent, and runs once."""
    by_id = {request.attempt: request for request in connection.requests}
    for run in runs:
        request = by_id.pop(run.attempt.decode(), None)
        assert request is not None, run.head
        assert request.is_valid, request
        first_line = run.head.partition(b'\r\n')[0].decode()
        assert first_line == f'{request.method} {request.target} HTTP/1.1'
        assert run.body == request.body, request
    if not connection.is_left:
        _check_all_ran(connection, len(runs))


def _check_all_ran(connection: Connection, runs: int) -> None:
    """Check that all requests before the first one that is not valid ran."""
    valid = 0
    for request in connection.requests:
        if not request.is_valid:
            break
        valid += 1
    assert runs == valid, connection
