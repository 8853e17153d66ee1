"""Counts the server-sent events of a stream and collects their data.

The count gives the generated tokens of a turn, the data its stored output.
"""

from __future__ import annotations

_DATA = b'data:'


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

    def feed(self, part: bytes) -> None:
        """Process the next bytes of the stream, cut at any position."""
        *lines, partial = (self._partial_line + part).split(b'\n')
        self._partial_line = partial
        for line in lines:
            self._process_line(line.removesuffix(b'\r'))

    def _process_line(self, line: bytes) -> None:
        if line.startswith(_DATA):
            self._data.append(line.removeprefix(_DATA).removeprefix(b' '))
            return
        if line or not self._data:
            return
        self.events += 1
        if self._keeps_content:
            self.content.extend(b'\n'.join((*self._data, b'')))
        self._data = []
