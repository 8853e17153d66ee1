"""Counters and durations of one process: kept in memory, sent to statsd."""

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

# Upper bounds of the buckets in milliseconds, from a way within an
# availability zone to longer than any caller waits.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000)


class Histogram:
    """A histogram of durations.

    Attributes:
        counts: Durations by bucket; the last one has no upper bound.
        total_ms: Their sum.
    """

    def __init__(self) -> None:
        """Create the histogram without durations."""
        self.counts = [0 for _ in (*BUCKETS_MS, math.inf)]
        self.total_ms = 0

    def observe(self, duration_ms: int) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


class Metrics:
    """Counters and durations of one process.

    Attributes:
        counts: How often each counter was raised since the start, by name; a
            dot and a reason may follow the name.
        durations: Histograms by name.
    """

    def __init__(self, settings: Statsd | None = None) -> None:
        """Create the client; without settings nothing leaves the process."""
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
        """Raise a counter by one, with its reason where it has one."""
        name = counter.value
        if reason is not None:
            name = f'{name}.{reason.value}'
        self.counts[name] += 1
        if self._statsd is not None:
            self._statsd.incr(name)

    def record_duration(self, timer: Timer, duration_ms: int) -> None:
        """Record one duration in milliseconds."""
        self.durations[timer.value].observe(duration_ms)
        if self._statsd is not None:
            self._statsd.timing(timer.value, duration_ms)
