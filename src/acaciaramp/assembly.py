"""Puts the parts together that make an instance the home of programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.endpoints.sending import make_sender
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.programs.home import Home
from acaciaramp.programs.log import MemoryLog
from acaciaramp.programs.machine import Programs
from acaciaramp.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.endpoints.engine import EngineClient
    from acaciaramp.endpoints.http import HttpClient
    from acaciaramp.membership.leaving import LeavingList
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.programs.releases import Releases
    from acaciaramp.settings.model import Settings

_EXPIRY_PERIOD_MS = 1_000


def build_home(
    settings: Settings,
    registry: Registry,
    engine: EngineClient,
    releases: Releases,
    http: HttpClient,
    leaving: LeavingList,
    clock: Clock,
    metrics: Metrics,
    tasks: TaskGroup,
) -> Home:
    """Return an instance's home and start the tasks that serve it.

    Args:
        settings: The instance's settings.
        registry: The document in force.
        engine: Client of engines.
        releases: Frees the engine memory of ended programs.
        http: Connections to endpoints.
        leaving: Endpoints that leave.
        clock: Source of time.
        metrics: Counters and timers.
        tasks: Where steps and the serving tasks run.
    """
    tasks.start_soon(releases.run)
    tasks.start_soon(leaving.run)
    state = Programs()
    home = Home(
        state=state,
        log=MemoryLog(state),
        registry=registry,
        dispatcher=Dispatcher(
            scheduler=_build_scheduler(
                settings, registry, leaving, clock, metrics
            ),
            send=make_sender(engine, PlainClient(http)),
            retries=settings.retries,
            clock=clock,
            metrics=metrics,
        ),
        releases=releases,
        settings=settings,
        clock=clock,
        metrics=metrics,
        tasks=tasks,
    )
    tasks.start_soon(_expire, home, clock)
    return home


def _build_scheduler(
    settings: Settings,
    registry: Registry,
    leaving: LeavingList,
    clock: Clock,
    metrics: Metrics,
) -> Scheduler:
    return Scheduler(
        registry=registry,
        zone=settings.availability_zone,
        instances=len(settings.peers) + 1,
        queue_length=settings.queue_length,
        queue_ms=settings.waits.queue_ms,
        clock=clock,
        metrics=metrics,
        is_leaving=leaving.is_leaving,
    )


async def _expire(home: Home, clock: Clock) -> None:
    while True:
        await clock.sleep_ms(_EXPIRY_PERIOD_MS)
        await home.expire()
