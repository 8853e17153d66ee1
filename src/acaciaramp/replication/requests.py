"""Sending requests to other replicas, with a bound on the wait."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from acaciaramp.errors import CallError
from acaciaramp.replication.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.link import Link
    from acaciaramp.peering.messages import Channel
    from acaciaramp.replication import messages as msgs

Send = Callable[['InstanceId', 'msgs.Request'], Awaitable['msgs.Reply']]


async def request_over_link(
    links: Mapping[InstanceId, Link],
    target: InstanceId,
    channel: Channel,
    body: bytes,
    wait_ms: int,
) -> bytes:
    """Return the reply that comes over the link to an instance.

    Args:
        links: Links to the other instances.
        target: Which one is asked.
        channel: Which part of it.
        body: The request in that part's encoding.
        wait_ms: Longest wait, milliseconds.

    Raises:
        PeerError: No reply comes, or it is a refusal.
    """
    link = links.get(target)
    if link is None or not link.is_connected:
        raise PeerError(f'{target} cannot be reached')
    try:
        return await link.request(channel, body, wait_ms)
    except CallError as exc:
        raise PeerError(str(exc)) from None


def with_timeout(send: Send, clock: Clock, wait_ms: int) -> Send:
    """Return a sender that waits no longer than a time.

    Args:
        send: Sends a request; raises ``PeerError`` if no reply comes.
        clock: Measures the wait.
        wait_ms: Longest wait, milliseconds.
    """

    async def request(instance: InstanceId, req: msgs.Request) -> msgs.Reply:
        try:
            with clock.timeout(wait_ms):
                return await send(instance, req)
        except TimeoutError:
            raise PeerError(f'{instance} does not answer') from None

    return request
