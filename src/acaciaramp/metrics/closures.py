"""Counts and logs scarce memory, and callers' connections closed for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.metrics.names import Counter
from acaciaramp.util.caller_budget import (
    BYTES_PER_MB,
    DEFAULT_MEMORY_MB,
    BudgetLimits,
    CallerBudget,
)
from acaciaramp.util.logs import get_logger
from acaciaramp.util.resident_memory import ResidentMemory

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.util.caller_budget import CloseReason

logger = get_logger('callers')

_LINES_PER_PERIOD = 20
_PERIOD_MS = 1_000


class ClosureLog:
    """Writes one line for each closure, up to a number in each second."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create the log.

        Args:
            clock: Clock for the periods.
            metrics: Counts all closures.
        """
        self._clock = clock
        self._metrics = metrics
        self._period = 0
        self._lines = 0
        self._omitted = 0

    def record(self, reason: CloseReason, held_bytes: int) -> None:
        """Count a closure, and log it unless there were too many."""
        self._metrics.count(Counter.CALLER_CLOSED, reason)
        period = self._clock.now_ms() // _PERIOD_MS
        if period != self._period:
            self._period = period
            self._lines = 0
        self._lines += 1
        if self._lines > _LINES_PER_PERIOD:
            self._omitted += 1
            return
        logger.warning(
            'Closed a connection of a caller or refused a request on it, to '
            'keep the memory and descriptors of the process bounded.',
            reason=reason.value,
            held_bytes=held_bytes,
            omitted_lines=self._omitted,
        )
        self._omitted = 0


def make_caller_budget(
    memory_mb: int | None,
    max_descriptors: int | None,
    clock: Clock,
    metrics: Metrics,
) -> CallerBudget:
    """Return the budget of a process, which counts and logs closures.

    Args:
        memory_mb: Memory of the process; None for the default.
        max_descriptors: Descriptors of the process; None for the default.
        clock: Clock for the log.
        metrics: Counts closures, and how often memory became scarce.
    """

    def record_change(is_scarce: bool, resident_bytes: int) -> None:
        _record_scarcity(metrics, resident_bytes, is_scarce=is_scarce)

    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    return CallerBudget(
        BudgetLimits.of_machine(memory_mb, max_descriptors),
        ClosureLog(clock, metrics).record,
        memory=ResidentMemory(memory_bytes, record_change),
    )


def _record_scarcity(
    metrics: Metrics, resident_bytes: int, *, is_scarce: bool
) -> None:
    if is_scarce:
        metrics.count(Counter.MEMORY_SCARCE)
        logger.warning(
            'The resident memory is near its limit; less is held for callers.',
            resident_bytes=resident_bytes,
        )
        return
    logger.info(
        'The resident memory is below its limit again.',
        resident_bytes=resident_bytes,
    )
