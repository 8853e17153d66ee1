"""Length-prefixed frames on a byte stream."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from anyio.abc import ByteStream

MAX_FRAME_BYTES = 25_165_824
# A peer that sends more of them than this does not speak the protocol.
MAX_INVALID_FRAMES = 16
_LENGTH_PREFIX = struct.Struct('>I')

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


class FrameStream:
    """Sends and receives frames, each prefixed with its length.

    After any of ``CONNECTION_ERRORS`` the connection cannot be used any more.
    """

    def __init__(self, stream: ByteStream) -> None:
        """Wrap a connection.

        Args:
            stream: The connection; closed by ``aclose``.
        """
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

    async def send(self, frame: bytes) -> None:
        """Send a frame; concurrent calls are serialized."""
        async with self._lock:
            await self._stream.send(_LENGTH_PREFIX.pack(len(frame)) + frame)

    async def receive(self) -> bytes:
        """Return the next frame.

        Raises:
            FrameTooLargeError: The frame exceeds the limit. It is not skipped,
                so the stream cannot be read any further.
        """
        prefix = await self._buffered.receive_exactly(_LENGTH_PREFIX.size)
        length: int = _LENGTH_PREFIX.unpack(prefix)[0]
        if length > MAX_FRAME_BYTES:
            raise FrameTooLargeError(
                f'frame of {length} bytes exceeds the limit'
            )
        return await self._buffered.receive_exactly(length)

    async def aclose(self) -> None:
        """Close the connection without a closing handshake."""
        await anyio.aclose_forcefully(self._stream)
