"""Paths of an entry instance to the endpoints: direct ones and through peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.endpoints.dialing import dial
from acaciaramp.endpoints.failures import ConnectionRefused, EndpointError
from acaciaramp.forwarding.dialer import Dialer
from acaciaramp.forwarding.reach import DIAL_TIMEOUT_MS, Reach
from acaciaramp.settings.node import split_address
from acaciaramp.tunnels.client import PeerAddress
from acaciaramp.tunnels.opener import TunnelOpener
from acaciaramp.tunnels.server import TunnelServer

if TYPE_CHECKING:
    import random

    from acaciaramp.coordination.messages import Endpoint, View
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.roles.common import RoleContext


class EndpointPaths:
    """Composition of the reach, the dialer and both sides of tunnels.

    Attributes:
        reach: Whether this instance reaches endpoints itself.
        dialer: Opens connections to endpoints.
    """

    def __init__(
        self,
        context: RoleContext,
        selector: EndpointSelector,
        rng: random.Random,
    ) -> None:
        """Create the components; ``start`` starts them.

        Args:
            context: Dependencies that every role shares.
            selector: Knows the endpoints.
            rng: Chooses among equal endpoints and peers.
        """
        cfg = context.cfg
        self.reach = Reach(
            selector.staying, context.clock, rng, context.metrics
        )
        self._tunnels = TunnelOpener(
            cfg.availability_zone,
            cfg.regions,
            context.clock,
            rng,
            context.metrics,
        )
        self.dialer = Dialer(
            self.reach,
            None if cfg.tunnel_port is None else self._tunnels,
            context.clock,
        )
        self._context = context
        self._server = TunnelServer(
            selector.find,
            lambda: self.reach.is_lost,
            self.reach.suspect,
            context.clock,
            context.metrics,
        )

    def start(self) -> None:
        """Check the reach, and pass bytes on for peers, in the background."""
        tasks, cfg = self._context.tasks, self._context.cfg
        tasks.start_soon(self.reach.run)
        if cfg.tunnel_port is not None:
            tasks.start_soon(self._server.serve, cfg.host, cfg.tunnel_port)

    async def refuses_connections(self, endpoint: Endpoint) -> bool:
        """Open a connection to an endpoint; return whether it was refused.

        A refusal says nothing while this instance reaches no endpoint.
        """
        try:
            stream = await dial(endpoint.host, endpoint.port, DIAL_TIMEOUT_MS)
        except EndpointError as exc:
            is_refused = isinstance(exc, ConnectionRefused)
            return is_refused and not self.reach.is_lost
        await stream.aclose()
        return False

    @property
    def is_serving_peers(self) -> bool:
        """Whether tunnels of peers run through this instance."""
        return bool(self._server.open_tunnels)

    def stop(self) -> None:
        """Open no more tunnels for peers."""
        self._server.is_stopping = True

    def replace_peers(self, view: View) -> None:
        """Take the entry instances of a view as peers, but for this one."""
        port = self._context.cfg.tunnel_port or 0
        zones = zip(view.entries, view.entry_zones, strict=False)
        self._tunnels.replace_peers(
            {
                PeerAddress(split_address(instance)[0], port): zone
                for instance, zone in zones
                if instance != self._context.node.instance
            }
        )
