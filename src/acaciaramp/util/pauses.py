"""Detects pauses of the whole process by timers that fire late."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

logger = get_logger('process')

_CHECK_INTERVAL_MS = 500
# Timers fire late by less than this even on a slow instance, and peers consider
# an instance lost only after a longer silence.
_PAUSE_THRESHOLD_MS = 400


async def log_pauses(clock: Clock) -> None:
    """Log each pause of the process until cancelled.

    Without it, the only trace of a frozen or suspended instance would be the
    connections that its peers have closed.

    Args:
        clock: Clock whose timers are observed.
    """
    while True:
        due_ms = clock.now_ms() + _CHECK_INTERVAL_MS
        await clock.sleep_ms(_CHECK_INTERVAL_MS)
        late_ms = clock.now_ms() - due_ms
        if late_ms >= _PAUSE_THRESHOLD_MS:
            logger.warning(
                'The process was paused and now continues.', paused_ms=late_ms
            )
