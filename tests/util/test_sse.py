"""Parsing of server-sent events: chunk boundaries, comments and CRLF."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.util import sse

_EVENTS = [(0, b'{"a":1}'), (1, b'x'), (None, b'[DONE]')]
_WIRE = b''.join(sse.encode(payload, number) for number, payload in _EVENTS)


@given(st.sets(st.integers(1, len(_WIRE) - 1)))
def test_events_do_not_depend_on_chunk_boundaries(cuts: set[int]) -> None:
    edges = [0, *sorted(cuts), len(_WIRE)]
    parser = sse.EventParser()
    events = []
    for start, end in itertools.pairwise(edges):
        events.extend(parser.feed(_WIRE[start:end]))
    assert [(event.number, event.payload) for event in events] == _EVENTS


def test_comments_and_carriage_returns_are_ignored() -> None:
    assert sse.EventParser().feed(b': ping\r\n\r\ndata: x\r\n\r\n') == [
        sse.Event(None, b'x')
    ]


@given(st.sets(st.integers(1, 2 * len(_WIRE))))
def test_events_with_carriage_returns_do_not_depend_on_boundaries(
    cuts: set[int],
) -> None:
    wire = _WIRE.replace(b'\n', b'\r\n')
    edges = [0, *sorted(cut for cut in cuts if cut < len(wire)), len(wire)]
    parser = sse.EventParser()
    events = []
    for start, end in itertools.pairwise(edges):
        events.extend(parser.feed(wire[start:end]))
    assert [(event.number, event.payload) for event in events] == _EVENTS


def test_event_without_end_is_an_error() -> None:
    parser = sse.EventParser()
    parser.feed(bytes(sse.MAX_EVENT_BYTES))
    with pytest.raises(sse.EventTooLargeError):
        parser.feed(b'x')


def test_id_of_many_digits_does_not_end_the_stream() -> None:
    (event,) = sse.EventParser().feed(b'id: %s\ndata: x\n\n' % (b'9' * 5_000))
    assert event.payload == b'x'
