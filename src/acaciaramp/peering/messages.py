"""Frames of the inner protocol and their codec."""

from __future__ import annotations

import msgspec

from acaciaramp.errors import AcaciarampError, Refusal
from acaciaramp.programs import api

PROTOCOL_VERSION = 1


class FrameError(AcaciarampError):
    """A peer sent what is not a frame of this protocol version."""


class RequestFrame(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request to another instance.

    Attributes:
        version: Version of the protocol.
        number: Names the request on its link.
        body: The request, None for a heartbeat.
    """

    version: int
    number: int
    body: api.Request | None


class ReplyFrame(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply to one request.

    Attributes:
        version: Version of the protocol.
        number: The request's number.
        body: The reply; None with a refusal and for a heartbeat.
        refusal: Why there is no reply.
    """

    version: int
    number: int
    body: api.Reply | None
    refusal: Refusal | None = None


Frame = RequestFrame | ReplyFrame

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RequestFrame | ReplyFrame)


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return _encoder.encode(frame)


def decode(wire: bytes) -> Frame:
    """Return the frame of some bytes.

    Raises:
        FrameError: The bytes are not a frame of this protocol version.
    """
    try:
        frame: Frame = _decoder.decode(wire)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise FrameError(f'not a frame: {exc}') from None
    if frame.version != PROTOCOL_VERSION:
        raise FrameError(f'protocol version {frame.version} is not spoken here')
    return frame
