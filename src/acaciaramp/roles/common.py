"""What every role has: links, a follower and the port for other instances."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from acaciaramp.coordination.follower import Follower
from acaciaramp.coordination.messages import Node
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.metrics.server import serve_metrics
from acaciaramp.peering.link import LinkTiming
from acaciaramp.peering.links import Links
from acaciaramp.peering.server import Address, serve_peers
from acaciaramp.replication.timing import Timing
from acaciaramp.settings.node import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import LedgerReplicaStatus, View
    from acaciaramp.peering.server import Handlers
    from acaciaramp.settings.node import NodeSettings, SettingsFile

_RUN_BYTES = 8
# A link that brings nothing for so long is made anew, well before the time in
# which an instance has to be in touch again. An opening packet that was lost is
# sent again only after a second, so that a new connection is tried before.
LINK_TIMING = LinkTiming(
    heartbeat_ms=400,
    silence_ms=1_200,
    connect_ms=500,
    reconnect_ms=50,
    longest_reconnect_ms=400,
)
# A majority is enough: it outnumbers the disks that may be lost at once.
LOG_TIMING = Timing(
    heartbeat_ms=100,
    election_ms=300,
    spread_ms=150,
    request_ms=500,
    full_wait_ms=0,
    compact_entries=3_000,
)


class RoleContext:
    """Parts that every role has.

    Attributes:
        cfg: The settings.
        clock: Source of time.
        tasks: Where everything runs.
        metrics: Counters.
        links: Links to other instances.
        node: How this instance describes itself.
    """

    def __init__(
        self, file: SettingsFile, clock: Clock, tasks: TaskGroup
    ) -> None:
        """Create the parts."""
        cfg = file.current()
        self.cfg = cfg
        self._file = file
        self.clock = clock
        self.tasks = tasks
        self.metrics = Metrics()
        self.links = Links(clock, self.metrics, tasks, LINK_TIMING)
        self.node = Node(
            instance=inner_address(cfg.host, cfg),
            name=cfg.instance,
            role=cfg.role,
            availability_zone=cfg.availability_zone,
            region=cfg.region,
            run=secrets.token_hex(_RUN_BYTES),
        )

    def seeds(self) -> list[InstanceId]:
        """Return the control instances of the settings, as others see them."""
        return seeds_of(self._file.current())

    def make_follower(
        self,
        on_table: Callable[[bytes], None],
        on_view: Callable[[View], None],
        ledger_status: Callable[[], LedgerReplicaStatus | None],
    ) -> Follower:
        """Create the follower of the control group."""
        return Follower(
            self.node,
            self.seeds,
            self.links,
            self.clock,
            on_table,
            on_view,
            ledger_status,
        )

    async def serve_metrics(self) -> None:
        """Serve the metrics of this process until cancelled."""
        if self.cfg.metrics_port is not None:
            await serve_metrics(
                self.cfg.host, self.cfg.metrics_port, self.metrics
            )

    async def serve_peers(self, handlers: Handlers) -> None:
        """Answer other instances until cancelled."""
        address = Address(self.cfg.host, self.cfg.inner_port)
        await serve_peers(address, handlers, self.clock, self.metrics)


def inner_address(host: str, cfg: NodeSettings) -> InstanceId:
    """Return the id of the instance at a host: its inner address."""
    return InstanceId(f'{host}:{cfg.inner_port}')


def seeds_of(cfg: NodeSettings) -> list[InstanceId]:
    """Return the control instances that settings name."""
    return [inner_address(split_address(seed)[0], cfg) for seed in cfg.seeds]


def ignore(*_: object) -> None:
    """Take what a role has no use for."""
