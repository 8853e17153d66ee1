"""What every handler of the callers' interface needs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.cells.router import ProgramRouter
    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.limits.admission import Admission
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.settings.model import Settings


@dataclasses.dataclass(frozen=True)
class EntryContext:
    """The parts of the instance that handlers use.

    Attributes:
        settings: The instance's settings.
        registry: The document in force.
        admission: Rate and burst of workspaces.
        router: Carries requests to the homes of programs.
        clock: Source of time.
        metrics: Counts refusals.
        is_ready: Whether the balancer may send requests.
        silence_ms: How long the control group has not been heard.
    """

    settings: Settings
    registry: Registry
    admission: Admission
    router: ProgramRouter
    clock: Clock
    metrics: Metrics
    is_ready: Callable[[], bool]
    silence_ms: Callable[[], int]
