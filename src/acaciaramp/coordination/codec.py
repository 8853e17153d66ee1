"""MessagePack encoding of requests to the control instances."""

from __future__ import annotations

import msgspec

from acaciaramp.coordination.messages import ControlReply, ControlRequest
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.peering import replies as peering_replies

encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(ControlRequest)
_reply_decoder = msgspec.msgpack.Decoder(ControlReply)


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
