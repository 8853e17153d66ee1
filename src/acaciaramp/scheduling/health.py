"""Which endpoints are worth a try, from how the last attempts went."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

_FIRST_PAUSE_MS = 500
_LONGEST_PAUSE_MS = 15_000
_GROWTH = 2


class Health:
    """Pauses an endpoint after failures, longer each time in a row."""

    def __init__(self, clock: Clock) -> None:
        """Create the state in which every endpoint is good."""
        self._clock = clock
        self._failures: dict[str, int] = {}
        self._paused_until_ms: dict[str, int] = {}

    def is_usable(self, endpoint: str) -> bool:
        """Return whether the endpoint is not paused."""
        return self._clock.now_ms() >= self._paused_until_ms.get(endpoint, 0)

    def pause_left_ms(self, endpoint: str) -> int:
        """Return how long the endpoint stays paused, milliseconds."""
        until_ms = self._paused_until_ms.get(endpoint, 0)
        return max(0, until_ms - self._clock.now_ms())

    def report_failure(self, endpoint: str) -> None:
        """Pause the endpoint."""
        failures = self._failures.get(endpoint, 0) + 1
        self._failures[endpoint] = failures
        pause_ms = _FIRST_PAUSE_MS * _GROWTH ** (failures - 1)
        self._paused_until_ms[endpoint] = self._clock.now_ms() + min(
            pause_ms, _LONGEST_PAUSE_MS
        )

    def report_success(self, endpoint: str) -> None:
        """Forget the endpoint's failures."""
        self._failures.pop(endpoint, None)
        self._paused_until_ms.pop(endpoint, None)
