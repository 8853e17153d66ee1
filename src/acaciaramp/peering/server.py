"""Answers the requests of other instances."""

from __future__ import annotations

import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.errors import CallError, ErrorCode, Refusal
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.framing import (
    CONNECTION_ERRORS,
    FrameStream,
    FrameTooLargeError,
)
from acaciaramp.peering.messages import (
    PROTOCOL_VERSION,
    Channel,
    FrameError,
    ReplyFrame,
    RequestFrame,
    decode,
    encode,
)
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from anyio.abc import ByteStream, TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.tls import TlsContexts

logger = get_logger('peering')

IDLE_MS = 10_000
Handler = Callable[[bytes], Awaitable[bytes]]
Handlers = Mapping[Channel, Handler]


class Address(NamedTuple):
    """Where an instance listens for the others.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


async def serve_peers(
    address: Address,
    handlers: Handlers,
    clock: Clock,
    metrics: Metrics,
    security: TlsContexts | None = None,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests until cancelled.

    A request goes on when its connection is lost: it may have changed what is
    replicated.

    Args:
        address: Where to listen.
        handlers: Carries out the requests of each channel.
        clock: Measures silence.
        metrics: Counts rejected frames and connections.
        security: Certificates; None for plain connections.
        task_status: Told when the port is open.
    """
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        task_status.started()
        serve = functools.partial(_serve, handlers, clock, metrics, tasks)

        async def accept(plain: ByteStream) -> None:
            stream = await _secured(plain, clock, metrics, security)
            if stream is not None:
                await serve(stream)

        await listener.serve(accept)


async def _secured(
    plain: ByteStream,
    clock: Clock,
    metrics: Metrics,
    security: TlsContexts | None,
) -> ByteStream | None:
    """Return the secured connection, None if the other one is a stranger."""
    if security is None:
        return plain
    try:
        with clock.timeout(IDLE_MS):
            return await security.accept(plain)
    except CONNECTION_ERRORS as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning('A connection was rejected.', reason=exc)
        await anyio.aclose_forcefully(plain)
        return None


async def _serve(
    handlers: Handlers,
    clock: Clock,
    metrics: Metrics,
    tasks: TaskGroup,
    stream: ByteStream,
) -> None:
    """Serve one connection until it is lost or silent for too long."""
    frames = FrameStream(stream)
    try:
        while True:
            with clock.timeout(IDLE_MS):
                wire = await frames.receive()
            _take(wire, frames, handlers, metrics, tasks)
    except CONNECTION_ERRORS:
        logger.info('A connection of another instance has ended.')
    except FrameTooLargeError as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning('A connection was rejected.', reason=exc)
    finally:
        await frames.aclose()


def _take(
    wire: bytes,
    frames: FrameStream,
    handlers: Handlers,
    metrics: Metrics,
    tasks: TaskGroup,
) -> None:
    try:
        frame = decode(wire)
    except FrameError as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning('A frame was rejected.', reason=exc)
        return
    if isinstance(frame, RequestFrame):
        tasks.start_soon(_answer, frames, frame, handlers)


async def _answer(
    frames: FrameStream, frame: RequestFrame, handlers: Handlers
) -> None:
    body = b''
    refusal: Refusal | None = None
    try:
        if frame.channel is not Channel.HEARTBEAT:
            body = await handlers[frame.channel](frame.body)
    except CallError as exc:
        refusal = exc.refusal
    except Exception as exc:
        logger.error_from('A request failed unexpectedly.', exc)
        refusal = CallError(
            ErrorCode.INTERNAL, 'an internal error', Verdict.MAY_HAVE_RUN
        ).refusal
    reply = ReplyFrame(PROTOCOL_VERSION, frame.number, body, refusal)
    try:
        await frames.send(encode(reply))
    except CONNECTION_ERRORS:
        logger.info('A reply found its connection closed.')
