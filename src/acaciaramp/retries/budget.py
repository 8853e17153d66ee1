"""The retry budget: retries never add more than a share of the load."""

from __future__ import annotations


class RetryBudget:
    """Allows retries in proportion to the requests sent.

    Over the life of the process the retries are at most ``ratio`` times the
    first attempts, plus ``reserve``.
    """

    def __init__(self, ratio: float, reserve: int) -> None:
        """Create the budget.

        Args:
            ratio: Retries for each first attempt.
            reserve: Retries allowed before any request was sent.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._requests = 0
        self._retries = 0

    def on_request(self) -> None:
        """Count a first attempt."""
        self._requests += 1

    def try_retry(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""
        allowed = self._reserve + self._ratio * self._requests
        if self._retries + 1 > allowed:
            return False
        self._retries += 1
        return True
