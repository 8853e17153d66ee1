"""Notices when the whole process has stood still."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

logger = get_logger('process')

_PERIOD_MS = 500
# Timers fire late by less, also on a slow instance; peers take an instance
# for lost only after more.
_NOTABLE_MS = 400


async def log_pauses(clock: Clock) -> None:
    """Log each pause of the process until cancelled.

    An instance that was frozen or suspended otherwise leaves no trace of it
    but the connections that others have given up.
    """
    while True:
        due_ms = clock.now_ms() + _PERIOD_MS
        await clock.sleep_ms(_PERIOD_MS)
        late_ms = clock.now_ms() - due_ms
        if late_ms >= _NOTABLE_MS:
            logger.warning('The process stood still.', paused_ms=late_ms)
