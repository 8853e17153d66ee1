"""Client of the protocol between instances, with heartbeats and reconnects."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.errors import AcaciarampError, CallError, ErrorCode
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.peering.framing import (
    CONNECTION_ERRORS,
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
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.server import Address
    from acaciaramp.peering.tls import TlsContexts

logger = get_logger('peering')


class LinkTiming(NamedTuple):
    """Intervals and timeouts of a link, milliseconds.

    Attributes:
        heartbeat_ms: Interval between heartbeats.
        silence_ms: The connection is closed if no frame arrives for this long.
        connect_ms: Timeout for opening a connection.
        reconnect_ms: Initial backoff before reconnecting; it doubles with each
            failure.
        longest_reconnect_ms: Upper bound of the backoff.
    """

    heartbeat_ms: int = 500
    silence_ms: int = 2_000
    connect_ms: int = 2_000
    reconnect_ms: int = 100
    longest_reconnect_ms: int = 1_000


DEFAULT_TIMING = LinkTiming()


class LinkLostError(AcaciarampError):
    """The connection was lost before the reply arrived."""


_LINK_ERRORS = (
    *CONNECTION_ERRORS,
    FrameTooLargeError,
    InvalidFramesError,
)
_NO_REPLY_ERRORS = (*_LINK_ERRORS, LinkLostError)


class Link:
    """Sends requests to one peer over a single multiplexed connection.

    The connection is closed and re-established if no frame arrives for
    ``LinkTiming.silence_ms``; replies to heartbeats count.
    """

    def __init__(
        self,
        instance: str,
        address: Address,
        clock: Clock,
        metrics: Metrics,
        timing: LinkTiming = DEFAULT_TIMING,
        tls: TlsContexts | None = None,
    ) -> None:
        """Create the link; ``run`` keeps it connected.

        Args:
            instance: Id of the peer.
            address: Address on which the peer listens.
            clock: Clock for heartbeats and timeouts.
            metrics: Counts opened and lost links, times requests.
            timing: Heartbeat interval and timeouts.
            tls: TLS contexts; None for unencrypted connections.
        """
        self._instance = instance
        self._address = address
        self._clock = clock
        self._timing = timing
        self._tls = tls
        self._metrics = metrics
        self._next_number = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._frames: FrameStream | None = None
        self._connected = anyio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is established."""
        return self._frames is not None

    async def request(
        self, channel: Channel, body: bytes, wait_ms: int
    ) -> bytes:
        """Send a request and return the reply.

        While the link is not connected, the request waits for a connection.

        Args:
            channel: The component of the peer that handles the request.
            body: The request, encoded by that component.
            wait_ms: Timeout for connection and reply, milliseconds.

        Raises:
            CallError: The peer refused the request, or did not reply in time;
                the verdict states whether it may have received the request.
        """
        started_ms = self._clock.now_ms()
        pending = _PendingRequest()
        try:
            with self._clock.timeout(wait_ms):
                reply = await self._send_and_wait(channel, body, pending)
        except _NO_REPLY_ERRORS:
            raise CallError(
                ErrorCode.HOME_UNREACHABLE,
                f'instance "{self._instance}" does not answer',
                pending.verdict,
                retry_after_ms=self._timing.silence_ms,
            ) from None
        self._metrics.record_duration(
            Timer.PEER, self._clock.now_ms() - started_ms
        )
        if reply.refusal is not None:
            raise CallError.from_refusal(reply.refusal)
        return reply.body

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        timing = self._timing
        pause_ms = timing.reconnect_ms
        while True:
            if await self._run_connection():
                pause_ms = timing.reconnect_ms
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, timing.longest_reconnect_ms)

    async def _run_connection(self) -> bool:
        """Run one connection until it is lost.

        Returns:
            Whether the peer replied to the first heartbeat. The backoff is
            reset only then: a port that accepts connections but does not
            reply counts as a failure.
        """
        try:
            with self._clock.timeout(self._timing.connect_ms):
                stream = await self._open_stream()
        except _LINK_ERRORS:
            return False
        frames = FrameStream(stream)
        was_established = False
        try:
            await self._exchange_first_heartbeat(frames)
            was_established = True
            await self._run_until_lost(frames)
        except _LINK_ERRORS:
            if was_established:
                logger.warning(
                    'The link to a peer was lost; reconnecting.',
                    instance=self._instance,
                )
                self._metrics.count(Counter.LINK_LOST)
        finally:
            self._mark_disconnected()
            await frames.aclose()
        return was_established

    async def _open_stream(self) -> ByteStream:
        plain = await anyio.connect_tcp(*self._address)
        if self._tls is None:
            return plain
        try:
            return await self._tls.connect(plain, self._address.host)
        except BaseException:
            await anyio.aclose_forcefully(plain)
            raise

    async def _exchange_first_heartbeat(self, frames: FrameStream) -> None:
        """Check that the peer replies before the link counts as connected."""
        with self._clock.timeout(self._timing.silence_ms):
            await frames.send(_HEARTBEAT)
            await frames.receive()

    async def _run_until_lost(self, frames: FrameStream) -> None:
        """Send heartbeats and receive replies until the connection is lost.

        Raises:
            TimeoutError: The connection was lost, for whatever reason.
        """
        self._mark_connected(frames)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, frames)
                tasks.start_soon(self._receive_frames, frames)
        except* _LINK_ERRORS:
            raise TimeoutError from None

    async def _send_heartbeats(self, frames: FrameStream) -> None:
        while True:
            await self._clock.sleep_ms(self._timing.heartbeat_ms)
            with self._clock.timeout(self._timing.silence_ms):
                await frames.send(_HEARTBEAT)

    async def _receive_frames(self, frames: FrameStream) -> None:
        while True:
            with self._clock.timeout(self._timing.silence_ms):
                wire = await frames.receive()
            self._handle_frame(wire, frames)

    def _handle_frame(self, wire: bytes, frames: FrameStream) -> None:
        try:
            frame = decode(wire)
        except FrameError as exc:
            self._metrics.count(Counter.LINK_REJECTED)
            logger.warning(
                'A peer sent an invalid frame; it is ignored.', reason=exc
            )
            frames.record_invalid()
            return
        if isinstance(frame, ReplyFrame) and frame.number in self._pending:
            self._pending[frame.number].resolve(frame)

    def _mark_connected(self, frames: FrameStream) -> None:
        self._frames = frames
        self._connected.set()
        self._metrics.count(Counter.LINK_OPENED)
        logger.info('The link to a peer is open.', instance=self._instance)

    def _mark_disconnected(self) -> None:
        if self._frames is not None:
            self._frames = None
            self._connected = anyio.Event()
        for pending in self._pending.values():
            pending.resolve(None)

    async def _send_and_wait(
        self, channel: Channel, body: bytes, pending: _PendingRequest
    ) -> ReplyFrame:
        while self._frames is None:
            await self._connected.wait()
        number = next(self._next_number)
        frame = RequestFrame(PROTOCOL_VERSION, number, channel, body)
        self._pending[number] = pending
        try:
            pending.verdict = Verdict.MAY_HAVE_RUN
            await self._frames.send(frame)
            return await pending.wait()
        finally:
            self._pending.pop(number)


class _PendingRequest:
    """A request that waits for its reply.

    Attributes:
        verdict: Whether the peer may have received the request.
    """

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN
        self._reply: ReplyFrame | None = None
        self._ready = anyio.Event()

    def resolve(self, reply: ReplyFrame | None) -> None:
        """Set the reply, or None if the connection was lost."""
        if not self._ready.is_set():
            self._reply = reply
            self._ready.set()

    async def wait(self) -> ReplyFrame:
        """Return the reply.

        Raises:
            LinkLostError: The connection was lost first.
        """
        await self._ready.wait()
        if self._reply is None:
            raise LinkLostError('connection lost before the reply arrived')
        return self._reply


_HEARTBEAT = RequestFrame(PROTOCOL_VERSION, 0, Channel.HEARTBEAT)
