"""TCP proxies between instances that simulate network partitions."""

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


@dataclasses.dataclass(eq=False)
class _Direction:
    """One direction of one proxied connection, which equals no other.

    Attributes:
        sender: Number of the sending instance.
        receiver: Number of the receiving instance.
        is_blackholed: Whether all further bytes are dropped, permanently.
    """

    sender: int
    receiver: int
    is_blackholed: bool = False


class Network:
    """Relays bytes between instances, or drops them without closing.

    A connection that has dropped bytes stays blackholed after ``heal``, like
    a connection whose state a middlebox has lost.
    """

    def __init__(self) -> None:
        """Create a network that blocks no traffic."""
        self._blocked: set[tuple[int, int]] = set()
        self._directions: list[_Direction] = []

    @property
    def connections(self) -> int:
        """Number of proxied connections that are open."""
        return len(self._directions) // 2

    def block(self, sender: int, receiver: int) -> None:
        """Drop all bytes from sender to receiver, on open and new links."""
        self._blocked.add((sender, receiver))

    def heal(self) -> None:
        """Remove all blocks; blackholed connections stay blackholed."""
        self._blocked.clear()

    def blackhole_open_links(self, sender: int, receiver: int) -> None:
        """Drop all bytes from sender to receiver on the links open now."""
        for direction in self._directions:
            if (direction.sender, direction.receiver) == (sender, receiver):
                direction.is_blackholed = True

    async def serve(
        self,
        sender: int,
        receiver: int,
        listen: Address,
        target: Address,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Proxy the connections that one instance opens to another.

        Args:
            sender: Number of the instance that connects.
            receiver: Number of the instance that is connected to.
            listen: Address at which the proxy accepts connections.
            target: Address of the receiver.
            task_status: Started once the proxy listens.
        """

        async def handle(stream: ByteStream) -> None:
            try:
                upstream = await anyio.connect_tcp(*target)
            except OSError:
                await stream.aclose()
                return
            async with stream, upstream:
                await self._relay_connection(sender, receiver, stream, upstream)

        listener = await anyio.create_tcp_listener(
            local_host=listen.host, local_port=listen.port
        )
        async with listener:
            task_status.started()
            await listener.serve(handle)

    async def _relay_connection(
        self, sender: int, receiver: int, client: ByteStream, server: ByteStream
    ) -> None:
        forward = _Direction(sender, receiver)
        backward = _Direction(receiver, sender)
        self._directions += [forward, backward]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._relay, forward, client, server, tasks)
            tasks.start_soon(self._relay, backward, server, client, tasks)
        self._directions.remove(forward)
        self._directions.remove(backward)

    async def _relay(
        self,
        direction: _Direction,
        source: ByteReceiveStream,
        sink: ByteSendStream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        with contextlib.suppress(*CONNECTION_ERRORS):
            while True:
                chunk = await source.receive(_CHUNK_BYTES)
                if (direction.sender, direction.receiver) in self._blocked:
                    direction.is_blackholed = True
                if not direction.is_blackholed:
                    await sink.send(chunk)
        tasks.cancel_scope.cancel()
