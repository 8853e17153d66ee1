"""Sends counters and timers; counts them in memory as well."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    import enum

    from acaciaramp.metrics.names import Counter, Timer
    from acaciaramp.settings.model import Statsd


class Metrics:
    """Counters and timers of one process.

    Attributes:
        counts: How often each counter was raised since the start, by name.
    """

    def __init__(self, settings: Statsd | None = None) -> None:
        """Create the client; without settings nothing leaves the process."""
        self.counts: collections.Counter[str] = collections.Counter()
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

    def time(self, timer: Timer, duration_ms: int) -> None:
        """Record one duration in milliseconds."""
        if self._statsd is not None:
            self._statsd.timing(timer.value, duration_ms)
