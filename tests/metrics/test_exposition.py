"""Metrics are kept, written as text and served to whoever asks."""

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


def used() -> Metrics:
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
def test_what_was_counted_is_shown(line: str) -> None:
    assert line in render(used()).decode().splitlines()


def test_a_counter_is_not_taken_for_one_whose_name_it_begins() -> None:
    metrics = Metrics()
    metrics.count(Counter.RETRY_DENIED)
    text = render(metrics).decode()
    assert 'acaciaramp_retried_total{' not in text


@pytest.mark.parametrize('metric', [*Counter, *Timer])
def test_every_name_is_on_the_operators_page(metric: Counter | Timer) -> None:
    assert f'`{metric.value}' in PAGE.read_text(encoding='utf-8')


class FakeStream:
    """The other side of a connection, whose bytes are all there.

    Attributes:
        sent: What was answered.
    """

    def __init__(self, *parts: bytes) -> None:
        """Create the stream that brings some parts and then ends."""
        self.sent = b''
        self._parts = list(parts)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return the next part."""
        if not self._parts:
            raise anyio.EndOfStream
        return self._parts.pop(0)

    async def send(self, item: bytes) -> None:
        """Take a part of the answer."""
        self.sent += item


def asked(*parts: bytes) -> bytes:
    stream = FakeStream(*parts)
    anyio.run(handle_scrape, cast('ByteStream', stream), used())
    return stream.sent


def test_metrics_are_served() -> None:
    answer = asked(b'GET /metrics HTTP/1.1\r\nHo', b'st: h\r\n\r\n')
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert body == render(used())


@pytest.mark.parametrize(
    'request_line', [b'GET /other HTTP/1.1', b'POST /metrics HTTP/1.1']
)
def test_nothing_else_is_served(request_line: bytes) -> None:
    answer = asked(request_line + b'\r\nHost: h\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 404')


@pytest.mark.parametrize('parts', [(), (b'\x00\x01\r\n\r\n',), (b'GET /',)])
def test_what_is_no_request_is_left(parts: tuple[bytes, ...]) -> None:
    assert asked(*parts) == b''
