"""Replies of peers that cannot be decoded are errors of the request alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import anyio
import msgspec
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.control.messages import DocumentStatusRequest
from acaciaramp.control.wire import make_exchange
from acaciaramp.conversations.client import LedgerClient
from acaciaramp.conversations.messages import OpenTurn, TurnKey
from acaciaramp.conversations.replica import make_sender
from acaciaramp.coordination.codec import decode_reply
from acaciaramp.errors import CallError
from acaciaramp.ids import InstanceId
from acaciaramp.limits.messages import BorrowRequest
from acaciaramp.limits.wire import make_lender
from acaciaramp.peering.messages import (
    PROTOCOL_VERSION,
    FrameError,
    ReplyFrame,
    decode,
)
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.messages import HandoverRequest
from acaciaramp.verdicts import Verdict
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.peering.link import Link
    from acaciaramp.peering.links import Links

PEER = InstanceId('peer')
NESTED = b'\x91' * 5_000
GARBAGE = [b'', b'\xc1', b'\xa3abc', b'\xa2\xff\xfe', NESTED]


class GarbageLink:
    """A link whose peer replies with the same bytes to every request."""

    is_connected = True

    def __init__(self, reply: bytes) -> None:
        """Create the link."""
        self._reply = reply

    async def request(self, *_: Any) -> bytes:
        """Return the reply."""
        return self._reply

    def get(self, _: InstanceId) -> GarbageLink:
        """Return this link for every instance."""
        return self


@pytest.mark.parametrize('reply', GARBAGE)
def test_undecodable_reply_is_a_peer_error(reply: bytes) -> None:
    link = GarbageLink(reply)

    async def scenario() -> None:
        exchange = make_exchange({PEER: cast('Link', link)})
        with pytest.raises(PeerError):
            await exchange(PEER, DocumentStatusRequest())
        send = make_sender(cast('Links', link))
        with pytest.raises(PeerError):
            await send(PEER, HandoverRequest(1))

    anyio.run(scenario)


@pytest.mark.parametrize('reply', GARBAGE)
def test_undecodable_reply_is_a_call_error(reply: bytes) -> None:
    link = GarbageLink(reply)

    async def scenario() -> None:
        client = LedgerClient(
            cast('Links', link), lambda: [PEER], SystemClock()
        )
        opening = OpenTurn(turn=TurnKey(build.WORKSPACE, 'a'))
        with pytest.raises(CallError):
            await client.open_turn(opening, 20)
        borrow = make_lender(cast('Link', link))
        with pytest.raises(CallError):
            await borrow(BorrowRequest(build.WORKSPACE, PEER, 100))

    with pytest.raises(CallError) as caught:
        decode_reply(reply)
    assert caught.value.refusal.verdict is Verdict.MAY_HAVE_RUN
    anyio.run(scenario)


def test_frame_with_invalid_text_is_a_frame_error() -> None:
    frame = msgspec.msgpack.encode(
        [2, PROTOCOL_VERSION, 1, b'', {'code': 'internal', 'message': 'abc'}]
    )
    assert isinstance(decode(frame), ReplyFrame)
    with pytest.raises(FrameError):
        decode(frame.replace(b'abc', b'a\xff\xfe'))
