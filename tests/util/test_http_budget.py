"""What connections hold for their callers, and how they are closed for it."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.util import held_bytes
from acaciaramp.util.caller_budget import (
    BudgetLimits,
    CallerBudget,
    CloseReason,
)
from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.held_bytes import MAX_UNREAD_BYTES
from acaciaramp.util.http_protocol import RequestProtocol
from tests.util.connections import (
    TIMEOUT_S,
    RecordingApp,
    connected,
    read_to_end,
    until_disconnected,
)

if TYPE_CHECKING:
    from starlette.types import Receive, Scope, Send

MIB = 1_048_576
UNFINISHED = b'POST /a HTTP/1.1\r\ncontent-length: 300000\r\n\r\n'
LIMITS = BudgetLimits(
    most_bytes=400_000, most_large_bytes=250_000, most_connections=2
)


class Fixture:
    """A budget and the reasons for which it closed connections."""

    def __init__(self, limits: BudgetLimits = LIMITS) -> None:
        """Create the budget."""
        self.reasons: list[CloseReason] = []
        self.budget = CallerBudget(
            limits, lambda reason, _: self.reasons.append(reason)
        )
        self.protocol = functools.partial(RequestProtocol, self.budget)


async def until(condition: Any) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.001)


def test_a_body_without_room_is_refused_and_never_reaches_the_application() -> (
    None
):
    fixture = Fixture()
    app = RecordingApp()

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(UNFINISHED + 299_999 * b'x')
            response = await read_to_end(stream)
        await until(lambda: fixture.budget.total_bytes == 0)
        return response

    response = anyio.run(scenario)
    assert response.startswith(b'HTTP/1.1 503 ')
    assert b'\r\nretry-after: 0.' in response
    assert b'\r\nconnection: close\r\n' in response
    assert fixture.reasons == [CloseReason.BODY]
    assert not app.received


def test_what_was_held_is_released_after_the_response() -> None:
    fixture = Fixture()
    app = RecordingApp()

    async def scenario() -> None:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(UNFINISHED + 200_000 * b'x')
            await until(lambda: fixture.budget.total_bytes > 200_000)
            await stream.send(100_000 * b'x')
            await stream.receive()
            await until(lambda: fixture.budget.total_bytes == 0)

    limits = BudgetLimits(most_bytes=400_000, most_large_bytes=400_000)
    fixture = Fixture(limits)
    anyio.run(scenario)
    assert [len(request[-1]) for request in app.received] == [300_000]


def test_headers_that_do_not_come_in_time_get_advice_to_retry() -> None:
    limits = HeaderLimits(most_bytes=1_000, longest_ms=10)
    protocol = functools.partial(HeaderLimitProtocol, lambda: limits)

    async def scenario() -> bytes:
        async with connected(RecordingApp(), protocol) as stream:
            await stream.send(b'GET / HTTP/1.1\r\n')
            return await read_to_end(stream)

    response = anyio.run(scenario)
    assert response.startswith(b'HTTP/1.1 408 ')
    assert b'\r\nretry-after: 0.' in response


def test_headers_without_room_are_refused() -> None:
    fixture = Fixture(BudgetLimits(most_bytes=50_000))

    async def scenario() -> bytes:
        async with connected(RecordingApp(), fixture.protocol) as stream:
            await stream.send(b'GET / HTTP/1.1\r\n' + 500 * b'a:b\r\n')
            return await read_to_end(stream)

    assert anyio.run(scenario).startswith(b'HTTP/1.1 503 ')
    assert fixture.reasons == [CloseReason.HEADERS]


# Guards against a state for each of the requests that one read contains.
def test_pipelined_requests_beyond_the_bound_are_refused_after_the_others() -> (
    None
):
    fixture = Fixture(BudgetLimits())
    app = RecordingApp()
    request = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(500 * request)
            return await read_to_end(stream)

    statuses = [
        part[:3] for part in anyio.run(scenario).split(b'HTTP/1.1 ')[1:]
    ]
    assert statuses == 64 * [b'200'] + [b'503']
    assert len(app.received) == 64
    assert fixture.reasons == [CloseReason.PIPELINE]


# Guards against a response that is lost as the connection is reset.
def test_a_response_arrives_though_its_caller_goes_on_sending() -> None:
    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        headers = [(b'content-length', b'0'), (b'connection', b'close')]
        await send(
            {'type': 'http.response.start', 'status': 413, 'headers': headers}
        )
        await send({'type': 'http.response.body'})

    async def scenario() -> bytes:
        async with connected(app, RequestProtocol) as stream:
            await stream.send(UNFINISHED)
            for _ in range(5):
                await stream.send(10_000 * b'x')
                await anyio.sleep(0.01)
            return await read_to_end(stream)

    assert anyio.run(scenario).startswith(b'HTTP/1.1 413 ')


# Guards against unread responses that fill the memory, and against a response
# that looks complete though it was cut off.
@pytest.mark.parametrize('framing', [b'content-length', b'transfer-encoding'])
def test_a_caller_that_does_not_read_is_cut_off(framing: bytes) -> None:
    fixture = Fixture(BudgetLimits(most_bytes=8 * MIB))
    size = 16 * MIB
    header = (framing, b'%d' % size)
    if framing == b'transfer-encoding':
        header = (framing, b'chunked')

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': [header]}
        )
        body = {'type': 'http.response.body', 'body': size * b'x'}
        await send(body)

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(b'GET / HTTP/1.1\r\n\r\n')
            await until(lambda: fixture.reasons)
            received = await read_to_end(stream)
        await until(lambda: fixture.budget.total_bytes == 0)
        return received

    assert len(anyio.run(scenario)) < size
    assert fixture.reasons == [CloseReason.UNREAD]


# Guards against an endpoint that cuts off a response, as a slow caller keeps it
# from being read.
def test_a_response_is_written_on_while_its_caller_is_slow() -> None:
    fixture = Fixture(BudgetLimits())
    written: list[int] = []
    part = 65_536 * b'x'

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        for number in range(1_000):
            body = {'type': 'http.response.body', 'body': part}
            await send({**body, 'more_body': True})
            written.append(number)
            if fixture.reasons:
                return

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(b'GET / HTTP/1.1\r\n\r\n')
            await until(lambda: fixture.reasons)
            return await read_to_end(stream)

    received = anyio.run(scenario)
    assert not received.endswith(b'0\r\n\r\n')
    assert len(written) * len(part) > MAX_UNREAD_BYTES
    assert fixture.reasons == [CloseReason.UNREAD]


def test_a_caller_that_reads_nothing_after_its_response_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(held_bytes, '_UNREAD_CHECK_S', 0.01)
    fixture = Fixture(BudgetLimits())
    size = 16 * MIB

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        headers = [
            (b'content-length', b'%d' % size),
            (b'connection', b'close'),
        ]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': size * b'x'})

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as stream:
            await stream.send(b'GET / HTTP/1.1\r\n\r\n')
            await until(lambda: fixture.reasons)
            return await read_to_end(stream)

    assert len(anyio.run(scenario)) < size
    assert fixture.reasons == [CloseReason.UNREAD]


def test_an_idle_connection_makes_room_for_a_new_one() -> None:
    fixture = Fixture()

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['path'] == '/wait':
            await until_disconnected(receive)
        await RecordingApp()(scope, receive, send)

    async def scenario() -> bytes:
        async with connected(app, fixture.protocol) as busy:
            await busy.send(b'GET /wait HTTP/1.1\r\n\r\n')
            address = busy.extra(anyio.abc.SocketAttribute.remote_address)
            async with await anyio.connect_tcp(*address) as idle:
                await until(lambda: len(fixture.budget._accounts) == 2)
                async with await anyio.connect_tcp(*address) as newest:
                    await newest.send(b'GET / HTTP/1.1\r\n\r\n')
                    response = await newest.receive()
                    assert await read_to_end(idle) == b''
                    return response

    assert anyio.run(scenario).startswith(b'HTTP/1.1 200 ')
    assert fixture.reasons == [CloseReason.IDLE]
