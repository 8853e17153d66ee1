"""Frames of the protocol between instances, and their codec."""

from __future__ import annotations

import enum
import struct

import msgspec

from acaciaramp.errors import AcaciarampError, Refusal

PROTOCOL_VERSION = 1
# What msgspec raises for bytes that are no valid message.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class Channel(enum.Enum):
    """The component of the peer that handles a request."""

    HEARTBEAT = 0
    PROGRAMS = 1
    CELLS = 2
    CONTROL = 3
    LIMITS = 4
    COORDINATION = 5
    LEDGER = 6
    LOADS = 7


class FrameError(AcaciarampError):
    """Bytes from a peer are not a frame of this protocol version."""


class RequestFrame(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request to a peer.

    Attributes:
        version: Protocol version.
        number: Identifies the request on its link; 0 for heartbeats.
        channel: The component that handles the request.
        body: The request, encoded by that component.
    """

    version: int
    number: int
    channel: Channel
    body: bytes = b''


class ReplyFrame(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply to one request.

    Attributes:
        version: Protocol version.
        number: Number of the request.
        body: The reply, encoded by the component that handled the request.
        refusal: Why the request was refused; None on success.
    """

    version: int
    number: int
    body: bytes = b''
    refusal: Refusal | None = None


Frame = RequestFrame | ReplyFrame

_LENGTH_PREFIX = struct.Struct('>I')
LENGTH_BYTES = _LENGTH_PREFIX.size
# More than a frame has beside its body, unless it carries a refusal.
_ENVELOPE_BYTES = 64
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RequestFrame | ReplyFrame)


def encode(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return _encoder.encode(frame)


def encode_prefixed(frame: Frame) -> bytearray:
    """Encode a frame after its length, without a copy of a large body."""
    wire = bytearray(_LENGTH_PREFIX.size + len(frame.body) + _ENVELOPE_BYTES)
    _encoder.encode_into(frame, wire, _LENGTH_PREFIX.size)
    _LENGTH_PREFIX.pack_into(wire, 0, len(wire) - _LENGTH_PREFIX.size)
    return wire


def decode_length(prefix: bytes) -> int:
    """Return the length of the frame that follows its prefix."""
    length: int = _LENGTH_PREFIX.unpack(prefix)[0]
    return length


def decode(wire: bytes) -> Frame:
    """Decode a frame from MessagePack.

    Raises:
        FrameError: The bytes are not a frame or have another protocol
            version.
    """
    try:
        frame: Frame = _decoder.decode(wire)
    except DECODE_ERRORS as exc:
        raise FrameError(f'cannot decode the frame: {exc}') from None
    if frame.version != PROTOCOL_VERSION:
        raise FrameError(f'protocol version {frame.version} is not supported')
    return frame
