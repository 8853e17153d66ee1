"""Dependencies that every role shares: links, follower, port for peers."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.follower import Follower
from acaciaramp.coordination.messages import Node
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.metrics.closures import make_caller_budget
from acaciaramp.metrics.server import serve_metrics
from acaciaramp.peering.link import LinkTiming
from acaciaramp.peering.links import Links
from acaciaramp.peering.server import Address, PeerLimits, serve_peers
from acaciaramp.replication.timing import Timing
from acaciaramp.settings.node import split_address
from acaciaramp.util.caller_budget import (
    BYTES_PER_MB,
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import LedgerReplicaStatus, View
    from acaciaramp.peering.server import Handlers
    from acaciaramp.settings.node import NodeSettings, SettingsFile

_RUN_ID_BYTES = 8
# The silence limit reopens a broken link well before the time within which an
# instance must be reachable again. The connect timeout is shorter than the 1 s
# after which TCP retransmits a lost SYN, so that a new connection is tried
# first.
LINK_TIMING = LinkTiming(
    heartbeat_ms=400,
    silence_ms=1_200,
    connect_ms=500,
    reconnect_ms=50,
    longest_reconnect_ms=400,
)
# Commits do not wait for all replicas (full_wait_ms): a majority outnumbers the
# disks that may be lost at once.
LOG_TIMING = Timing(
    heartbeat_ms=100,
    election_ms=300,
    spread_ms=150,
    request_ms=500,
    full_wait_ms=0,
    compact_entries=3_000,
)
# Part of the memory for the entries of a log since its last snapshot.
_LOG_FRACTION = 0.03


class RoleContext:
    """Dependencies that every role shares.

    Attributes:
        cfg: The settings at the start of the process.
        clock: Source of time.
        tasks: Task group of all background tasks.
        metrics: Metrics of the process.
        callers: Budget for what is held for callers and operators.
        links: Links to other instances.
        node: Description of this instance.
    """

    def __init__(
        self, file: SettingsFile, clock: Clock, tasks: TaskGroup
    ) -> None:
        """Create the dependencies.

        Args:
            file: Settings file of this instance; its seeds are read again
                whenever they are needed.
            clock: Source of time.
            tasks: Task group for background tasks.
        """
        cfg = file.current()
        self.cfg = cfg
        self._file = file
        self.clock = clock
        self.tasks = tasks
        self.metrics = Metrics()
        self.callers = make_caller_budget(
            cfg.memory_mb, cfg.max_descriptors, clock, self.metrics
        )
        self.links = Links(clock, self.metrics, tasks, LINK_TIMING)
        self.node = Node(
            instance=inner_address(cfg.host, cfg),
            name=cfg.instance,
            role=cfg.role,
            availability_zone=cfg.availability_zone,
            region=cfg.region,
            run=secrets.token_hex(_RUN_ID_BYTES),
        )

    def log_timing(
        self, may_compact: Callable[[], bool] | None = None
    ) -> Timing:
        """Return the timing of a replicated log here.

        Args:
            may_compact: Returns whether there is memory for a snapshot; None if
                there always is.
        """
        memory_mb = self.cfg.memory_mb or DEFAULT_MEMORY_MB
        return msgspec.structs.replace(
            LOG_TIMING,
            compact_bytes=int(memory_mb * BYTES_PER_MB * _LOG_FRACTION),
            may_compact=may_compact,
        )

    def seeds(self) -> list[InstanceId]:
        """Return the control instances that the settings file names now."""
        return seed_instances(self._file.current())

    def make_follower(
        self,
        on_table: Callable[[bytes], None] | None,
        on_view: Callable[[View], None],
        ledger_status: Callable[[], LedgerReplicaStatus | None],
        home_status: Callable[[], LedgerReplicaStatus | None] | None = None,
    ) -> Follower:
        """Create the follower of the control group.

        Args:
            on_table: Called with each newer routing table as operators sent
                it; None if the role needs no table.
            on_view: Called with each newer view.
            ledger_status: Returns the status of the ledger replica here; None
                if there is none.
            home_status: Returns the status of the replica of the region's
                ledger here, if any.
        """
        return Follower(
            self.node,
            self.seeds,
            self.links,
            self.clock,
            on_table,
            on_view,
            ledger_status,
            home_status,
        )

    async def serve_metrics(self) -> None:
        """Serve the metrics of this process until cancelled."""
        if self.cfg.metrics_port is not None:
            await serve_metrics(
                self.cfg.host, self.cfg.metrics_port, self.metrics
            )

    async def serve_peers(self, handlers: Handlers) -> None:
        """Serve requests of other instances until cancelled.

        Args:
            handlers: Handler of each channel.
        """
        address = Address(self.cfg.host, self.cfg.inner_port)
        limits = PeerLimits.of_machine(
            self.callers.limits.most_bytes,
            self.cfg.max_descriptors or DEFAULT_MAX_DESCRIPTORS,
        )
        await serve_peers(
            address, handlers, self.clock, self.metrics, limits=limits
        )


def inner_address(host: str, cfg: NodeSettings) -> InstanceId:
    """Return the id of the instance on a host: its address for peers.

    All instances use the same ``inner_port``.
    """
    return InstanceId(f'{host}:{cfg.inner_port}')


def seed_instances(cfg: NodeSettings) -> list[InstanceId]:
    """Return the ids of the control instances that the settings name."""
    return [inner_address(split_address(seed)[0], cfg) for seed in cfg.seeds]


def noop(*_: object) -> None:
    """Do nothing; a callback for a role that has no use for it."""
