"""Dependencies of the request handlers of the callers' API."""

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
    """Components of the instance that request handlers use.

    Attributes:
        settings: The instance's settings.
        registry: The active environment document.
        admission: Enforces the rate and burst of workspaces.
        router: Sends requests to the homes of programs.
        clock: Source of time.
        metrics: Counts refused requests, times admission.
        is_ready: Returns whether the instance can serve requests; decides the
            response of ``/readyz``.
        silence_ms: Returns the time since the last contact with the control
            group, milliseconds.
    """

    settings: Settings
    registry: Registry
    admission: Admission
    router: ProgramRouter
    clock: Clock
    metrics: Metrics
    is_ready: Callable[[], bool]
    silence_ms: Callable[[], int]
