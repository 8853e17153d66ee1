"""EventCollector parses a stream that is cut into parts of any size."""

from __future__ import annotations

import pytest

from acaciaramp.conversations.events import EventCollector

STREAM = b'id: 1\ndata: one\n\n: note\n\nid: 2\ndata:two\ndata:  x \n\n'


@pytest.mark.parametrize('size', range(1, len(STREAM)))
def test_the_result_does_not_depend_on_the_part_size(size: int) -> None:
    collector = EventCollector(keeps_content=True)
    for start in range(0, len(STREAM), size):
        collector.feed(STREAM[start : start + size])
    assert collector.events == 2
    assert bytes(collector.content) == b'one\ntwo\n x \n'


def test_an_incomplete_event_is_not_counted() -> None:
    collector = EventCollector(keeps_content=True)
    collector.feed(b'id: 1\ndata: one\n')
    assert collector.events == 0


def test_events_are_counted_without_collecting_content() -> None:
    collector = EventCollector(keeps_content=False)
    collector.feed(STREAM)
    assert collector.events == 2
    assert not collector.content


@pytest.mark.parametrize('size', [1, 2, 7, 100])
@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_events_end_with_any_line_end(line_end: bytes, size: int) -> None:
    text = 'id: 1\ndata: \u00e9\n\nid: 2\ndata: b\n\n'.encode()
    stream = text.replace(b'\n', line_end)
    collector = EventCollector(keeps_content=True)
    for start in range(0, len(stream), size):
        collector.feed(stream[start : start + size])
    assert collector.events == 2
    assert collector.content == '\u00e9\nb\n'.encode()
    assert not collector.is_within_event


@pytest.mark.parametrize(
    ('stream', 'is_within_event'),
    [
        (b'', False),
        (b': comment\n\n', False),
        (b'data: a\n\n', False),
        (b'data: a\n', True),
        (b'data: a', True),
        (b'data: a\n\nid: 2\n', True),
        (b'data: a\n\nid', True),
        (b'data: a\r', True),
        (b'data: a\r\r', False),
        ('data: \u00e9'.encode()[:-1], True),
    ],
)
def test_the_end_of_a_stream_may_lie_within_an_event(
    stream: bytes, *, is_within_event: bool
) -> None:
    collector = EventCollector(keeps_content=False)
    collector.feed(stream)
    assert collector.is_within_event is is_within_event
