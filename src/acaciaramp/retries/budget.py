"""Retry budget: bounds the load that retries add."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock


class RetryBudget:
    """Allows retries in proportion to the number of requests.

    Over the lifetime of the process there are at most
    ``reserve + ratio * requests`` retries, where ``requests`` counts first
    attempts.
    """

    def __init__(self, ratio: float, reserve: int) -> None:
        """Create the budget.

        Args:
            ratio: Retries allowed per first attempt.
            reserve: Retries allowed in addition to the ratio.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._requests = 0
        self._retries = 0

    def on_request(self) -> None:
        """Count the first attempt of a request."""
        self._requests += 1

    def try_retry(self) -> bool:
        """Consume one retry of the budget; return whether one was left."""
        allowed = self._reserve + self._ratio * self._requests
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True


class WindowedRetryBudget:
    """Allows retries in proportion to the requests of the last seconds.

    Requests of a calm hour before an overload allow no retries during it.
    """

    def __init__(
        self, ratio: float, reserve: int, window_ms: int, clock: Clock
    ) -> None:
        """Create the budget.

        Args:
            ratio: Retries allowed per request within the window.
            reserve: Retries allowed within the window in addition to the ratio.
            window_ms: Length of the window, milliseconds.
            clock: Source of time.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._window_ms = window_ms
        self._clock = clock
        self._requests_ms: collections.deque[int] = collections.deque()
        self._retries_ms: collections.deque[int] = collections.deque()

    def on_request(self) -> None:
        """Count the first attempt of a request."""
        self._forget_old()
        self._requests_ms.append(self._clock.now_ms())

    def try_retry(self) -> bool:
        """Consume one retry of the budget; return whether one was left."""
        self._forget_old()
        allowed = self._reserve + self._ratio * len(self._requests_ms)
        if len(self._retries_ms) + 1 > allowed:
            return False
        self._retries_ms.append(self._clock.now_ms())
        return True

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - self._window_ms
        for times_ms in (self._requests_ms, self._retries_ms):
            while times_ms and times_ms[0] <= oldest_ms:
                times_ms.popleft()
