"""Load of the endpoints of one service, summed over those whose load is known."""

from __future__ import annotations

import msgspec


class Pressure(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a group of endpoints.

    Attributes:
        running: Number of requests that they are executing.
        waiting: Number of requests in their queues.
        slots: Number of requests that they can execute at once.
        known_share: Share of the endpoints whose load is known, 0 to 1; the
            other figures are of these only.
        age_ms: Mean age of their reports, milliseconds.
    """

    running: float = 0
    waiting: float = 0
    slots: int = 0
    known_share: float = 0
    age_ms: int = 0

    @property
    def is_known(self) -> bool:
        """Whether the load of at least half of the endpoints is known."""
        return self.known_share >= _LEAST_KNOWN_SHARE and self.slots > 0

    @property
    def waiting_per_slot(self) -> float:
        """Queued requests for each slot; 0 if no slot is known."""
        return self.waiting / self.slots if self.slots else 0


# Below this share, a sum says more about which endpoints were heard than about
# the load of the service.
_LEAST_KNOWN_SHARE = 0.5
