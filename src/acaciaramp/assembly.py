"""Builds the components of an instance from its settings."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from acaciaramp.cells.host import CellHost
from acaciaramp.cells.placement import Location
from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.endpoints.senders import make_sender
from acaciaramp.ids import AvailabilityZone, InstanceId
from acaciaramp.metrics.closures import make_caller_budget
from acaciaramp.peering.tls import TlsContexts, TlsFiles
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.programs.home import Home
from acaciaramp.replication.timing import Timing
from acaciaramp.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.endpoints.engine import EngineClient
    from acaciaramp.endpoints.http import HttpClient
    from acaciaramp.membership.instance_list import InstanceListPoller
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.link import Link
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.session_releaser import SessionReleaser
    from acaciaramp.programs.state_machine import Programs
    from acaciaramp.settings.model import Settings
    from acaciaramp.util.caller_budget import CallerBudget


@dataclasses.dataclass(frozen=True)
class HomeFactory:
    """Builds the home of each cell that an instance leads.

    Attributes:
        settings: Settings of the instance.
        registry: Holds the environment document in force.
        dispatcher: Sends steps to endpoints.
        session_releaser: Frees the engine memory of ended programs.
        clock: Source of time.
        metrics: Counters and timers.
    """

    settings: Settings
    registry: Registry
    dispatcher: Dispatcher
    session_releaser: SessionReleaser
    clock: Clock
    metrics: Metrics

    def make_home(
        self, state: Programs, log: CommandLog, tasks: TaskGroup
    ) -> Home:
        """Return the home that runs the steps of a cell's programs.

        Args:
            state: Replicated state of the programs.
            log: Replicated command log that makes each change durable.
            tasks: Task group in which the steps run.
        """
        return Home(
            state=state,
            log=log,
            registry=self.registry,
            dispatcher=self.dispatcher,
            session_releaser=self.session_releaser,
            settings=self.settings,
            clock=self.clock,
            metrics=self.metrics,
            tasks=tasks,
        )


def build_cell_host(
    home_factory: HomeFactory,
    links: dict[InstanceId, Link],
    locations: list[Location],
    tasks: TaskGroup,
) -> CellHost:
    """Return the host that runs the cells of an instance.

    Args:
        home_factory: Builds the home of each cell.
        links: Links to the other instances, by instance.
        locations: Location of every instance, this one included.
        tasks: Task group in which the cells run.
    """
    settings = home_factory.settings
    return CellHost(
        instance=InstanceId(settings.instance),
        links=links,
        locations=locations,
        make_home=home_factory.make_home,
        data_folder=settings.data_folder,
        timing=replication_timing(settings),
        clock=home_factory.clock,
        tasks=tasks,
    )


def replication_timing(settings: Settings) -> Timing:
    """Return the timing of the replicated logs, from the settings.

    The random part of an election time-out (``spread_ms``) is as long as its
    fixed part (``election_ms``).
    """
    cfg = settings.replication
    return Timing(
        heartbeat_ms=cfg.heartbeat_ms,
        election_ms=cfg.election_ms,
        spread_ms=cfg.election_ms,
        full_wait_ms=cfg.full_wait_ms,
        compact_entries=cfg.compact_entries,
    )


def load_tls_contexts(settings: Settings) -> TlsContexts | None:
    """Return the TLS contexts for peer links; None if TLS is not set up.

    Raises:
        TlsError: A certificate or key file cannot be loaded.
    """
    tls = settings.links.tls
    if tls is None:
        return None
    return TlsContexts(TlsFiles(tls.certificate, tls.key, tls.authority))


def instance_locations(settings: Settings) -> list[Location]:
    """Return the location of every instance, this one first."""
    own = Location(
        InstanceId(settings.instance),
        AvailabilityZone(settings.availability_zone),
        settings.region,
    )
    others = [
        Location(
            InstanceId(peer.instance),
            AvailabilityZone(peer.availability_zone),
            peer.region,
        )
        for peer in settings.peers
    ]
    return [own, *others]


def build_dispatcher(
    settings: Settings,
    engine: EngineClient,
    http: HttpClient,
    instance_list_poller: InstanceListPoller,
    clock: Clock,
    metrics: Metrics,
) -> Dispatcher:
    """Return the dispatcher for the steps of all cells led here.

    Args:
        settings: Settings of the instance.
        engine: Client for model engines.
        http: HTTP client for plain services.
        instance_list_poller: Reports which endpoints are about to be shut
            down.
        clock: Source of time.
        metrics: Counters and timers.
    """
    return Dispatcher(
        scheduler=Scheduler(
            zone=settings.availability_zone,
            instances=len(settings.peers) + 1,
            queue_length=settings.queue_length,
            queue_ms=settings.waits.queue_ms,
            clock=clock,
            metrics=metrics,
            is_leaving=instance_list_poller.is_leaving,
        ),
        send=make_sender(engine, PlainClient(http)),
        retries=settings.retries,
        clock=clock,
        metrics=metrics,
    )


def build_caller_budget(
    settings: Settings, clock: Clock, metrics: Metrics
) -> CallerBudget:
    """Return the budget for what the process holds for its callers.

    Args:
        settings: Settings of the instance.
        clock: Clock for the log of closures.
        metrics: Counts closures.
    """
    return make_caller_budget(
        settings.memory_mb, settings.max_descriptors, clock, metrics
    )
