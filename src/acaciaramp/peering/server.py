"""Server of the protocol between instances."""

from __future__ import annotations

import contextlib
import contextvars
import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.errors import CallError, ErrorCode, Refusal
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.framing import (
    CONNECTION_ERRORS,
    DEFAULT_ROOM_BYTES,
    MAX_FRAME_BYTES,
    FrameRoom,
    FrameStream,
    FrameTooLargeError,
    InvalidFramesError,
)
from acaciaramp.peering.messages import (
    PROTOCOL_VERSION,
    Channel,
    FrameError,
    ReplyFrame,
    RequestFrame,
    decode,
)
from acaciaramp.util.gate import ConnectionGate
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from anyio.abc import ByteStream, TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.tls import TlsContexts

logger = get_logger('peering')

# Connections without heartbeats are closed after this time. It also limits the TLS
# handshake.
IDLE_TIMEOUT_MS = 10_000
# Each instance of a deployment opens a link or two, and again after a failure.
_CONNECTIONS_FRACTION = 0.2
# What a handler holds until its reply was sent, of the request that is handled in
# the current task.
_held: contextvars.ContextVar[contextlib.AsyncExitStack] = (
    contextvars.ContextVar('_held')
)
Handler = Callable[[bytes], Awaitable[bytes]]
Handlers = Mapping[Channel, Handler]


class Address(NamedTuple):
    """Address on which an instance listens for its peers.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str
    port: int


class PeerLimits(NamedTuple):
    """Limits on what a process holds for its peers.

    Attributes:
        connections: Maximum number of open connections.
        frame_bytes: Maximum size of all frames over 64 KiB that are being
            received.
    """

    connections: int = 820
    frame_bytes: int = DEFAULT_ROOM_BYTES

    @classmethod
    def of_machine(
        cls, memory_bytes: float, max_descriptors: int
    ) -> PeerLimits:
        """Return the limits for a machine.

        Args:
            memory_bytes: Memory that may be used; at least one frame of the
                largest size is admitted.
            max_descriptors: Descriptors of the process.
        """
        return cls(
            int(max_descriptors * _CONNECTIONS_FRACTION),
            max(MAX_FRAME_BYTES, int(memory_bytes)),
        )


async def serve_peers(
    address: Address,
    handlers: Handlers,
    clock: Clock,
    metrics: Metrics,
    tls: TlsContexts | None = None,
    limits: PeerLimits | None = None,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve requests of peers until cancelled.

    A request is not cancelled when its connection is lost: it may already have
    changed replicated state.

    Args:
        address: Address to listen on.
        handlers: Handler of the encoded requests of each channel.
        clock: Clock for the idle timeout.
        metrics: Counts rejected frames and connections.
        tls: TLS contexts; None for unencrypted connections.
        limits: Limits on connections and frames; None for the default.
        task_status: Started once the port is open.
    """
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        task_status.started()
        most = limits or PeerLimits()
        gate = ConnectionGate('peers', most.connections)
        serve = functools.partial(
            _serve_connection,
            handlers,
            clock,
            metrics,
            tasks,
            FrameRoom(most.frame_bytes),
        )

        async def accept(plain: ByteStream) -> None:
            stream = await _accept_tls(plain, clock, metrics, tls)
            if stream is not None:
                await serve(stream)

        await listener.serve(gate.guard(accept))


async def hold_until_replied(
    resource: contextlib.AbstractAsyncContextManager[None],
) -> None:
    """Enter a context in a handler, and leave it once the reply was sent.

    Outside a handler it is left at once.
    """
    stack = _held.get(None)
    if stack is not None:
        await stack.enter_async_context(resource)
        return
    async with resource:
        return


async def _accept_tls(
    plain: ByteStream,
    clock: Clock,
    metrics: Metrics,
    tls: TlsContexts | None,
) -> ByteStream | None:
    """Return the encrypted connection, None if the TLS handshake failed."""
    if tls is None:
        return plain
    try:
        with clock.timeout(IDLE_TIMEOUT_MS):
            return await tls.accept(plain)
    except CONNECTION_ERRORS as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning(
            'TLS handshake with a peer failed; the connection is closed.',
            reason=exc,
        )
        await anyio.aclose_forcefully(plain)
        return None


async def _serve_connection(
    handlers: Handlers,
    clock: Clock,
    metrics: Metrics,
    tasks: TaskGroup,
    room: FrameRoom,
    stream: ByteStream,
) -> None:
    """Serve one connection until it is lost or idle for ``IDLE_TIMEOUT_MS``."""
    frames = FrameStream(stream, room)
    try:
        while True:
            with clock.timeout(IDLE_TIMEOUT_MS):
                wire = await frames.receive()
            _handle_frame(wire, frames, handlers, metrics, tasks)
    except CONNECTION_ERRORS:
        logger.info('A peer connection was lost or idle; it is closed.')
    except (FrameTooLargeError, InvalidFramesError) as exc:
        metrics.count(Counter.LINK_REJECTED)
        logger.warning(
            'A peer does not speak the protocol; the connection is closed.',
            reason=exc,
        )
    finally:
        await frames.aclose()


def _handle_frame(
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
        logger.warning(
            'A peer sent an invalid frame; it is ignored.', reason=exc
        )
        frames.record_invalid()
        return
    if isinstance(frame, RequestFrame):
        tasks.start_soon(_handle_request, frames, frame, handlers)


async def _handle_request(
    frames: FrameStream, frame: RequestFrame, handlers: Handlers
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        _held.set(stack)
        await _reply_to(frames, frame, handlers)


async def _reply_to(
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
        logger.error_from(
            'Unhandled exception in a peer request; replying with an error.',
            exc,
        )
        refusal = CallError(
            ErrorCode.INTERNAL, 'an internal error', Verdict.MAY_HAVE_RUN
        ).refusal
    reply = ReplyFrame(PROTOCOL_VERSION, frame.number, body, refusal)
    try:
        await frames.send(reply)
    except CONNECTION_ERRORS:
        logger.info(
            'A peer disconnected before its reply was sent; dropping it.'
        )
