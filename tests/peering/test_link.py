"""Requests and refusals over links; invalid frames and lost connections."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import pytest
from anyio import lowlevel

from acaciaramp.clock import ManualClock, SystemClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.framing import FrameStream
from acaciaramp.peering.link import Link
from acaciaramp.peering.links import Links
from acaciaramp.peering.messages import (
    Channel,
    FrameError,
    ReplyFrame,
    decode,
    encode,
)
from acaciaramp.peering.server import (
    Address,
    hold_until_replied,
    serve_peers,
)
from acaciaramp.verdicts import Verdict
from tests import builders as build

Handler = Callable[[bytes], Awaitable[bytes]]
_WAIT_MS = 5_000
_ROUNDS = 100
_LINKS = 30
_LARGE_BODY_BYTES = 1_000_000


async def exchange(handler: Handler, *bodies: bytes) -> list[bytes]:
    """Send the bodies concurrently to a server and return its replies."""
    address = Address(build.loopback_host(), 7000)
    metrics = Metrics()
    replies: dict[bytes, bytes] = {}
    link = Link('entry-2', address, SystemClock(), metrics)

    async def send_request(body: bytes) -> None:
        replies[body] = await link.request(Channel.PROGRAMS, body, _WAIT_MS)

    async with anyio.create_task_group() as tasks:
        await tasks.start(
            serve_peers,
            address,
            {Channel.PROGRAMS: handler},
            SystemClock(),
            metrics,
        )
        tasks.start_soon(link.run)
        async with anyio.create_task_group() as requests:
            for body in bodies:
                requests.start_soon(send_request, body)
        tasks.cancel_scope.cancel()
    return [replies[body] for body in bodies]


def test_replies_out_of_order_reach_their_requests() -> None:
    second_arrived = anyio.Event()

    async def handler(body: bytes) -> bytes:
        if body == b'first':
            await second_arrived.wait()
        second_arrived.set()
        return b'reply to ' + body

    replies = anyio.run(exchange, handler, b'first', b'second')
    assert replies == [b'reply to first', b'reply to second']


# Guards against large replies that are created while others are not sent yet.
def test_what_a_handler_holds_is_released_after_its_reply() -> None:
    steps: list[str] = []

    @contextlib.asynccontextmanager
    async def resource() -> AsyncIterator[None]:
        steps.append('taken')
        yield
        steps.append('released')

    async def handler(body: bytes) -> bytes:
        await hold_until_replied(resource())
        steps.append('handled')
        return body

    assert anyio.run(exchange, handler, b'body') == [b'body']
    assert steps == ['taken', 'handled', 'released']
    anyio.run(hold_until_replied, resource())
    assert steps[3:] == ['taken', 'released']


def test_concurrent_large_replies_all_arrive() -> None:
    received: list[bytes] = []
    all_received = anyio.Event()

    async def handler(body: bytes) -> bytes:
        received.append(body)
        if len(received) == _LINKS:
            all_received.set()
        await all_received.wait()
        return body

    bodies = [bytes([number]) * _LARGE_BODY_BYTES for number in range(_LINKS)]
    replies = anyio.run(exchange, handler, *bodies)
    assert replies == bodies


def test_refusal_reaches_the_requester_with_its_fields() -> None:
    async def handler(body: bytes) -> bytes:
        raise CallError(ErrorCode.QUEUE_FULL, 'full', Verdict.NOT_RUN, 7)

    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(exchange, handler, b'x')
    error = _single_error(caught.value)
    assert error.refusal.code is ErrorCode.QUEUE_FULL
    assert error.refusal.retry_after_ms == 7


def test_request_without_a_connection_fails_as_not_run() -> None:
    async def scenario() -> CallError:
        clock = ManualClock()
        link = Link('entry-2', Address('127.0.0.1', 1), clock, Metrics())
        errors: list[CallError] = []

        async def send_request() -> None:
            try:
                await link.request(Channel.PROGRAMS, b'', 100)
            except CallError as exc:
                errors.append(exc)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            await anyio.wait_all_tasks_blocked()
            clock.advance(100)
        return errors[0]

    error = anyio.run(scenario)
    assert error.refusal.code is ErrorCode.HOME_UNREACHABLE
    assert error.refusal.verdict is Verdict.NOT_RUN


def test_invalid_frames_are_counted_and_other_links_work() -> None:
    async def scenario() -> Metrics:
        address = Address(build.loopback_host(), 7000)
        metrics = Metrics()
        link = Link('entry-2', address, SystemClock(), metrics)

        async def handler(body: bytes) -> bytes:
            return body

        async with anyio.create_task_group() as tasks:
            await tasks.start(
                serve_peers,
                address,
                {Channel.PROGRAMS: handler},
                SystemClock(),
                metrics,
            )
            async with await anyio.connect_tcp(*address) as raw:
                garbage = b'\xff garbage'
                await raw.send(len(garbage).to_bytes(4) + garbage)
                await FrameStream(raw).send(ReplyFrame(99, 1))
                await raw.send(b'\xff\xff\xff\xff too long')
                with pytest.raises(anyio.EndOfStream):
                    await raw.receive()
                tasks.start_soon(link.run)
                await link.request(Channel.PROGRAMS, b'x', _WAIT_MS)
            tasks.cancel_scope.cancel()
        return metrics

    assert anyio.run(scenario).counts['link.rejected'] == 3


def test_other_protocol_version_is_named_in_the_error() -> None:
    with pytest.raises(FrameError, match='protocol version 99'):
        decode(encode(ReplyFrame(99, 1)))


def test_links_can_be_cancelled_while_they_connect() -> None:
    """Cancelling links while they connect must not abort the process.

    Some messaging libraries abort it in this case.
    """

    async def scenario() -> int:
        address = Address(build.loopback_host(), 1)
        rounds = 0
        for _ in range(_ROUNDS):
            async with anyio.create_task_group() as tasks:
                for number in range(_LINKS):
                    name = f'entry-{number}'
                    link = Link(name, address, SystemClock(), Metrics())
                    tasks.start_soon(link.run)
                await lowlevel.checkpoint()
                tasks.cancel_scope.cancel()
            rounds += 1
        return rounds

    assert anyio.run(scenario) == _ROUNDS


def _single_error(group: ExceptionGroup[Exception]) -> CallError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, CallError)
    return error


def test_a_closed_link_ends_whether_or_not_it_is_connected() -> None:
    """Guards against links that go on to connect to instances that are gone."""

    async def scenario() -> None:
        listening = Address(build.loopback_host(), 7000)
        ids = [
            InstanceId(f'{listening.host}:{listening.port}'),
            InstanceId('127.0.0.1:1'),
        ]
        async with anyio.create_task_group() as servers:
            await servers.start(
                serve_peers, listening, {}, SystemClock(), Metrics()
            )
            async with anyio.create_task_group() as tasks:
                links = Links(SystemClock(), Metrics(), tasks)
                opened = [links.get(instance) for instance in ids]
                while not opened[0].is_connected:
                    await anyio.sleep(0.01)
                for instance in ids:
                    links.close(instance)
                    links.close(instance)
            assert not opened[0].is_connected
            servers.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(_WAIT_MS / 1_000):
            await scenario()

    anyio.run(main)
