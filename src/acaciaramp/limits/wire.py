"""Carries loans over the links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.messages import BorrowReply, BorrowRequest
from acaciaramp.peering.messages import Channel

if TYPE_CHECKING:
    from acaciaramp.limits.admission import Admission, Lender
    from acaciaramp.peering.link import Link

_ANSWER_MS = 300
_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(BorrowRequest)
_reply_decoder = msgspec.msgpack.Decoder(BorrowReply)


def make_lender(link: Link) -> Lender:
    """Return the function that asks the instance at the end of a link."""

    async def ask(req: BorrowRequest) -> BorrowReply:
        if not link.is_connected:
            return BorrowReply([], 0)
        wire = await link.request(Channel.LIMITS, _encode(req), _ANSWER_MS)
        return _reply_decoder.decode(wire)

    return ask


async def handle_encoded(admission: Admission, wire: bytes) -> bytes:
    """Answer an encoded request of another instance.

    Raises:
        CallError: The request is malformed.
    """
    try:
        req = _request_decoder.decode(wire)
    except msgspec.DecodeError as exc:
        raise CallError(ErrorCode.BAD_REQUEST, f'malformed: {exc}') from None
    return _encode(await admission.handle_borrow(req))
