"""Sending requests to other replicas, with a bound on the wait."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from acaciaramp.replication.errors import PeerError

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication import messages as msgs

Send = Callable[['InstanceId', 'msgs.Request'], Awaitable['msgs.Reply']]


def bounded(send: Send, clock: Clock, wait_ms: int) -> Send:
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
