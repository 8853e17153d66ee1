"""In-memory counters and duration histograms, optionally sent to statsd."""

from __future__ import annotations

import bisect
import collections
import math
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    import enum

    from acaciaramp.metrics.names import Counter, Timer
    from acaciaramp.settings.model import Statsd

# Inclusive upper bounds, from the latency of one hop within an availability
# zone to more than any caller waits.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


class Histogram:
    """A histogram of durations.

    Attributes:
        counts: Number of durations in each bucket of ``BUCKETS_MS``, not
            cumulative; the last bucket has no upper bound.
        total_ms: Sum of the durations, milliseconds.
    """

    def __init__(self) -> None:
        """Create an empty histogram."""
        self.counts = [0 for _ in (*BUCKETS_MS, math.inf)]
        self.total_ms = 0

    def observe(self, duration_ms: int) -> None:
        """Add one duration to its bucket and to the sum."""
        self.counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


class Metrics:
    """Counters and durations of one process.

    Attributes:
        counts: Value of each counter since the process started, by
            ``name`` or ``name.reason``.
        durations: Histogram of each timer, by name.
    """

    def __init__(self, settings: Statsd | None = None) -> None:
        """Create the metrics, all at zero.

        Args:
            settings: The statsd daemon to send to; None sends nothing.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self.durations: collections.defaultdict[str, Histogram] = (
            collections.defaultdict(Histogram)
        )
        self._statsd: statsd.StatsClient | None = None
        if settings is not None:
            self._statsd = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def count(self, counter: Counter, reason: enum.Enum | None = None) -> None:
        """Increment a counter by one.

        Args:
            counter: The counter.
            reason: Label of the increment, for counters that have reasons.
        """
        name = counter.value
        if reason is not None:
            name = f'{name}.{reason.value}'
        self.counts[name] += 1
        if self._statsd is not None:
            self._statsd.incr(name)

    def record_duration(self, timer: Timer, duration_ms: int) -> None:
        """Record one duration, in milliseconds, in a timer's histogram."""
        self.durations[timer.value].observe(duration_ms)
        if self._statsd is not None:
            self._statsd.timing(timer.value, duration_ms)
