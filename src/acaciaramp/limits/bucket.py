"""A token bucket with an injected clock."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from acaciaramp.clock import Clock


# Shares of a burst are fractions; their sums may miss a whole token by this.
_ROUNDING = 1e-9


class TokenBucket:
    """Admits at most ``rate`` requests a second and ``burst`` at once."""

    def __init__(
        self, rate: float, burst: float, empty_ms: int, clock: Clock
    ) -> None:
        """Create the bucket.

        Args:
            rate: Tokens that come back in a second.
            burst: Most tokens that the bucket holds.
            empty_ms: When the bucket begins to fill, on this clock.
            clock: Source of time.
        """
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens: float = 0
        self._filled_ms = empty_ms

    def set_limits(self, rate: float, burst: float) -> None:
        """Change rate and burst; no token is given for it."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._fill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    @property
    def burst(self) -> float:
        """Most tokens that the bucket holds."""
        return self._burst

    @property
    def tokens(self) -> float:
        """Tokens that it holds now."""
        self._fill()
        return self._tokens

    def take_fraction(self, fraction: float) -> float:
        """Take a part of the tokens; return how many were taken."""
        self._fill()
        taken = self._tokens * fraction
        self._tokens -= taken
        return taken

    def add(self, tokens: float) -> None:
        """Add tokens, up to the burst."""
        self._fill()
        self._tokens = min(self._burst, self._tokens + tokens)

    def has_token(self, reserve: float = 0) -> bool:
        """Return whether there is a whole token.

        Args:
            reserve: Tokens that have to be there besides.
        """
        self._fill()
        return self._tokens >= 1 + reserve - _ROUNDING

    def try_consume(self) -> bool:
        """Take one token if there is one."""
        if not self.has_token():
            return False
        self._tokens = max(0, self._tokens - 1)
        return True

    def wait_ms(self, reserve: float = 0) -> int | None:
        """Return when the next token comes, None if none ever does.

        Args:
            reserve: Tokens that have to be there besides.
        """
        self._fill()
        if self._burst < 1 + reserve - _ROUNDING or self._rate <= 0:
            return None
        missing = max(0, 1 + reserve - self._tokens)
        return math.ceil(missing / self._rate * MS_PER_SECOND)

    def _fill(self) -> None:
        now_ms = max(self._filled_ms, self._clock.now_ms())
        passed_s = (now_ms - self._filled_ms) / MS_PER_SECOND
        self._tokens = min(self._burst, self._tokens + passed_s * self._rate)
        self._filled_ms = now_ms
