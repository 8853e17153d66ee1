"""Puts the parts together that send steps to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.endpoints.sending import make_sender
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.endpoints.engine import EngineClient
    from acaciaramp.endpoints.http import HttpClient
    from acaciaramp.membership.leaving import LeavingList
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.settings.model import Settings


def build_dispatcher(
    settings: Settings,
    registry: Registry,
    engine: EngineClient,
    http: HttpClient,
    leaving: LeavingList,
    clock: Clock,
    metrics: Metrics,
) -> Dispatcher:
    """Return what sends the steps of all cells that the instance leads.

    Args:
        settings: The instance's settings.
        registry: The document in force.
        engine: Client of engines.
        http: Connections to endpoints.
        leaving: Endpoints that leave.
        clock: Source of time.
        metrics: Counters and timers.
    """
    return Dispatcher(
        scheduler=_build_scheduler(settings, registry, leaving, clock, metrics),
        send=make_sender(engine, PlainClient(http)),
        retries=settings.retries,
        clock=clock,
        metrics=metrics,
    )


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
