"""Retry budget: bounds the load that retries add."""

from __future__ import annotations


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
