"""Added latency and throughput of one entry instance."""

from __future__ import annotations

import time

import anyio
import httpcore
import msgspec
from hdrh.histogram import HdrHistogram

from acaciaramp.bench.process import process_usage
from acaciaramp.errors import AcaciarampError

_LONGEST_US = 60_000_000
_DIGITS = 3
_US_PER_MS = 1_000
_US_PER_S = 1_000_000
_OK = 200
_MEDIAN = 50
_P99 = 99
_WARM_UP = 50
_BODY = msgspec.json.encode(
    {
        'model': 'conseil-lm',
        'messages': [{'role': 'user', 'content': 'how long does felt rest'}],
        'max_tokens': 32,
    }
)


class BenchError(AcaciarampError):
    """A measurement could not be made."""


class Target(msgspec.Struct, frozen=True):
    """An address to send requests to.

    Attributes:
        address: ``http://IP:PORT``.
        key: The key to send, empty for none.
    """

    address: str
    key: str = ''


class Latency(msgspec.Struct, frozen=True):
    """Latencies in milliseconds.

    Attributes:
        median_ms: Half of the requests were faster.
        p99_ms: 99 in 100 were faster.
        count: Number of requests.
    """

    median_ms: float
    p99_ms: float
    count: int


class EntryResult(msgspec.Struct, frozen=True):
    """Result of the measurement.

    Attributes:
        direct: Latency of the endpoint alone, one request at a time.
        through: Latency through the instance, one request at a time.
        added_median_ms: Difference of the medians.
        added_p99_ms: Difference of the 99th percentiles.
        requests_per_s: Requests that many callers at once got answered.
        requests_per_core_s: The same per second of processor time.
        loaded: Latency with many callers at once.
        memory_mb: Resident memory of the instance after it.
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
    """Measure an instance against its endpoint, in one run.

    Args:
        direct: The endpoint.
        through: The instance.
        pid: The instance's process.
        requests: Requests of each measurement.
        callers: Callers at once in the measurement of throughput.

    Raises:
        BenchError: A request failed.
    """
    async with httpcore.AsyncConnectionPool(max_connections=callers) as pool:
        for target in (direct, through):
            await _send_many(
                pool, target, _WARM_UP, HdrHistogram(1, _LONGEST_US, _DIGITS)
            )
        alone, passed = await _alternate(pool, direct, through, requests)
        before = process_usage(pid)
        started = time.perf_counter()
        loaded = await _load(pool, through, requests, callers)
        duration_s = time.perf_counter() - started
        after = process_usage(pid)
    return EntryResult(
        direct=alone,
        through=passed,
        added_median_ms=passed.median_ms - alone.median_ms,
        added_p99_ms=passed.p99_ms - alone.p99_ms,
        requests_per_s=loaded.count / duration_s,
        requests_per_core_s=loaded.count / (after.cpu_s - before.cpu_s),
        loaded=loaded,
        memory_mb=after.memory_mb,
    )


async def _alternate(
    pool: httpcore.AsyncConnectionPool,
    direct: Target,
    through: Target,
    requests: int,
) -> tuple[Latency, Latency]:
    """Take turns, so that both see the same state of the machine."""
    histograms = {
        target: HdrHistogram(1, _LONGEST_US, _DIGITS)
        for target in (direct, through)
    }
    for _ in range(requests):
        for target, histogram in histograms.items():
            await _send_many(pool, target, 1, histogram)
    return _latency(histograms[direct]), _latency(histograms[through])


async def _load(
    pool: httpcore.AsyncConnectionPool,
    target: Target,
    requests: int,
    callers: int,
) -> Latency:
    histogram = HdrHistogram(1, _LONGEST_US, _DIGITS)
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
        resp = await pool.request('POST', url, headers=headers, content=_BODY)
        if resp.status != _OK:
            raise BenchError(f'{url} answered {resp.status}: {resp.content!r}')
        duration_s = time.perf_counter() - started
        histogram.record_value(round(duration_s * _US_PER_S))


def _latency(histogram: HdrHistogram) -> Latency:
    return Latency(
        median_ms=histogram.get_value_at_percentile(_MEDIAN) / _US_PER_MS,
        p99_ms=histogram.get_value_at_percentile(_P99) / _US_PER_MS,
        count=histogram.get_total_count(),
    )
