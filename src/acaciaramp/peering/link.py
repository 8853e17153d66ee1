"""The link to one other instance: requests, heartbeats, reconnection."""

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
    from anyio.abc import ByteStream

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.server import Address
    from acaciaramp.peering.tls import TlsContexts

logger = get_logger('peering')


class LinkTiming(NamedTuple):
    """Times of a link, milliseconds.

    Attributes:
        heartbeat_ms: Between two heartbeats.
        silence_ms: Silence after which the connection is closed.
        connect_ms: Longest time that opening a connection may take.
        reconnect_ms: Pause before a connection is opened anew; it doubles.
        longest_reconnect_ms: The longest such pause.
    """

    heartbeat_ms: int = 500
    silence_ms: int = 2_000
    connect_ms: int = 2_000
    reconnect_ms: int = 100
    longest_reconnect_ms: int = 1_000


DEFAULT_TIMING = LinkTiming()


class LinkLostError(AcaciarampError):
    """The link was lost before the reply came."""


_BROKEN = (*CONNECTION_ERRORS, FrameTooLargeError)
_UNANSWERED = (*_BROKEN, LinkLostError)


class Link:
    """Requests to one other instance over one connection at a time.

    A connection that brings nothing for a time, heartbeats
    included, is closed and made anew.
    """

    def __init__(
        self,
        instance: str,
        address: Address,
        clock: Clock,
        metrics: Metrics,
        timing: LinkTiming = DEFAULT_TIMING,
        security: TlsContexts | None = None,
    ) -> None:
        """Create the link; ``run`` keeps it connected.

        Args:
            instance: The other instance.
            address: Where it listens for other instances.
            clock: Measures silence.
            metrics: Counts opened and lost links.
            timing: Heartbeats and silence.
            security: Certificates; None for plain connections.
        """
        self._instance = instance
        self._address = address
        self._clock = clock
        self._timing = timing
        self._security = security
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Pending] = {}
        self._frames: FrameStream | None = None
        self._connected = anyio.Event()
        self._heard = anyio.Event()

    @property
    def is_connected(self) -> bool:
        """Whether requests can be sent now."""
        return self._frames is not None

    async def request(
        self, channel: Channel, body: bytes, wait_ms: int
    ) -> bytes:
        """Return the other instance's reply.

        Args:
            channel: Which part of the other instance the request is for.
            body: The request in that part's encoding.
            wait_ms: Longest wait for the reply, milliseconds.

        Raises:
            CallError: The other instance refused, or could not be reached;
                the verdict tells whether it may have got the request.
        """
        started_ms = self._clock.now_ms()
        pending = _Pending()
        try:
            with self._clock.timeout(wait_ms):
                reply = await self._exchange(channel, body, pending)
        except _UNANSWERED:
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
            if await self._connect_once():
                pause_ms = timing.reconnect_ms
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, timing.longest_reconnect_ms)

    async def _connect_once(self) -> bool:
        try:
            with self._clock.timeout(self._timing.connect_ms):
                stream = await self._open_stream()
        except _BROKEN:
            return False
        frames = FrameStream(stream)
        was_heard = False
        try:
            await self._exchange_heartbeat(frames)
            was_heard = True
            await self._stay_connected(frames)
        except _BROKEN:
            if was_heard:
                logger.warning('The link was lost.', instance=self._instance)
                self._metrics.count(Counter.LINK_LOST)
        finally:
            self._close()
            await frames.aclose()
        return was_heard

    async def _open_stream(self) -> ByteStream:
        plain = await anyio.connect_tcp(*self._address)
        if self._security is None:
            return plain
        try:
            return await self._security.connect(plain, self._address.host)
        except BaseException:
            await anyio.aclose_forcefully(plain)
            raise

    async def _exchange_heartbeat(self, frames: FrameStream) -> None:
        with self._clock.timeout(self._timing.silence_ms):
            await frames.send(_HEARTBEAT)
            await frames.receive()

    async def _stay_connected(self, frames: FrameStream) -> None:
        self._open(frames)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats, frames)
                tasks.start_soon(self._receive, frames)
        except* _BROKEN:
            raise TimeoutError from None

    async def _send_heartbeats(self, frames: FrameStream) -> None:
        while True:
            await self._clock.sleep_ms(self._timing.heartbeat_ms)
            with self._clock.timeout(self._timing.silence_ms):
                await frames.send(_HEARTBEAT)

    async def _receive(self, frames: FrameStream) -> None:
        while True:
            with self._clock.timeout(self._timing.silence_ms):
                wire = await frames.receive()
            self._take(wire)

    def _take(self, wire: bytes) -> None:
        try:
            frame = decode(wire)
        except FrameError as exc:
            self._metrics.count(Counter.LINK_REJECTED)
            logger.warning('A frame was rejected.', reason=exc)
            return
        if isinstance(frame, ReplyFrame) and frame.number in self._waiting:
            self._waiting[frame.number].resolve(frame)

    def _open(self, frames: FrameStream) -> None:
        self._frames = frames
        self._connected.set()
        self._metrics.count(Counter.LINK_OPENED)
        logger.info('The link is open.', instance=self._instance)

    def _close(self) -> None:
        if self._frames is not None:
            self._frames = None
            self._connected = anyio.Event()
        for pending in self._waiting.values():
            pending.resolve(None)

    async def _exchange(
        self, channel: Channel, body: bytes, pending: _Pending
    ) -> ReplyFrame:
        while self._frames is None:
            await self._connected.wait()
        number = next(self._numbers)
        frame = RequestFrame(PROTOCOL_VERSION, number, channel, body)
        self._waiting[number] = pending
        try:
            pending.verdict = Verdict.MAY_HAVE_RUN
            await self._frames.send(encode(frame))
            return await pending.wait()
        finally:
            self._waiting.pop(number)


class _Pending:
    """A request that waits for its reply."""

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN
        self._reply: ReplyFrame | None = None
        self._ready = anyio.Event()

    def resolve(self, reply: ReplyFrame | None) -> None:
        """Take the reply, or None when the link was lost."""
        if not self._ready.is_set():
            self._reply = reply
            self._ready.set()

    async def wait(self) -> ReplyFrame:
        """Return the reply."""
        await self._ready.wait()
        if self._reply is None:
            raise LinkLostError('the link was lost')
        return self._reply


_HEARTBEAT = encode(RequestFrame(PROTOCOL_VERSION, 0, Channel.HEARTBEAT))
