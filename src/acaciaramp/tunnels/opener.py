"""Opens tunnels through the peers that are most likely to reach an endpoint.

Answers the load of an instance that is partitioned from all endpoints: many
requests need a tunnel at the same moment, some peers are partitioned as well, and
those that have not noticed yet do not answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.metrics.names import Counter
from acaciaramp.tunnels.client import PeerAddress, open_tunnel
from acaciaramp.tunnels.messages import EndpointUnreachableError, TunnelError
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import AvailabilityZone
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.tunnels.client import TunnelStream

    Regions = frozenset[str] | None

logger = get_logger('tunnels')

_OPEN_TIMEOUT_MS = 700
# The next peer is tried as well if one has not answered after this time.
_STAGGER_MS = 60
# Peers that are tried for one connection. An endpoint that some of them cannot
# connect to either is down.
_MAX_ATTEMPTS = 8
_MAX_UNREACHABLE = 2
# How long a peer that cannot open tunnels is tried only after all others.
_AVOID_MS = 2_000


class Tunnel(NamedTuple):
    """An open tunnel.

    Attributes:
        peer: The peer that it runs through.
        stream: Its bytes.
    """

    peer: PeerAddress
    stream: TunnelStream


class TunnelOpener:
    """Chooses the peers of tunnels and opens them."""

    def __init__(
        self,
        zone: AvailabilityZone,
        regions: Mapping[AvailabilityZone, str],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Create the opener, which knows no peer yet.

        Args:
            zone: Availability zone of this instance.
            regions: Region of each availability zone.
            clock: Source of time.
            rng: Chooses among equal peers.
            metrics: Counts tunnels that were opened and that were not.
        """
        self._zone = zone
        self._regions = regions
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._peers: dict[PeerAddress, AvailabilityZone] = {}
        self._avoided_until_ms: dict[PeerAddress, int] = {}

    def replace_peers(self, peers: dict[PeerAddress, AvailabilityZone]) -> None:
        """Replace the peers and their availability zones."""
        self._peers = peers
        self._avoided_until_ms = {
            peer: until_ms
            for peer, until_ms in self._avoided_until_ms.items()
            if peer in peers
        }

    @property
    def has_peers(self) -> bool:
        """Whether any peer may be able to open tunnels."""
        return not all(map(self._is_avoided, self._peers))

    def has_peers_in(self, regions: Regions) -> bool:
        """Return whether any peer may open tunnels for a bound request."""
        return any(
            self.allows(peer, regions) and not self._is_avoided(peer)
            for peer in self._peers
        )

    def allows(self, peer: PeerAddress, regions: Regions) -> bool:
        """Return whether a request may pass through a peer.

        Args:
            peer: The peer.
            regions: Regions that the request is bound to; None for all. The
                region of this instance is always allowed, as the request is
                here already.
        """
        if regions is None:
            return True
        zone = self._peers.get(peer)
        if zone is None:
            return False
        region = self._regions.get(zone)
        return region in regions or region == self._regions.get(self._zone)

    async def open(self, endpoint: Endpoint, regions: Regions = None) -> Tunnel:
        """Open a tunnel to an endpoint through the first peer that answers.

        Args:
            endpoint: The endpoint.
            regions: Regions that the request is bound to; None for all.

        Raises:
            EndpointError: No peer has opened one; nothing was sent.
        """
        opened: list[Tunnel] = []
        unreachable: list[PeerAddress] = []
        async with anyio.create_task_group() as tasks:

            async def attempt(peer: PeerAddress, ended: anyio.Event) -> None:
                tried = await self._try_peer(peer, endpoint)
                ended.set()
                if isinstance(tried, Tunnel):
                    opened.append(tried)
                    tasks.cancel_scope.cancel()
                elif isinstance(tried, EndpointUnreachableError):
                    unreachable.append(peer)
                if len(unreachable) == _MAX_UNREACHABLE:
                    tasks.cancel_scope.cancel()

            for peer in self.ranked(endpoint, regions)[:_MAX_ATTEMPTS]:
                ended = anyio.Event()
                tasks.start_soon(attempt, peer, ended)
                await self._wait_briefly(ended)
        for surplus in opened[1:]:
            await surplus.stream.aclose()
        if opened:
            return opened[0]
        raise EndpointError(
            Failure.CONNECT, Verdict.NOT_RUN, 'no peer reaches the endpoint'
        )

    def ranked(
        self, endpoint: Endpoint, regions: Regions = None
    ) -> list[PeerAddress]:
        """Return the peers for an endpoint, preferred ones first.

        Bytes cross as few zones and regions as they would without the tunnel if
        the peer is in the zone of the endpoint or of this instance.
        """
        near = {self._zone, endpoint.availability_zone}
        near_regions = {self._regions.get(zone) for zone in near}
        allowed = [peer for peer in self._peers if self.allows(peer, regions)]

        def rank(peer: PeerAddress) -> tuple[bool, int, float]:
            zone = self._peers[peer]
            distance = int(zone not in near)
            distance += int(self._regions.get(zone) not in near_regions)
            return self._is_avoided(peer), distance, self._rng.random()

        return sorted(allowed, key=rank)

    async def _try_peer(
        self, peer: PeerAddress, endpoint: Endpoint
    ) -> Tunnel | TunnelError:
        """Return a tunnel, or why the peer opened none."""
        try:
            stream = await open_tunnel(
                peer, endpoint.id, self._clock, _OPEN_TIMEOUT_MS
            )
        except TunnelError as exc:
            self._record_failure(peer, endpoint, exc)
            return exc
        self._avoided_until_ms.pop(peer, None)
        self._metrics.count(Counter.TUNNEL_OPENED)
        logger.info(
            'Opened a tunnel to an endpoint.',
            peer=peer.host,
            endpoint=endpoint.id,
        )
        return Tunnel(peer, stream)

    def _record_failure(
        self, peer: PeerAddress, endpoint: Endpoint, exc: TunnelError
    ) -> None:
        if not isinstance(exc, EndpointUnreachableError):
            self._avoided_until_ms[peer] = self._clock.now_ms() + _AVOID_MS
        self._metrics.count(Counter.TUNNEL_FAILED)
        logger.info(
            'A peer opened no tunnel; trying another one.',
            peer=peer.host,
            endpoint=endpoint.id,
            reason=exc,
        )

    async def _wait_briefly(self, ended: anyio.Event) -> None:
        try:
            with self._clock.timeout(_STAGGER_MS):
                await ended.wait()
        except TimeoutError:
            return

    def _is_avoided(self, peer: PeerAddress) -> bool:
        return self._clock.now_ms() < self._avoided_until_ms.get(peer, 0)
