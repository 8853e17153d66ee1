"""Rate limit over a sliding window.

Answers loads that come in clumps: what a workspace may use in a window may be
used at once.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

# Tokens that are consumed within this time share one record.
_RECORD_MS = 50
# Shares of a limit are fractions, which may miss a whole token by rounding.
_ROUNDING = 1e-9


class _Consumed(msgspec.Struct):
    """Tokens that were consumed at about the same time.

    Attributes:
        first_ms: When the first of them was consumed.
        last_ms: When the last of them was consumed.
        count: Number of tokens.
    """

    first_ms: int
    last_ms: int
    count: int


class WindowLimit:
    """Limits the tokens of each sliding window.

    No window gets more than ``rate * window + burst`` tokens.
    """

    def __init__(
        self, rate: float, burst: float, window_ms: int, clock: Clock
    ) -> None:
        """Create the limit; no tokens have been consumed.

        Args:
            rate: Tokens per second.
            burst: Tokens that each window allows beyond its share of the rate.
            window_ms: Length of the window, milliseconds.
            clock: Source of time.
        """
        self._window_ms = window_ms
        self._clock = clock
        self._consumed: collections.deque[_Consumed] = collections.deque()
        self._in_window = 0
        self._most: float = 0
        self.set_limits(rate, burst)

    @property
    def most(self) -> float:
        """Maximum number of tokens in a window."""
        return self._most

    @property
    def in_window(self) -> int:
        """Tokens that were consumed in the window that ends now."""
        oldest_ms = self._clock.now_ms() - self._window_ms
        while self._consumed and self._consumed[0].last_ms <= oldest_ms:
            self._in_window -= self._consumed.popleft().count
        return self._in_window

    @property
    def tokens(self) -> float:
        """Tokens available now; negative after the limit was lowered."""
        return self._most - self.in_window + _ROUNDING

    def counts_by_age(self, parts: int) -> tuple[int, ...]:
        """Return the tokens of the window by their age, newest first.

        Args:
            parts: Number of equal parts of the window to count separately.
        """
        part_ms = self._window_ms / parts
        counts: collections.Counter[int] = collections.Counter()
        now_ms = self._clock.now_ms()
        for item in self._consumed:
            counts[int((now_ms - item.last_ms) / part_ms)] += item.count
        return tuple(counts[age] for age in range(parts))

    def record_by_age(self, counts: tuple[int, ...], at_ms: int) -> None:
        """Count tokens as ``counts_by_age`` returned them at a time.

        Args:
            counts: Numbers of tokens by age, newest first.
            at_ms: That time, or a later one.
        """
        part_ms = self._window_ms / len(counts)
        for age, count in reversed(list(enumerate(counts))):
            self.record(count, int(at_ms - age * part_ms))

    def set_limits(self, rate: float, burst: float) -> None:
        """Change rate and burst."""
        self._most = rate * self._window_ms / MS_PER_SECOND + burst

    def record(self, count: int, at_ms: int) -> None:
        """Count tokens that were consumed.

        Args:
            count: Number of tokens.
            at_ms: Latest time at which they may have been consumed; not before
                that of any token counted earlier.
        """
        if not count:
            return
        self._in_window += count
        newest = self._consumed[-1] if self._consumed else None
        if newest is None or at_ms - newest.first_ms >= _RECORD_MS:
            self._consumed.append(_Consumed(at_ms, at_ms, count))
            return
        newest.last_ms = max(newest.last_ms, at_ms)
        newest.count += count

    def forget(self) -> None:
        """Take back a token that was consumed lately but is not used.

        The oldest one of the window is dropped, so that the others count for as
        long as they should at least.
        """
        if not self.in_window:
            return
        self._in_window -= 1
        self._consumed[0].count -= 1
        if not self._consumed[0].count:
            self._consumed.popleft()

    def has_token(self, reserve: float = 0) -> bool:
        """Return whether a whole token is available.

        Args:
            reserve: Tokens that must remain.
        """
        return self.tokens >= 1 + reserve

    def try_consume(self) -> bool:
        """Consume one token; return whether one was available."""
        if not self.has_token():
            return False
        self.record(1, self._clock.now_ms())
        return True

    def wait_ms(self, reserve: float = 0) -> int | None:
        """Return the wait for the next whole token, milliseconds.

        Args:
            reserve: Tokens that must remain.

        Returns:
            The wait, or None if the limit never allows a token.
        """
        missing = 1 + reserve - self.tokens
        if missing <= 0:
            return 0
        for item in self._consumed:
            missing -= item.count
            if missing <= 0:
                leaves_ms = item.last_ms + self._window_ms
                return max(0, leaves_ms - self._clock.now_ms())
        return None
