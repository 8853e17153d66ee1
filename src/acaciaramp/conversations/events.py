"""Counts the server-sent events of a stream and collects their data.

The count gives the generated tokens of a turn, the data its stored output.
"""

from __future__ import annotations

import re

from acaciaramp.errors import AcaciarampError

MAX_EVENT_BYTES = 262_144
MAX_CONTENT_BYTES = 4_194_304
_DATA = b'data:'
_CR = b'\r'
_LF = b'\n'
_LINE_END = re.compile(rb'\r\n|\r|\n')


class StreamTooLargeError(AcaciarampError):
    """An event, or the data of all events, exceeds its limit."""


class EventCollector:
    """Incremental parser of a stream of server-sent events.

    Attributes:
        events: Number of complete events that were fed.
        content: Data of each complete event, each followed by a line feed.
    """

    def __init__(self, *, keeps_content: bool) -> None:
        """Create the collector for a new stream.

        Args:
            keeps_content: Whether to collect the data; events are counted in
                any case.
        """
        self.events = 0
        self.content = bytearray()
        self._keeps_content = keeps_content
        self._partial_line = b''
        self._data: list[bytes] = []
        self._data_bytes = 0
        self._has_lines = False
        self._ends_with_cr = False

    @property
    def is_within_event(self) -> bool:
        """Whether the stream would be broken off if it ended here."""
        return self._has_lines or bool(self._partial_line)

    @property
    def pending_bytes(self) -> int:
        """Size of the incomplete event."""
        return self._data_bytes + len(self._partial_line)

    def feed(self, part: bytes) -> None:
        """Process the next bytes of the stream, cut at any position.

        Raises:
            StreamTooLargeError: An event has more than ``MAX_EVENT_BYTES``, or
                more than ``MAX_CONTENT_BYTES`` would be collected.
        """
        if self._ends_with_cr:
            # The carriage return has ended the line already.
            part = part.removeprefix(_LF)
        text = self._partial_line + part
        self._ends_with_cr = text.endswith(_CR)
        *lines, partial = _LINE_END.split(text)
        self._partial_line = partial
        for line in lines:
            self._process_line(line)
        if self._data_bytes + len(partial) > MAX_EVENT_BYTES:
            raise StreamTooLargeError(
                f'an event of the stream exceeds {MAX_EVENT_BYTES} bytes'
            )
        if len(self.content) > MAX_CONTENT_BYTES:
            raise StreamTooLargeError(
                f'the data of the stream exceeds {MAX_CONTENT_BYTES} bytes'
            )

    def drop_content(self) -> None:
        """Free what was collected; only the count of events stays."""
        self.content.clear()
        self._data = []
        self._partial_line = b''

    def _process_line(self, line: bytes) -> None:
        self._has_lines = bool(line)
        if line.startswith(_DATA):
            self._data.append(line.removeprefix(_DATA).removeprefix(b' '))
            self._data_bytes += len(line)
            return
        if line or not self._data:
            return
        self.events += 1
        if self._keeps_content:
            self.content.extend(b'\n'.join((*self._data, b'')))
        self._data = []
        self._data_bytes = 0
