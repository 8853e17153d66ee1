"""Encoding of requests to the control instances, and of routing tables.

Tables are stored and sent compressed: every instance gets each of them, over
links that are narrow between regions.
"""

from __future__ import annotations

import zlib

import msgspec

from acaciaramp.coordination.messages import (
    ControlReply,
    ControlRequest,
    View,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.peering import replies as peering_replies
from acaciaramp.peering.messages import DECODE_ERRORS
from acaciaramp.routing.checks import InvalidTableError

# No JSON document begins with this byte.
_ZLIB_START = b'x'
encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(ControlRequest)
_reply_decoder = msgspec.msgpack.Decoder(ControlReply)
_view_decoder = msgspec.msgpack.Decoder(View)
_VIEW_ERRORS = (zlib.error, *DECODE_ERRORS)


def decode_request(encoded: bytes) -> ControlRequest:
    """Decode a request to a control instance.

    Raises:
        CallError: The bytes are not an encoded request.
    """
    try:
        return _request_decoder.decode(encoded)
    except msgspec.DecodeError as exc:
        raise CallError(ErrorCode.BAD_REQUEST, f'malformed: {exc}') from None


def decode_reply(encoded: bytes) -> ControlReply:
    """Decode the reply of a control instance.

    Raises:
        CallError: The bytes are not an encoded reply.
    """
    return peering_replies.decode_reply(_reply_decoder, encoded)


def pack_view(view: View) -> bytes:
    """Encode and compress a view, once for all instances that get it."""
    return zlib.compress(encode(view))


def unpack_view(packed: bytes) -> View:
    """Return a view.

    Raises:
        CallError: The bytes are no compressed view.
    """
    try:
        return _view_decoder.decode(zlib.decompress(packed))
    except _VIEW_ERRORS as exc:
        raise CallError(
            ErrorCode.INTERNAL, f'a view cannot be decoded: {exc}'
        ) from None


def pack_table(body: bytes) -> bytes:
    """Compress a routing table as operators send it."""
    return zlib.compress(body)


def unpack_table(packed: bytes) -> bytes:
    """Return a routing table as operators sent it.

    Logs of earlier builds hold tables that are not compressed.

    Raises:
        InvalidTableError: The compressed table is damaged.
    """
    if not packed.startswith(_ZLIB_START):
        return packed
    try:
        return zlib.decompress(packed)
    except zlib.error as exc:
        raise InvalidTableError([f'not a compressed table: {exc}']) from None
