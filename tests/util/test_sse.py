"""Parsing of server-sent events: chunk boundaries, comments and CRLF."""

from __future__ import annotations

import itertools

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
