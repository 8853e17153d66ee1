"""Recording, rendering and serving of metrics."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING, cast

import anyio
import pytest

from acaciaramp.errors import ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.metrics.exposition import render
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.metrics.scrape import handle_scrape

if TYPE_CHECKING:
    from anyio.abc import ByteStream

PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'operators' / 'metrics.md'


def sample_metrics() -> Metrics:
    metrics = Metrics()
    metrics.count(Counter.REFUSED, ErrorCode.RATE_LIMITED)
    metrics.count(Counter.REFUSED, ErrorCode.RATE_LIMITED)
    metrics.count(Counter.LINK_LOST)
    for duration_ms in (1, 7, 60_000):
        metrics.record_duration(Timer.REQUEST, duration_ms)
    return metrics


@pytest.mark.parametrize(
    'line',
    [
        'acaciaramp_refused_total{reason="rate_limited"} 2.0',
        'acaciaramp_link_lost_total{reason=""} 1.0',
        'acaciaramp_stage_request_seconds_bucket{le="0.001"} 1.0',
        'acaciaramp_stage_request_seconds_bucket{le="0.01"} 2.0',
        'acaciaramp_stage_request_seconds_bucket{le="10.0"} 2.0',
        'acaciaramp_stage_request_seconds_bucket{le="+Inf"} 3.0',
        'acaciaramp_stage_request_seconds_sum 60.008',
    ],
)
def test_recorded_values_are_rendered(line: str) -> None:
    assert line in render(sample_metrics()).decode().splitlines()


def test_a_counter_does_not_match_another_with_the_same_prefix() -> None:
    metrics = Metrics()
    metrics.count(Counter.RETRY_DENIED)
    text = render(metrics).decode()
    assert 'acaciaramp_retried_total{' not in text


@pytest.mark.parametrize('metric', [*Counter, *Timer])
def test_every_metric_is_documented_for_operators(
    metric: Counter | Timer,
) -> None:
    assert f'`{metric.value}' in PAGE.read_text(encoding='utf-8')


class FakeStream:
    """Server side of a connection on which the client's bytes are queued.

    Attributes:
        sent: Bytes that the server sent.
    """

    def __init__(self, *parts: bytes) -> None:
        """Create a stream that delivers ``parts`` and then ends."""
        self.sent = b''
        self._parts = list(parts)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the next part; ``max_bytes`` is ignored."""
        if not self._parts:
            raise anyio.EndOfStream
        return self._parts.pop(0)

    async def send(self, item: bytes) -> None:
        """Record bytes sent by the server."""
        self.sent += item


def scrape(*parts: bytes) -> bytes:
    stream = FakeStream(*parts)
    anyio.run(handle_scrape, cast('ByteStream', stream), sample_metrics())
    return stream.sent


def test_a_scrape_returns_the_metrics() -> None:
    response = scrape(b'GET /metrics HTTP/1.1\r\nHo', b'st: h\r\n\r\n')
    head, _, body = response.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert body == render(sample_metrics())


@pytest.mark.parametrize(
    'request_line', [b'GET /other HTTP/1.1', b'POST /metrics HTTP/1.1']
)
def test_other_requests_are_not_found(request_line: bytes) -> None:
    response = scrape(request_line + b'\r\nHost: h\r\n\r\n')
    assert response.startswith(b'HTTP/1.1 404')


@pytest.mark.parametrize('parts', [(), (b'\x00\x01\r\n\r\n',), (b'GET /',)])
def test_malformed_or_partial_requests_get_no_response(
    parts: tuple[bytes, ...],
) -> None:
    assert scrape(*parts) == b''
