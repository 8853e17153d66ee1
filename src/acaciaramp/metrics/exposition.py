"""Renders counters and histograms in the Prometheus text format."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily

from acaciaramp.metrics.client import BUCKETS_MS
from acaciaramp.metrics.names import Counter, Timer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client.core import Metric

    from acaciaramp.metrics.client import Histogram, Metrics

_PREFIX = 'acaciaramp'
_MS_PER_SECOND = 1_000


def render(metrics: Metrics) -> bytes:
    """Return all counters and histograms in the Prometheus text format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Custom collector that reads from ``Metrics`` on each scrape."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield every metric, including those without samples."""
        for counter in Counter:
            yield self._counter(counter)
        for timer in Timer:
            yield self._histogram(timer)

    def _counter(self, counter: Counter) -> Metric:
        family = CounterMetricFamily(
            _metric_name(counter.value), counter.value, labels=('reason',)
        )
        for name, count in self._metrics.counts.items():
            if name == counter.value:
                family.add_metric(('',), count)
            elif name.startswith(f'{counter.value}.'):
                reason = name.removeprefix(f'{counter.value}.')
                family.add_metric((reason,), count)
        return family

    def _histogram(self, timer: Timer) -> Metric:
        family = HistogramMetricFamily(
            f'{_metric_name(timer.value)}_seconds', timer.value
        )
        durations = self._metrics.durations.get(timer.value)
        if durations is not None:
            family.add_metric(
                (),
                _cumulative_buckets(durations),
                durations.total_ms / _MS_PER_SECOND,
            )
        return family


def _metric_name(name: str) -> str:
    suffix = name.replace('.', '_')
    return f'{_PREFIX}_{suffix}'


def _cumulative_buckets(durations: Histogram) -> list[tuple[str, float]]:
    bounds = [str(bound / _MS_PER_SECOND) for bound in BUCKETS_MS]
    counts = itertools.accumulate(durations.counts)
    return list(zip((*bounds, '+Inf'), counts, strict=True))
