"""Server-sent events: splitting a byte stream and writing events."""

from __future__ import annotations

from typing import NamedTuple

_END = b'\n\n'
_DATA = b'data:'
_ID = b'id:'


class Event(NamedTuple):
    """One event.

    Attributes:
        number: The event's id, None if it has none.
        payload: The event's data.
    """

    number: int | None
    payload: bytes


class EventParser:
    """Splits the bytes of a stream into events."""

    def __init__(self) -> None:
        """Create the splitter at the beginning of a stream."""
        self._rest = b''

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that ``chunk`` completes."""
        text = self._rest + chunk.replace(b'\r\n', b'\n')
        *blocks, rest = text.split(_END)
        self._rest = rest
        return [event for event in map(_parse, blocks) if event is not None]


def encode(payload: bytes, number: int | None = None) -> bytes:
    """Return the bytes of one event."""
    prefix = b'' if number is None else b'id: %d\n' % number
    return b'%sdata: %s\n\n' % (prefix, payload)


def _parse(block: bytes) -> Event | None:
    number = None
    lines = []
    for line in block.split(b'\n'):
        if line.startswith(_DATA):
            lines.append(line.removeprefix(_DATA).strip())
        elif line.startswith(_ID):
            text = line.removeprefix(_ID).strip()
            number = int(text) if text.isdigit() else None
    return Event(number, b'\n'.join(lines)) if lines else None
