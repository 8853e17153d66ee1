"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, cast

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from acaciaramp.errors import AcaciarampError
from acaciaramp.peering.messages import (
    LENGTH_BYTES,
    decode_length,
    encode_prefixed,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import ByteStream

    from acaciaramp.peering.messages import Frame

MAX_FRAME_BYTES = 25_165_824
# Room for the large frames that are being received, without settings.
DEFAULT_ROOM_BYTES = 2 * MAX_FRAME_BYTES
# A peer that sends more of them than this does not speak the protocol.
MAX_INVALID_FRAMES = 16
# Frames up to this size never wait for room, so that heartbeats and requests
# arrive while large frames are being received.
_SMALL_FRAME_BYTES = 65_536

CONNECTION_ERRORS = (
    TimeoutError,
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class FrameTooLargeError(AcaciarampError):
    """The peer announced a frame of more than ``MAX_FRAME_BYTES``."""


class InvalidFramesError(AcaciarampError):
    """The peer sent more than ``MAX_INVALID_FRAMES`` on one connection."""


class FrameRoom:
    """Limits the bytes of large frames that are being received at once."""

    def __init__(self, most_bytes: int = DEFAULT_ROOM_BYTES) -> None:
        """Create the room without frames.

        Args:
            most_bytes: Maximum size of all large frames together. A single
                larger one is allowed.
        """
        self._most_bytes = most_bytes
        self._held_bytes = 0
        self._freed = anyio.Event()

    @contextlib.asynccontextmanager
    async def taken(self, size: int) -> AsyncIterator[None]:
        """Wait until there is room for a frame, and take it meanwhile."""
        if size <= _SMALL_FRAME_BYTES:
            yield
            return
        while self._held_bytes and self._held_bytes + size > self._most_bytes:
            await self._freed.wait()
        self._held_bytes += size
        try:
            yield
        finally:
            self._free(size)

    def _free(self, size: int) -> None:
        self._held_bytes -= size
        self._freed.set()
        self._freed = anyio.Event()


class FrameStream:
    """Sends and receives frames, each prefixed with its length.

    After any of ``CONNECTION_ERRORS`` the connection cannot be used any more.
    """

    def __init__(
        self, stream: ByteStream, room: FrameRoom | None = None
    ) -> None:
        """Wrap a connection.

        Args:
            stream: The connection; closed by ``aclose``.
            room: Room for large frames that are received; None for one that
                this connection has for itself.
        """
        self._room = room or FrameRoom()
        self._stream = stream
        self._buffered = BufferedByteReceiveStream(stream)
        self._lock = anyio.Lock(fast_acquire=True)
        self._invalid_frames = 0

    def record_invalid(self) -> None:
        """Record that the last frame cannot be decoded.

        Raises:
            InvalidFramesError: There were too many of them.
        """
        self._invalid_frames += 1
        if self._invalid_frames > MAX_INVALID_FRAMES:
            raise InvalidFramesError(
                f'{self._invalid_frames} frames cannot be decoded'
            )

    async def send(self, frame: Frame) -> None:
        """Send a frame; concurrent calls are serialized.

        It is encoded when it is its turn, so that frames that wait for others
        are held once.
        """
        async with self._lock:
            # Streams take any object with a buffer.
            await self._stream.send(cast('bytes', encode_prefixed(frame)))

    async def receive(self) -> bytes:
        """Return the next frame.

        Raises:
            FrameTooLargeError: The frame exceeds the limit. It is not skipped,
                so the stream cannot be read any further.
        """
        prefix = await self._buffered.receive_exactly(LENGTH_BYTES)
        length = decode_length(prefix)
        if length > MAX_FRAME_BYTES:
            raise FrameTooLargeError(
                f'frame of {length} bytes exceeds the limit'
            )
        async with self._room.taken(length):
            return await self._buffered.receive_exactly(length)

    async def aclose(self) -> None:
        """Close the connection without a closing handshake."""
        await anyio.aclose_forcefully(self._stream)
