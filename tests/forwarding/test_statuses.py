"""Heads of endpoints whose status is none, is not final or allows no body."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from acaciaramp.forwarding.protocol import TrafficLimitProtocol
from acaciaramp.routing.model import RouteKind
from acaciaramp.util.webserver import bind_socket, running_server
from tests import builders as build
from tests.forwarding.endpoint import ReceivedRequest, stream_to
from tests.forwarding.harness import Harness, complete, harness_with, run
from tests.forwarding.test_reach import Network, harness_with_a_peer

if TYPE_CHECKING:
    from acaciaramp.routing.model import Route
    from tests.forwarding.endpoint import Script, ScriptedEndpoint

BAD_GATEWAY = 502
BODY = b'data: secret\n\n'
# What follows the version in the status line.
INVALID = (
    b'000 None',
    b'000',
    b'099 None',
    b'0200 OK',
    b'2000 OK',
    b'20 OK',
    b'',
    b' 200 OK',
    b'+200 OK',
    b'-200 OK',
    b'+20 OK',
    b'2x0 OK',
    b'20O OK',
    b'2\xb2\xb3 OK',
    b'600 Beyond',
    b'999 Beyond',
    b'100 Continue',
    b'101 Switching Protocols',
    b'103 Early Hints',
    b'199 None',
)
PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=2_000)
STREAM = build.route(timeout_ms=2_000)
REPEATABLE = build.route(kind=RouteKind.IDEMPOTENT, attempts=3)


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Network:
    return Network(monkeypatch)


def answer(
    status: bytes, *lines: bytes, body: bytes = BODY, closes: bool = True
) -> Script:
    """Return a script that sends one head and a body with a length."""

    def script(request: ReceivedRequest) -> list[bytes | None]:
        fields = b''.join(line + b'\r\n' for line in lines)
        head = b'HTTP/1.1 %s\r\nx-attempt-id: %s\r\n%s\r\n' % (
            status,
            request.attempt,
            fields,
        )
        return [head + body, *([None] if closes else [])]

    return script


def sized(status: bytes, body: bytes = BODY, *, closes: bool = True) -> Script:
    """Return a script that announces the length of its body."""
    length = b'content-length: %d' % len(body)
    return answer(status, length, body=body, closes=closes)


async def exchange(harness: Harness, requests: int = 1) -> bytes:
    """Return all bytes that a caller gets on one connection."""
    sock = bind_socket('127.0.0.1', 0)
    protocol: Any = functools.partial(
        TrafficLimitProtocol, harness.router, harness.metrics
    )
    received = b''
    app: Any = harness.gateway.serve
    async with running_server(app, [sock], protocol):
        stream = await anyio.connect_tcp(*sock.getsockname())
        async with stream:
            for number in range(requests):
                closing = b'connection: close\r\n'
                await stream.send(
                    b'POST /chat/1 HTTP/1.1\r\nhost: example.test\r\n'
                    b'authorization: Bearer %s\r\nx-attempt-id: a%d\r\n'
                    b'content-length: 2\r\n%s\r\nin'
                    % (
                        build.KEY.encode(),
                        number,
                        closing if number == requests - 1 else b'',
                    )
                )
            with anyio.fail_after(10):
                try:
                    while True:
                        received += await stream.receive()
                except anyio.EndOfStream:
                    return received


# Guards against an answer with a status that is none, as a caller got one with
# 000 from an endpoint in trouble.
@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize('status', INVALID)
def test_a_response_without_a_valid_final_status_is_none(
    route: Route, status: bytes
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == BAD_GATEWAY
        assert b'secret' not in caller.body
        assert len(fakes[0].received) == 1
        # The connection of such a response is not used again.
        await harness.request('a2')
        assert [item.connection for item in fakes[0].received][1:] in (
            [],
            [2],
        )

    run(route, scenario, sized(status))


@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize('status', INVALID)
def test_nothing_of_an_invalid_response_is_in_the_bytes_for_the_caller(
    route: Route, status: bytes
) -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        received = await exchange(harness)
        assert received.startswith(b'HTTP/1.1 502 ')
        assert received.count(b'HTTP/1.1') == 1
        assert b'secret' not in received

    run(route, scenario, sized(status))


@pytest.mark.parametrize('status', INVALID)
def test_an_invalid_response_that_stays_open_ends_at_the_deadline(
    status: bytes,
) -> None:
    quick = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=300)

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        with anyio.fail_after(5):
            caller = await harness.request()
        assert caller.status in {BAD_GATEWAY, 504}
        assert b'secret' not in caller.body

    run(quick, scenario, sized(status, closes=False))


@pytest.mark.parametrize('status', INVALID)
def test_a_request_that_may_be_repeated_goes_to_another_endpoint(
    status: bytes,
) -> None:
    invalid = sized(status)
    order: list[int] = []

    def first_invalid(request: ReceivedRequest) -> list[bytes | None]:
        order.append(1)
        return invalid(request) if len(order) == 1 else complete(request)

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert (caller.status, caller.body) == (200, b'thing')
        assert len(order) == 2

    run(REPEATABLE, scenario, first_invalid, first_invalid)


@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize('status', INVALID)
def test_an_invalid_response_through_a_peer_is_none(
    network: Network, route: Route, status: bytes
) -> None:
    async def main() -> None:
        scripts = [sized(status)] * 3
        async with harness_with_a_peer(route, *scripts) as (harness, fakes):
            network.cut = {endpoint.port for endpoint in harness.endpoints}
            network.is_refusing = True
            caller = await harness.request()
            assert sum(len(fake.received) for fake in fakes) == 1
            assert caller.status == BAD_GATEWAY
            assert b'secret' not in caller.body

    anyio.run(main)


@pytest.mark.parametrize('route', [PLAIN, STREAM])
def test_informational_heads_before_the_final_one_are_not_passed_on(
    route: Route,
) -> None:
    hints = (
        b'HTTP/1.1 100 Continue\r\n\r\n'
        b'HTTP/1.1 102 Processing\r\n\r\n'
        b'HTTP/1.1 103 Early Hints\r\nlink: </secret>\r\n\r\n'
    )

    def script(request: ReceivedRequest) -> list[bytes | None]:
        return [hints + b''.join(stream_to(request, b'one'))]

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        received = await exchange(harness)
        assert received.startswith(b'HTTP/1.1 200 ')
        assert received.count(b'HTTP/1.1') == 1
        assert b'secret' not in received

    run(route, scenario, script)


@pytest.mark.parametrize('route', [PLAIN, STREAM])
def test_informational_heads_without_end_are_no_response(route: Route) -> None:
    def script(_: ReceivedRequest) -> list[bytes | None]:
        return [b'HTTP/1.1 103 Early Hints\r\nlink: </secret>\r\n\r\n'] * 20_000

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == BAD_GATEWAY
        assert b'secret' not in caller.body

    run(route, scenario, script)


# Guards against a body that a caller takes for the next response on its
# connection, or waits for.
@pytest.mark.parametrize('route', [PLAIN, STREAM])
@pytest.mark.parametrize(
    ('status', 'lines'),
    [
        (b'204 No Content', b''),
        (b'204 No Content', b'content-length: 14'),
        (b'204 No Content', b'transfer-encoding: chunked'),
        (b'205 Reset Content', b'content-length: 14'),
        (b'205 Reset Content', b'content-length: 0'),
        (b'304 Not Modified', b''),
        (b'304 Not Modified', b'content-length: 14'),
        (b'304 Not Modified', b'transfer-encoding: chunked'),
    ],
)
def test_responses_without_a_body_keep_the_framing_of_the_caller(
    route: Route, status: bytes, lines: bytes
) -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        received = await exchange(harness, requests=2)
        first, second = split_responses(received)
        for head, body in (first, second):
            code = head.split(b' ')[1]
            assert code in {status[:3], b'502'}, received
            assert code != b'204' or b'content-length' not in head, received
            assert code in {b'205', b'502'} or not body, received

    run(route, scenario, answer(status, *filter(None, [lines])))


def split_responses(received: bytes) -> list[tuple[bytes, bytes]]:
    """Split the bytes for a caller into heads and bodies, as RFC 9112 does."""
    responses = []
    while received:
        head, _, received = received.partition(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 '), head
        lowered = head.lower()
        length = 0
        if head.split(b' ')[1] not in {b'204', b'304'}:
            if b'transfer-encoding: chunked' in lowered:
                length = received.index(b'0\r\n\r\n') + 5
            else:
                assert b'content-length: ' in lowered, head
                _, _, text = lowered.partition(b'content-length: ')
                length = int(text.split(b'\r\n')[0])
        assert len(received) >= length, (head, received)
        responses.append((lowered, received[:length]))
        received = received[length:]
    return responses


@pytest.mark.parametrize('route', [PLAIN, STREAM])
def test_an_unmodified_response_that_states_a_length_is_whole(
    route: Route,
) -> None:
    # RFC 9110, 15.4.5: the length is that of a 200 response, no body follows.
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 304
        assert caller.is_complete
        assert caller.body == b''

    run(
        route,
        scenario,
        answer(b'304 Not Modified', b'content-length: 14', body=b''),
    )


def test_a_response_after_a_forbidden_body_is_not_mixed_up() -> None:
    def script(request: ReceivedRequest) -> list[bytes | None]:
        if request.attempt == b'a1':
            return answer(b'204 No Content', closes=False)(request)
        return complete(request)

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        first = await harness.request('a1')
        second = await harness.request('a2')
        assert first.status in {204, BAD_GATEWAY}
        assert (second.status, second.body) == (200, b'thing')
        assert [item.connection for item in fakes[0].received] == [1, 2]

    run(PLAIN, scenario, script)


def test_upgrade_that_an_endpoint_offers_is_not_taken() -> None:
    def script(request: ReceivedRequest) -> list[bytes | None]:
        switch = answer(
            b'101 Switching Protocols',
            b'upgrade: h2c',
            b'connection: upgrade',
            body=b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecret',
        )
        return switch(request)

    async def main() -> None:
        async with harness_with(PLAIN, script) as (harness, _):
            caller = await harness.request(
                'a1', (b'connection', b'upgrade'), (b'upgrade', b'h2c')
            )
            assert caller.status == BAD_GATEWAY
            assert b'secret' not in caller.body

    anyio.run(main)
