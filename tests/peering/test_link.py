"""Links between instances: requests, refusals, garbage, silence."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
from anyio import lowlevel

from acaciaramp.clock import ManualClock, SystemClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.framing import FrameStream
from acaciaramp.peering.link import Link
from acaciaramp.peering.messages import (
    Channel,
    FrameError,
    ReplyFrame,
    decode,
    encode,
)
from acaciaramp.peering.server import Address, serve_peers
from acaciaramp.verdicts import Verdict
from tests import builders as build

Handler = Callable[[bytes], Awaitable[bytes]]
_WAIT_MS = 5_000
_ROUNDS = 100
_LINKS = 30
_BIG_BYTES = 1_000_000


async def exchange(handler: Handler, *bodies: bytes) -> list[bytes]:
    """Return the replies of a server to the bodies, sent at once."""
    address = Address(build.loopback_host(), 7000)
    metrics = Metrics()
    replies: dict[bytes, bytes] = {}
    link = Link('entry-2', address, SystemClock(), metrics)

    async def ask(body: bytes) -> None:
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
        async with anyio.create_task_group() as asking:
            for body in bodies:
                asking.start_soon(ask, body)
        tasks.cancel_scope.cancel()
    return [replies[body] for body in bodies]


def test_crossed_replies_reach_their_requests() -> None:
    second_came = anyio.Event()

    async def handler(body: bytes) -> bytes:
        if body == b'first':
            await second_came.wait()
        second_came.set()
        return b'reply to ' + body

    replies = anyio.run(exchange, handler, b'first', b'second')
    assert replies == [b'reply to first', b'reply to second']


def test_no_reply_is_lost_when_all_come_at_once() -> None:
    came: list[bytes] = []
    all_came = anyio.Event()

    async def handler(body: bytes) -> bytes:
        came.append(body)
        if len(came) == _LINKS:
            all_came.set()
        await all_came.wait()
        return body

    bodies = [bytes([number]) * _BIG_BYTES for number in range(_LINKS)]
    replies = anyio.run(exchange, handler, *bodies)
    assert replies == bodies


def test_refusal_travels_with_its_verdict() -> None:
    async def handler(body: bytes) -> bytes:
        raise CallError(ErrorCode.QUEUE_FULL, 'full', Verdict.NOT_RUN, 7)

    with pytest.raises(ExceptionGroup) as caught:
        anyio.run(exchange, handler, b'x')
    error = _only(caught.value)
    assert error.refusal.code is ErrorCode.QUEUE_FULL
    assert error.refusal.retry_after_ms == 7


def test_unreachable_instance_has_not_run_the_request() -> None:
    async def scenario() -> CallError:
        clock = ManualClock()
        link = Link('entry-2', Address('127.0.0.1', 1), clock, Metrics())
        errors: list[CallError] = []

        async def ask() -> None:
            try:
                await link.request(Channel.PROGRAMS, b'', 100)
            except CallError as exc:
                errors.append(exc)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.wait_all_tasks_blocked()
            clock.advance(100)
        return errors[0]

    error = anyio.run(scenario)
    assert error.refusal.code is ErrorCode.HOME_UNREACHABLE
    assert error.refusal.verdict is Verdict.NOT_RUN


def test_garbage_is_counted_and_harms_nobody() -> None:
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
            async with await anyio.connect_tcp(*address) as hostile:
                frames = FrameStream(hostile)
                await frames.send(b'\xff garbage')
                await frames.send(encode(ReplyFrame(99, 1)))
                await hostile.send(b'\xff\xff\xff\xff too long')
                with pytest.raises(anyio.EndOfStream):
                    await hostile.receive()
                tasks.start_soon(link.run)
                await link.request(Channel.PROGRAMS, b'x', _WAIT_MS)
            tasks.cancel_scope.cancel()
        return metrics

    assert anyio.run(scenario).counts['link.rejected'] == 3


def test_other_protocol_versions_are_named() -> None:
    with pytest.raises(FrameError, match='protocol version 99'):
        decode(encode(ReplyFrame(99, 1)))


def test_links_that_end_while_they_connect_end_quietly() -> None:
    """A messaging library once ended the whole process over this."""

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


def _only(group: ExceptionGroup[Exception]) -> CallError:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, CallError)
    return error
