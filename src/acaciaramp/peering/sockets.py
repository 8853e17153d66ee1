"""Sending and receiving on sockets that may be closed meanwhile."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from anyio import CancelScope, lowlevel
from anyio.to_thread import run_sync

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    import pynng

    from acaciaramp.clock import Clock

# The library must not connect again by itself: see ``dial``.
_NEVER_MS = 2_147_483_647


class SocketClosedError(AcaciarampError):
    """The socket was closed while something was under way on it."""


async def dial(sock: pynng.Pair1, url: str, wait_ms: int, clock: Clock) -> None:
    """Connect a socket once.

    The library ends the whole process when a socket is closed while its
    address is being looked up. So a cancellation waits for the dial, and the
    socket does not dial again by itself; a dial that goes on after ``wait_ms``
    is past the look-up.

    Args:
        sock: The socket; the caller closes it.
        url: Where to connect, ``tcp://IP:PORT``.
        wait_ms: Longest wait, milliseconds.
        clock: Measures the wait.

    Raises:
        TimeoutError: The other end does not answer in time.
        NNGException: The other end cannot be reached.
    """
    sock.reconnect_time_min = _NEVER_MS
    connect = functools.partial(sock.dial, url, block=True)
    with CancelScope(shield=True), clock.timeout(wait_ms):
        await run_sync(connect, abandon_on_cancel=True)


async def send(target: pynng.Socket | pynng.Pipe, wire: bytes) -> None:
    """Send bytes.

    Raises:
        SocketClosedError: The socket was closed meanwhile.
        NNGException: The other end cannot be reached.
    """
    try:
        await target.asend(wire)
    except asyncio.CancelledError:
        await _raise_own_cancellation()
        raise SocketClosedError('the socket was closed') from None


async def receive(sock: pynng.Socket) -> pynng.Message:
    """Return the next message.

    Raises:
        SocketClosedError: The socket was closed meanwhile.
        NNGException: The other end cannot be reached.
    """
    try:
        return await sock.arecv_msg()
    except asyncio.CancelledError:
        await _raise_own_cancellation()
        raise SocketClosedError('the socket was closed') from None


async def _raise_own_cancellation() -> None:
    """Raise the cancellation of a scope, if that is what happened.

    The library raises a cancellation of its own in its place, which no scope
    would recognise.
    """
    await lowlevel.checkpoint()
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
