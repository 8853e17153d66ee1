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
