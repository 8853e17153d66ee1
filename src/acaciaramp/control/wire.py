"""Encodes the control group's messages and sends them over the links."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.control import messages as ctl
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.requests import send_request

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.control.group import ControlGroup, Exchange
    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.link import Link

_REPLY_TIMEOUT_MS = 2_000
_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(ctl.Request)
_reply_decoder = msgspec.msgpack.Decoder(ctl.Reply)


def make_exchange(links: Mapping[InstanceId, Link]) -> Exchange:
    """Return a function that sends a request over a link.

    It raises ``PeerError`` if no reply comes.

    Args:
        links: Links to the other instances.
    """

    async def exchange(target: InstanceId, req: ctl.Request) -> ctl.Reply:
        return await send_request(
            links,
            target,
            Channel.CONTROL,
            _encode(req),
            _REPLY_TIMEOUT_MS,
            _reply_decoder,
        )

    return exchange


async def handle_encoded(group: ControlGroup, encoded: bytes) -> bytes:
    """Handle an encoded request of another instance.

    Returns:
        The encoded reply.

    Raises:
        CallError: The request is malformed, or it proposes a document and this
            instance does not lead.
    """
    try:
        req = _request_decoder.decode(encoded)
    except msgspec.DecodeError as exc:
        raise CallError(ErrorCode.BAD_REQUEST, f'malformed: {exc}') from None
    return _encode(await group.handle(req))
