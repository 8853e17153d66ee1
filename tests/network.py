"""A network between instances that scenarios can cut."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import TYPE_CHECKING

import anyio

from acaciaramp.peering.framing import CONNECTION_ERRORS

if TYPE_CHECKING:
    from anyio.abc import ByteReceiveStream, ByteSendStream, ByteStream

    from acaciaramp.peering.server import Address

_CHUNK_BYTES = 65_536


@dataclasses.dataclass
class _Way:
    """One direction of one connection.

    Attributes:
        sender: Who sends.
        receiver: Who receives.
        is_lost: Whether nothing passes any more, for good.
    """

    sender: int
    receiver: int
    is_lost: bool = False


class Network:
    """Passes bytes between instances, or swallows them without a word.

    A connection that has lost bytes stays silent for good, also when the
    network is whole again: something in between has lost track of it.
    """

    def __init__(self) -> None:
        """Create the whole network."""
        self._cut: set[tuple[int, int]] = set()
        self._ways: list[_Way] = []

    def block(self, sender: int, receiver: int) -> None:
        """Swallow all that one instance sends another, also on new links."""
        self._cut.add((sender, receiver))

    def heal(self) -> None:
        """Let new connections pass again."""
        self._cut.clear()

    def blackhole_open_links(self, sender: int, receiver: int) -> None:
        """Swallow all that one sends another on the links open now."""
        for way in self._ways:
            if (way.sender, way.receiver) == (sender, receiver):
                way.is_lost = True

    async def serve(
        self,
        sender: int,
        receiver: int,
        listen: Address,
        target: Address,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass on what one instance sends another, and the answers."""

        async def handle(stream: ByteStream) -> None:
            try:
                other = await anyio.connect_tcp(*target)
            except OSError:
                await stream.aclose()
                return
            async with stream, other:
                await self._join(sender, receiver, stream, other)

        listener = await anyio.create_tcp_listener(
            local_host=listen.host, local_port=listen.port
        )
        async with listener:
            task_status.started()
            await listener.serve(handle)

    async def _join(
        self, sender: int, receiver: int, near: ByteStream, far: ByteStream
    ) -> None:
        there = _Way(sender, receiver)
        back = _Way(receiver, sender)
        self._ways += [there, back]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass_on, there, near, far, tasks)
            tasks.start_soon(self._pass_on, back, far, near, tasks)
        self._ways.remove(there)
        self._ways.remove(back)

    async def _pass_on(
        self,
        way: _Way,
        source: ByteReceiveStream,
        sink: ByteSendStream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                if (way.sender, way.receiver) in self._cut:
                    way.is_lost = True
                if not way.is_lost:
                    await sink.send(chunk)
        tasks.cancel_scope.cancel()
