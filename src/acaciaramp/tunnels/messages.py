"""Messages that open a tunnel, and the frames of its bytes.

Bytes of the endpoint travel in frames, and a frame without bytes says that the
endpoint has closed its connection. A response that ends with its connection is
complete only then: a peer that is killed closes the tunnel without that frame.
"""

from __future__ import annotations

import enum
import struct
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.errors import AcaciarampError
from acaciaramp.ids import EndpointId

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Read = Callable[[int], Awaitable[bytes]]

TUNNEL_VERSION = 1
MAX_MESSAGE_BYTES = 1_024
_LENGTH_PREFIX = struct.Struct('>I')
_encode = msgspec.msgpack.Encoder().encode


class TunnelError(AcaciarampError):
    """A tunnel could not be opened; no byte reached the endpoint."""


class EndpointUnreachableError(TunnelError):
    """The peer is sound, but could not connect to this endpoint."""


class TunnelOutcome(enum.Enum):
    """Result of opening a tunnel.

    Attributes:
        OPEN: Bytes may follow.
        UNLISTED: The peer does not know the endpoint.
        UNREACHABLE: The peer could not connect to the endpoint.
        LOST: The peer cannot reach any endpoint.
        BUSY: The peer stops, or serves as many tunnels as it may.
    """

    OPEN = 'open'
    UNLISTED = 'unlisted'
    UNREACHABLE = 'unreachable'
    LOST = 'lost'
    BUSY = 'busy'


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks a peer for a connection to an endpoint.

    Attributes:
        version: Version of these messages.
        endpoint: Id of the endpoint.
    """

    version: int
    endpoint: EndpointId


class TunnelReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to ``TunnelRequest``.

    Attributes:
        outcome: Whether the tunnel is open.
    """

    outcome: TunnelOutcome


_request_decoder = msgspec.msgpack.Decoder(TunnelRequest)
_reply_decoder = msgspec.msgpack.Decoder(TunnelReply)


def pack(content: bytes) -> bytes:
    """Return bytes as a frame."""
    return _LENGTH_PREFIX.pack(len(content)) + content


async def read_length(read: Read) -> int:
    """Read the length of the next frame.

    Args:
        read: Returns at most so many bytes, none at the end of the connection.

    Raises:
        TunnelError: The connection has ended.
    """
    prefix = await _read_exactly(read, _LENGTH_PREFIX.size)
    length: int = _LENGTH_PREFIX.unpack(prefix)[0]
    return length


def encode_message(message: TunnelRequest | TunnelReply) -> bytes:
    """Return a message as a frame."""
    return pack(_encode(message))


async def read_request(read: Read) -> TunnelRequest:
    """Read a request.

    Raises:
        TunnelError: The connection has ended, or these bytes are no request.
    """
    wire = await _read_message(read)
    try:
        req = _request_decoder.decode(wire)
    except msgspec.DecodeError as exc:
        raise TunnelError(f'malformed: {exc}') from None
    if req.version != TUNNEL_VERSION:
        raise TunnelError(f'version {req.version} is not supported')
    return req


async def read_reply(read: Read) -> TunnelReply:
    """Read a reply.

    Raises:
        TunnelError: The connection has ended, or these bytes are no reply.
    """
    wire = await _read_message(read)
    try:
        return _reply_decoder.decode(wire)
    except msgspec.DecodeError as exc:
        raise TunnelError(f'malformed: {exc}') from None


async def _read_message(read: Read) -> bytes:
    length = await read_length(read)
    if length > MAX_MESSAGE_BYTES:
        raise TunnelError(f'a message of {length} bytes')
    return await _read_exactly(read, length)


async def _read_exactly(read: Read, length: int) -> bytes:
    received = b''
    while len(received) < length:
        part = await read(length - len(received))
        if not part:
            raise TunnelError('the connection has ended')
        received += part
    return received
