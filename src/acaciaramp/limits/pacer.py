"""Evenly spaced slots for requests whose number per second is limited.

Answers loads of many callers against a limit that is low compared with their
number: a request knows at once when its turn comes, and the slots go to requests
in the order in which they ask.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

# Unused slots of this time may be used at once.
_BURST_MS = 500


class Pacer:
    """Assigns slots at a rate.

    A span of ``T`` seconds holds at most ``rate * (T + burst) + 1`` slots, where
    ``burst`` is half a second.
    """

    def __init__(self, per_s: float, clock: Clock) -> None:
        """Create the pacer; the first slot is one interval away.

        It has no unused slots, so that the bound also holds for a pacer that
        continues the work of another one.

        Args:
            per_s: Slots per second, more than 0.
            clock: Source of time.
        """
        self._clock = clock
        self._interval_ms = MS_PER_SECOND / per_s
        self._next_ms = clock.now_ms() + self._interval_ms

    def set_rate(self, per_s: float) -> None:
        """Change the number of slots per second.

        Reserved slots keep their times; later ones are placed as if those had
        been reserved at the new rate.

        Args:
            per_s: Slots per second, more than 0.
        """
        interval_ms = MS_PER_SECOND / per_s
        now_ms = self._clock.now_ms()
        reserved_ms = self._next_ms - now_ms
        if reserved_ms > 0:
            scaled_ms = reserved_ms * interval_ms / self._interval_ms
            self._next_ms = now_ms + scaled_ms
        self._interval_ms = interval_ms

    def wait_ms(self) -> int:
        """Return the time until the next free slot, milliseconds."""
        return max(0, math.ceil(self._next_ms - self._clock.now_ms()))

    def reserve(self) -> None:
        """Reserve the next free slot."""
        oldest_ms = self._clock.now_ms() - _BURST_MS
        self._next_ms = max(self._next_ms, oldest_ms) + self._interval_ms
