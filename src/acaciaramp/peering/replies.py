"""Decoding of the replies that peers send."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.peering.messages import DECODE_ERRORS
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    import msgspec

_Reply = TypeVar('_Reply')


def decode_reply(
    decoder: msgspec.msgpack.Decoder[_Reply], encoded: bytes
) -> _Reply:
    """Decode the reply of a peer.

    Args:
        decoder: Decoder of the replies of the component that was asked.
        encoded: The reply.

    Raises:
        CallError: The bytes are not such a reply. The peer has handled the
            request, so that its outcome is unknown.
    """
    try:
        return decoder.decode(encoded)
    except DECODE_ERRORS as exc:
        raise CallError(
            ErrorCode.INTERNAL,
            f'the reply of a peer cannot be decoded: {exc}',
            Verdict.MAY_HAVE_RUN,
        ) from None
