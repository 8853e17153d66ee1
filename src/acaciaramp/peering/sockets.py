"""Sending and receiving on sockets that may be closed meanwhile."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from anyio import lowlevel

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    import pynng


class SocketClosedError(AcaciarampError):
    """The socket was closed while something was under way on it."""


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
