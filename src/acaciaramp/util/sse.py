"""Server-sent events: incremental parsing and encoding."""

from __future__ import annotations

from typing import NamedTuple

from acaciaramp.errors import AcaciarampError
from acaciaramp.util.numbers import parse_count

MAX_EVENT_BYTES = 1_048_576
_SEPARATOR = b'\n\n'
_DATA_FIELD = b'data:'
_ID_FIELD = b'id:'


class Event(NamedTuple):
    """One event.

    Attributes:
        number: The event's id; None if it has none or it is not a number.
        payload: The event's data; several ``data`` lines are joined by
            newlines.
    """

    number: int | None
    payload: bytes


class EventTooLargeError(AcaciarampError):
    """A stream has more than ``MAX_EVENT_BYTES`` without the end of an event."""


class EventParser:
    """Parses a stream of bytes, given chunk by chunk, into events."""

    def __init__(self) -> None:
        """Create the parser of a new stream."""
        self._buffer = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes.

        Events without data, such as comments, are skipped.

        Raises:
            EventTooLargeError: The event that ``chunk`` continues is too large.
        """
        # A line end may be split over two chunks.
        text = (self._buffer + chunk).replace(b'\r\n', b'\n')
        *blocks, rest = text.split(_SEPARATOR)
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f'an event has more than {MAX_EVENT_BYTES} bytes'
            )
        self._buffer = rest
        return [event for event in map(_parse, blocks) if event is not None]


def encode(payload: bytes, number: int | None = None) -> bytes:
    """Return the bytes of one event.

    Args:
        payload: The event's data, without newlines.
        number: The event's id, if it has one.
    """
    prefix = b'' if number is None else b'id: %d\n' % number
    return b'%sdata: %s\n\n' % (prefix, payload)


def _parse(block: bytes) -> Event | None:
    number = None
    lines = []
    for line in block.split(b'\n'):
        if line.startswith(_DATA_FIELD):
            lines.append(line.removeprefix(_DATA_FIELD).strip())
        elif line.startswith(_ID_FIELD):
            text = line.removeprefix(_ID_FIELD).strip()
            number = parse_count(text.decode('latin-1'))
    return Event(number, b'\n'.join(lines)) if lines else None
