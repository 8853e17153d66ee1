"""Encodes loan requests and replies on the links between instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.messages import BorrowReply, BorrowRequest
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.replies import decode_reply

if TYPE_CHECKING:
    from acaciaramp.limits.admission import Admission, Lender
    from acaciaramp.peering.link import Link

_REPLY_TIMEOUT_MS = 300
_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(BorrowRequest)
_reply_decoder = msgspec.msgpack.Decoder(BorrowReply)


def make_lender(link: Link) -> Lender:
    """Return a function that requests loans over a link.

    While the link is not connected, the loan is empty. The function raises
    ``CallError`` if the other instance refuses or does not reply in time.
    """

    async def borrow(req: BorrowRequest) -> BorrowReply:
        if not link.is_connected:
            return BorrowReply([], 0)
        wire = await link.request(
            Channel.LIMITS, _encode(req), _REPLY_TIMEOUT_MS
        )
        return decode_reply(_reply_decoder, wire)

    return borrow


async def handle_encoded(admission: Admission, wire: bytes) -> bytes:
    """Handle an encoded ``BorrowRequest`` and return the encoded reply.

    Raises:
        CallError: The request cannot be decoded.
    """
    try:
        req = _request_decoder.decode(wire)
    except msgspec.DecodeError as exc:
        raise CallError(ErrorCode.BAD_REQUEST, f'malformed: {exc}') from None
    return _encode(await admission.handle_borrow(req))
