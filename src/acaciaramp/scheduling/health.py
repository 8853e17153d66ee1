"""Backoff of endpoints after failed attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

_INITIAL_BACKOFF_MS = 500
_MAX_BACKOFF_MS = 15_000
_BACKOFF_FACTOR = 2
# Further failures in a row do not lengthen the backoff.
_MAX_BACKOFF_STEPS = 5


class EndpointHealth:
    """Pauses endpoints that fail, with exponential backoff."""

    def __init__(self, clock: Clock) -> None:
        """Create the state without failures."""
        self._clock = clock
        self._failures: dict[str, int] = {}
        self._paused_until_ms: dict[str, int] = {}

    def is_available(self, endpoint: str) -> bool:
        """Return whether the endpoint is not paused."""
        return self._clock.now_ms() >= self._paused_until_ms.get(endpoint, 0)

    def remaining_pause_ms(self, endpoint: str) -> int:
        """Return the remaining pause of the endpoint, milliseconds."""
        until_ms = self._paused_until_ms.get(endpoint, 0)
        return max(0, until_ms - self._clock.now_ms())

    def record_failure(self, endpoint: str) -> None:
        """Pause the endpoint, longer after each failure in a row."""
        failures = self._failures.get(endpoint, 0) + 1
        self._failures[endpoint] = failures
        steps = min(failures - 1, _MAX_BACKOFF_STEPS)
        pause_ms = _INITIAL_BACKOFF_MS * _BACKOFF_FACTOR**steps
        self._paused_until_ms[endpoint] = self._clock.now_ms() + min(
            pause_ms, _MAX_BACKOFF_MS
        )

    def record_success(self, endpoint: str) -> None:
        """Reset the failures of the endpoint and end its pause."""
        self._failures.pop(endpoint, None)
        self._paused_until_ms.pop(endpoint, None)
