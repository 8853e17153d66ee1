"""Whole frames over one TCP connection."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from anyio.abc import ByteStream

LONGEST_FRAME_BYTES = 67_108_864
_LENGTH = struct.Struct('>I')

CONNECTION_ERRORS = (
    TimeoutError,
    OSError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class FrameTooLargeError(AcaciarampError):
    """The other end announced a frame that is too long."""


class FrameStream:
    """Sends and receives frames, each behind its length.

    Any of ``CONNECTION_ERRORS`` means that the connection is of no more use.
    """

    def __init__(self, stream: ByteStream) -> None:
        """Create the stream on top of a connection."""
        self._stream = stream
        self._buffered = BufferedByteReceiveStream(stream)
        self._lock = anyio.Lock(fast_acquire=True)

    async def send(self, wire: bytes) -> None:
        """Send a frame; frames of several tasks follow each other."""
        async with self._lock:
            await self._stream.send(_LENGTH.pack(len(wire)) + wire)

    async def receive(self) -> bytes:
        """Return the next frame.

        Raises:
            FrameTooLargeError: The frame is too long; it cannot be skipped.
        """
        head = await self._buffered.receive_exactly(_LENGTH.size)
        length: int = _LENGTH.unpack(head)[0]
        if length > LONGEST_FRAME_BYTES:
            raise FrameTooLargeError(f'a frame of {length} bytes is too long')
        return await self._buffered.receive_exactly(length)

    async def aclose(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)
