"""Opens connections to endpoints, directly or through a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.endpoints.dialing import dial
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.forwarding.reach import DIAL_TIMEOUT_MS

if TYPE_CHECKING:
    import httpcore

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.reach import Reach
    from acaciaramp.tunnels.client import PeerAddress
    from acaciaramp.tunnels.opener import Regions, TunnelOpener

CONNECT_TIMEOUT_MS = 700


class DialedStream(NamedTuple):
    """An open connection to an endpoint.

    Attributes:
        stream: Its bytes.
        peer: The peer that it runs through; None for a direct connection.
    """

    stream: httpcore.AsyncNetworkStream
    peer: PeerAddress | None = None


class Dialer:
    """Opens connections to the endpoints of one instance."""

    def __init__(
        self, reach: Reach, tunnels: TunnelOpener | None, clock: Clock
    ) -> None:
        """Create the dialer.

        Args:
            reach: Whether this instance can reach endpoints itself.
            tunnels: Opens tunnels through peers; None for direct connections
                only.
            clock: Source of time.
        """
        self._reach = reach
        self._tunnels = tunnels
        self._clock = clock

    @property
    def uses_tunnels(self) -> bool:
        """Whether new connections run through peers."""
        return self._tunnels is not None and self._reach.is_lost

    @property
    def is_cut_off(self) -> bool:
        """Whether neither this instance nor a peer can reach endpoints."""
        if self._tunnels is None or not self._reach.is_lost:
            return False
        return not self._tunnels.has_peers

    def is_cut_off_in(self, regions: Regions) -> bool:
        """Return whether nothing reaches endpoints for a bound request."""
        if self._tunnels is None or not self._reach.is_lost:
            return False
        return not self._tunnels.has_peers_in(regions)

    def allows(self, peer: PeerAddress, regions: Regions) -> bool:
        """Return whether a request may pass through a peer."""
        return self._tunnels is not None and self._tunnels.allows(peer, regions)

    async def open(
        self, endpoint: Endpoint, regions: Regions = None
    ) -> DialedStream:
        """Open a connection to an endpoint.

        A direct attempt is replaced by a tunnel once this instance has found that
        it cannot reach endpoints.

        Args:
            endpoint: The endpoint.
            regions: Regions that the request is bound to; None for all. A tunnel
                runs only through peers that may see the request.

        Raises:
            EndpointError: There is no connection; nothing was sent.
        """
        if not self.uses_tunnels:
            dialed = await self._open_directly(endpoint)
            if dialed is not None:
                return dialed
        assert self._tunnels is not None
        tunnel = await self._tunnels.open(endpoint, regions)
        return DialedStream(tunnel.stream, tunnel.peer)

    async def _open_directly(self, endpoint: Endpoint) -> DialedStream | None:
        """Open a direct connection; None if a tunnel is to be used instead.

        Raises:
            EndpointError: There is no connection.
        """
        opened: list[DialedStream | EndpointError] = []
        async with anyio.create_task_group() as tasks:

            async def connect() -> None:
                try:
                    stream = await dial(
                        endpoint.host, endpoint.port, CONNECT_TIMEOUT_MS
                    )
                except EndpointError as exc:
                    opened.append(exc)
                else:
                    opened.append(DialedStream(stream))
                tasks.cancel_scope.cancel()

            async def watch() -> None:
                await self._clock.sleep_ms(DIAL_TIMEOUT_MS)
                self._reach.suspect(endpoint.id)
                await self._reach.lost.wait()
                if self._tunnels is not None:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(connect)
            tasks.start_soon(watch)
        if not opened:
            return None
        if isinstance(opened[0], EndpointError):
            self._reach.suspect(endpoint.id)
            raise opened[0]
        return opened[0]
