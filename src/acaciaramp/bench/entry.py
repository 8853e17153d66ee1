"""Measures the added latency and the throughput of one entry instance."""

from __future__ import annotations

import time

import anyio
import httpcore
import msgspec
from hdrh.histogram import HdrHistogram

from acaciaramp.bench.process import process_usage
from acaciaramp.errors import AcaciarampError

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_US_PER_S = 1_000_000
_OK_STATUS = 200
_MEDIAN_PERCENTILE = 50
_P99_PERCENTILE = 99
_WARM_UP_REQUESTS = 50
_REQUEST_BODY = msgspec.json.encode(
    {
        'model': 'conseil-lm',
        'messages': [{'role': 'user', 'content': 'how long does felt rest'}],
        'max_tokens': 32,
    }
)


class BenchError(AcaciarampError):
    """A request of the benchmark failed."""


class Target(msgspec.Struct, frozen=True):
    """An address to send requests to.

    Attributes:
        address: ``http://IP:PORT``.
        key: API key to send; empty for none.
    """

    address: str
    key: str = ''


class Latency(msgspec.Struct, frozen=True):
    """Latency distribution, milliseconds.

    Attributes:
        median_ms: Median.
        p99_ms: 99th percentile.
        count: Number of requests.
    """

    median_ms: float
    p99_ms: float
    count: int


class EntryResult(msgspec.Struct, frozen=True):
    """Result of the entry benchmark.

    Attributes:
        direct: Latency of direct requests to the endpoint, one at a time.
        through: Latency of requests through the instance, one at a time.
        added_median_ms: Difference of the medians.
        added_p99_ms: Difference of the 99th percentiles.
        requests_per_s: Throughput with concurrent callers.
        requests_per_core_s: Requests per second of processor time that the
            instance used, with concurrent callers.
        loaded: Latency with concurrent callers.
        memory_mb: Resident memory of the instance after the benchmark.
    """

    direct: Latency
    through: Latency
    added_median_ms: float
    added_p99_ms: float
    requests_per_s: float
    requests_per_core_s: float
    loaded: Latency
    memory_mb: float


async def measure_entry(
    direct: Target, through: Target, *, pid: int, requests: int, callers: int
) -> EntryResult:
    """Measure the latency that an instance adds, and its throughput.

    Warms up both targets, then measures the latency of both in alternation,
    then the throughput of the instance.

    Args:
        direct: The endpoint.
        through: The instance, which sends to that endpoint.
        pid: Process ID of the instance.
        requests: Requests per target and measurement; for throughput rounded
            down to a multiple of ``callers``.
        callers: Concurrent callers in the measurement of throughput.

    Raises:
        BenchError: A response had a status other than 200.
        OSError: There is no process with this ID.
    """
    async with httpcore.AsyncConnectionPool(max_connections=callers) as pool:
        for target in (direct, through):
            await _send_many(
                pool,
                target,
                _WARM_UP_REQUESTS,
                HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS),
            )
        direct_latency, through_latency = await _measure_alternately(
            pool, direct, through, requests
        )
        before = process_usage(pid)
        started = time.perf_counter()
        loaded = await _measure_under_load(pool, through, requests, callers)
        duration_s = time.perf_counter() - started
        after = process_usage(pid)
    return EntryResult(
        direct=direct_latency,
        through=through_latency,
        added_median_ms=through_latency.median_ms - direct_latency.median_ms,
        added_p99_ms=through_latency.p99_ms - direct_latency.p99_ms,
        requests_per_s=loaded.count / duration_s,
        requests_per_core_s=loaded.count / (after.cpu_s - before.cpu_s),
        loaded=loaded,
        memory_mb=after.memory_mb,
    )


async def _measure_alternately(
    pool: httpcore.AsyncConnectionPool,
    direct: Target,
    through: Target,
    requests: int,
) -> tuple[Latency, Latency]:
    """Send to both targets in alternation, one request at a time.

    Changes in the load of the machine then affect both alike.
    """
    histograms = {
        target: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        for target in (direct, through)
    }
    for _ in range(requests):
        for target, histogram in histograms.items():
            await _send_many(pool, target, 1, histogram)
    return _latency(histograms[direct]), _latency(histograms[through])


async def _measure_under_load(
    pool: httpcore.AsyncConnectionPool,
    target: Target,
    requests: int,
    callers: int,
) -> Latency:
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(
                _send_many, pool, target, requests // callers, histogram
            )
    return _latency(histogram)


async def _send_many(
    pool: httpcore.AsyncConnectionPool,
    target: Target,
    count: int,
    histogram: HdrHistogram,
) -> None:
    headers = [('Content-Type', 'application/json')]
    if target.key:
        headers.append(('Authorization', f'Bearer {target.key}'))
    url = f'{target.address}/v1/chat/completions'
    for _ in range(count):
        started = time.perf_counter()
        resp = await pool.request(
            'POST', url, headers=headers, content=_REQUEST_BODY
        )
        if resp.status != _OK_STATUS:
            raise BenchError(
                f'{url} responded with status {resp.status}, expected 200: '
                f'{resp.content!r}'
            )
        duration_s = time.perf_counter() - started
        histogram.record_value(round(duration_s * _US_PER_S))


def _latency(histogram: HdrHistogram) -> Latency:
    return Latency(
        median_ms=histogram.get_value_at_percentile(_MEDIAN_PERCENTILE)
        / _US_PER_MS,
        p99_ms=histogram.get_value_at_percentile(_P99_PERCENTILE) / _US_PER_MS,
        count=histogram.get_total_count(),
    )
