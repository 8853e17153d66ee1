"""A token bucket with an injected clock."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from acaciaramp.clock import Clock


# Shares of a burst are fractions; rounding may leave their sum this far below a
# whole token.
_ROUNDING_TOKENS = 1e-9


class TokenBucket:
    """A token bucket, which admits ``rate`` requests per second and a burst."""

    def __init__(
        self, rate: float, burst: float, empty_until_ms: int, clock: Clock
    ) -> None:
        """Create an empty bucket.

        Args:
            rate: Tokens refilled per second.
            burst: Capacity, tokens.
            empty_until_ms: Time on ``clock`` from which it is refilled.
            clock: Source of time.
        """
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens: float = 0
        self._refilled_ms = empty_until_ms

    def set_limits(self, rate: float, burst: float) -> None:
        """Change rate and burst; tokens above the new burst are dropped."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    @property
    def burst(self) -> float:
        """Capacity, tokens."""
        return self._burst

    @property
    def tokens(self) -> float:
        """Tokens available now."""
        self._refill()
        return self._tokens

    def consume_fraction(self, fraction: float) -> float:
        """Consume a fraction of the tokens; return how many were consumed."""
        self._refill()
        consumed = self._tokens * fraction
        self._tokens -= consumed
        return consumed

    def add(self, tokens: float) -> None:
        """Add tokens, up to the burst."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + tokens)

    def has_token(self, reserve: float = 0) -> bool:
        """Return whether a whole token is available.

        Args:
            reserve: Tokens that must remain in the bucket.
        """
        self._refill()
        return self._tokens >= 1 + reserve - _ROUNDING_TOKENS

    def try_consume(self) -> bool:
        """Consume one token; return whether one was available."""
        if not self.has_token():
            return False
        self._tokens = max(0, self._tokens - 1)
        return True

    def wait_ms(self, reserve: float = 0) -> int | None:
        """Return the wait for the next whole token, milliseconds.

        Args:
            reserve: Tokens that must remain in the bucket.

        Returns:
            The wait, or None if the rate or the burst never allows a token.
        """
        self._refill()
        if self._burst < 1 + reserve - _ROUNDING_TOKENS or self._rate <= 0:
            return None
        missing = max(0, 1 + reserve - self._tokens)
        return math.ceil(missing / self._rate * MS_PER_SECOND)

    def _refill(self) -> None:
        now_ms = max(self._refilled_ms, self._clock.now_ms())
        elapsed_s = (now_ms - self._refilled_ms) / MS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        self._refilled_ms = now_ms
