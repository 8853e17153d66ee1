"""Requests to other replicas, with a timeout."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

from acaciaramp.errors import CallError
from acaciaramp.peering.replies import decode_reply
from acaciaramp.replication.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Mapping

    import msgspec

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.link import Link
    from acaciaramp.peering.messages import Channel
    from acaciaramp.replication import messages as msgs

_Reply = TypeVar('_Reply')
Send = Callable[['InstanceId', 'msgs.Request'], Awaitable['msgs.Reply']]


async def send_request(
    links: Mapping[InstanceId, Link],
    target: InstanceId,
    channel: Channel,
    body: bytes,
    wait_ms: int,
    decoder: msgspec.msgpack.Decoder[_Reply],
) -> _Reply:
    """Send an encoded request over the link to an instance.

    Args:
        links: Links by the instance at their other end.
        target: The instance that receives the request.
        channel: The channel whose handler receives it.
        body: The request in the channel's encoding.
        wait_ms: Timeout, milliseconds.
        decoder: Decoder of the channel's replies.

    Returns:
        The reply.

    Raises:
        PeerError: There is no connected link, the request timed out, the
            instance refused it, or the reply cannot be decoded.
    """
    link = links.get(target)
    if link is None or not link.is_connected:
        raise PeerError(f'{target} cannot be reached')
    try:
        encoded = await link.request(channel, body, wait_ms)
        return decode_reply(decoder, encoded)
    except CallError as exc:
        raise PeerError(str(exc)) from None


def with_timeout(send: Send, clock: Clock, wait_ms: int) -> Send:
    """Wrap a sender so that a request fails with ``PeerError`` on timeout.

    Args:
        send: Sends a request; raises ``PeerError`` if no reply comes.
        clock: Source of time.
        wait_ms: Timeout of each request, milliseconds.
    """

    async def request(instance: InstanceId, req: msgs.Request) -> msgs.Reply:
        try:
            with clock.timeout(wait_ms):
                return await send(instance, req)
        except TimeoutError:
            raise PeerError(f'{instance} does not answer') from None

    return request
