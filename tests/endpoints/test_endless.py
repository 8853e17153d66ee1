"""Bytes without end from engines, services and instance lists are cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.documents.model import Endpoint
from acaciaramp.endpoints.calls import Call
from acaciaramp.endpoints.engine import EngineClient
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.endpoints.http import (
    MAX_RESPONSE_BYTES,
    HttpClient,
    HttpRequest,
)
from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.errors import CallError
from acaciaramp.membership.instance_list import InstanceListPoller
from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.instances import make_reader
from acaciaramp.verdicts import Verdict
from tests import builders as build
from tests.endless import EndlessServer, head_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.records import Answer, StepRequest
    from tests.forwarding.endpoint import ReceivedRequest

IN_TRANSIT_BYTES = 16_777_216
ANSWER = (
    b'data: {"choices":[{"delta":{"content":"yes"}}]}\n\n'
    b'data: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: [DONE]\n\n'
)


def run(
    server: EndlessServer, scenario: Callable[[int], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with server.serving() as port:
            with anyio.fail_after(30):
                await scenario(port)
                await server.wait_closed()

    anyio.run(main)


def make_call(request: StepRequest) -> Call:
    return Call(
        program=build.PROGRAM,
        request=request,
        max_tokens=10,
        inactivity_ms=2_000,
    )


def listed(port: int) -> Endpoint:
    return Endpoint.model_validate(
        build.endpoint('e-1', f'http://127.0.0.1:{port}')
    )


async def send_chat(port: int) -> Answer:
    client = HttpClient(SystemClock())
    engine = EngineClient(client, SystemClock(), Metrics())
    pieces: list[bytes] = []
    call = make_call(build.chat_request())
    try:
        return await engine.send(listed(port), call, pieces.append)
    finally:
        await client.aclose()


def complete_answer(request: ReceivedRequest) -> bytes:
    return head_of(request, b'content-type: text/event-stream') + ANSWER


def endless_tool_call(request: ReceivedRequest) -> bytes:
    return head_of(request) + (
        b'data: {"choices":[{"delta":{"tool_calls":[{"index":999999999}]}}]}'
        b'\n\n'
    )


@pytest.mark.parametrize('unit', [b'x' * 100, b'data: {"choices":[]}\n\n'])
def test_complete_answer_is_delivered_though_bytes_follow(unit: bytes) -> None:
    async def scenario(port: int) -> None:
        answer = await send_chat(port)
        assert answer.finish_reason == 'stop'
        assert b'yes' in answer.body

    run(EndlessServer(complete_answer, unit, pause_ms=20), scenario)


@pytest.mark.parametrize(
    'server',
    [
        EndlessServer(head_of, b'x' * 1_024),
        EndlessServer(head_of, b': ping\n\n'),
        EndlessServer(head_of, b'data: {"choices":[]}\n\n'),
        EndlessServer(endless_tool_call, b': ping\n\n'),
        EndlessServer(lambda _: b'HTTP/1.1 200 OK\r\nx-padding: ', b'x'),
    ],
)
def test_stream_without_end_may_have_run(server: EndlessServer) -> None:
    async def scenario(port: int) -> None:
        with pytest.raises(EndpointError) as caught:
            await send_chat(port)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    run(server, scenario)
    assert server.sent_bytes < MAX_RESPONSE_BYTES + IN_TRANSIT_BYTES


def test_body_of_a_service_without_end_may_have_run() -> None:
    async def scenario(port: int) -> None:
        client = HttpClient(SystemClock())
        call = make_call(build.tool_request())
        with pytest.raises(EndpointError) as caught:
            await PlainClient(client).send(listed(port), call, lambda _: None)
        assert caught.value.failure is Failure.MALFORMED
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN
        await client.aclose()

    server = EndlessServer(head_of, bytes(1_024))
    run(server, scenario)
    assert server.sent_bytes < MAX_RESPONSE_BYTES + IN_TRANSIT_BYTES


def test_slow_body_is_cut_off_after_the_total_time() -> None:
    async def scenario(port: int) -> None:
        client = HttpClient(SystemClock())
        req = HttpRequest(
            'GET',
            f'http://127.0.0.1:{port}/',
            inactivity_ms=2_000,
            total_ms=200,
        )
        with pytest.raises(EndpointError) as caught:
            async with client.send(req) as response:
                await response.read_body()
        assert caught.value.failure is Failure.TIMEOUT
        await client.aclose()

    run(EndlessServer(head_of, b'x', pause_ms=20), scenario)


@pytest.mark.parametrize(
    'server',
    [
        EndlessServer(head_of, b'x', pause_ms=20),
        EndlessServer(head_of, b'[' * 1_024),
        EndlessServer(lambda _: b'HTTP/1.1 200 OK\r\nx-padding: ', b'x'),
    ],
)
def test_instance_list_without_end_is_an_error(server: EndlessServer) -> None:
    async def scenario(port: int) -> None:
        read = make_reader(f'127.0.0.1:{port}', SystemClock(), Metrics())
        with pytest.raises(CallError):
            await read()

    run(server, scenario)


def test_poller_keeps_its_list_if_the_next_one_does_not_end() -> None:
    async def scenario(port: int) -> None:
        client = HttpClient(SystemClock())
        poller = InstanceListPoller(
            f'http://127.0.0.1:{port}/instances', client, SystemClock()
        )
        await poller.poll()
        assert not poller.is_leaving('e-1')
        await client.aclose()

    run(EndlessServer(head_of, b'x', pause_ms=20), scenario)


def test_poller_ignores_a_list_with_an_error_status() -> None:
    body = b'{"instances":[{"id":"e-1","standing":"leaving"}]}'

    def error_with_list(request: ReceivedRequest) -> bytes:
        length = b'content-length: %d' % len(body)
        return head_of(request, length, status=b'500 Oops') + body

    async def scenario(port: int) -> None:
        client = HttpClient(SystemClock())
        poller = InstanceListPoller(
            f'http://127.0.0.1:{port}/instances', client, SystemClock()
        )
        await poller.poll()
        assert not poller.is_leaving('e-1')
        await client.aclose()

    run(EndlessServer(error_with_list, b'x', pause_ms=20), scenario)
