"""How much resident memory a process may still take."""

from __future__ import annotations

import math
import os
import pathlib
import time
from typing import TYPE_CHECKING

from acaciaramp.util.heap import release_free_memory

if TYPE_CHECKING:
    from collections.abc import Callable

    RecordChange = Callable[[bool, int], None]

# The rest of the memory is for what is allocated between two readings.
_USABLE_FRACTION = 0.7
# Free memory is returned once for many readings above the limit.
_RELEASE_PERIOD_S = 1
# Memory counts as scarce until so much of it is free again.
_RECOVERY_FRACTION = 0.05
_STATM = pathlib.Path('/proc/self/statm')


class ResidentMemory:
    """Compares the resident memory of the process with a limit.

    Attributes:
        is_scarce: Whether the limit was exceeded, and too little of the memory
            has been freed since.
    """

    def __init__(
        self,
        memory_bytes: int,
        record_change: RecordChange,
        read_bytes: Callable[[], int | None] | None = None,
        release: Callable[[], None] = release_free_memory,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create it; nothing is read yet.

        Args:
            memory_bytes: Memory of the process.
            record_change: Called with ``is_scarce`` and the resident memory,
                bytes, when the former changes.
            read_bytes: Returns the resident memory, bytes, or None if it is not
                known; None for that of this process.
            release: Returns free memory of the heap to the system.
            now_s: Monotonic clock, seconds.
        """
        self.is_scarce = False
        self._most_bytes = memory_bytes * _USABLE_FRACTION
        self._recovery_bytes = memory_bytes * _RECOVERY_FRACTION
        self._record_change = record_change
        self._read_bytes = read_bytes or read_resident_bytes
        self._release = release
        self._now_s = now_s
        self._released_s = -math.inf

    def room_bytes(self) -> float:
        """Return by how much the process may grow; negative above the limit."""
        resident_bytes = self._read_bytes()
        if resident_bytes is None:
            return math.inf
        is_due = self._now_s() >= self._released_s + _RELEASE_PERIOD_S
        if resident_bytes > self._most_bytes and is_due:
            self._released_s = self._now_s()
            self._release()
            resident_bytes = self._read_bytes() or resident_bytes
        room_bytes = self._most_bytes - resident_bytes
        self._update(room_bytes, resident_bytes)
        return room_bytes

    def _update(self, room_bytes: float, resident_bytes: int) -> None:
        least_bytes = self._recovery_bytes if self.is_scarce else 0
        is_scarce = room_bytes < least_bytes
        if is_scarce is not self.is_scarce:
            self.is_scarce = is_scarce
            self._record_change(is_scarce, resident_bytes)


def read_resident_bytes() -> int | None:
    """Return the resident memory of the process; None if it is not known."""
    try:
        fields = _STATM.read_bytes().split()
        return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')
    except (OSError, ValueError, IndexError):
        return None
