"""Writes JSON lines to a file descriptor without ever blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import Any

import msgspec

# Lines are buffered for a slow reader up to this size; further ones are dropped.
_MAX_BUFFERED_BYTES = 262_144
# After this many lines in a second, info lines are dropped; warnings and errors
# are exempt.
_MAX_LINES_PER_SECOND = 400
_NS_PER_MS = 1_000_000
_NS_PER_S = 1_000_000_000
_encoder = msgspec.json.Encoder(enc_hook=str, order=None)


class JsonLineWriter:
    """Writes one JSON object per line, dropping lines over the limits.

    The next line that is written reports the number of dropped lines in its
    field ``left_out``.
    """

    def __init__(self, instance: str, fd: int | None = None) -> None:
        """Create the writer and make the descriptor non-blocking.

        Args:
            instance: Name of the instance, included in every line.
            fd: File descriptor; standard output if None.
        """
        self._instance = instance
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._buffer = bytearray()
        self._dropped = 0
        self._current_second = 0
        self._lines_in_second = 0

    def write(
        self, level: str, part: str, event: str, fields: dict[str, Any]
    ) -> None:
        """Write or buffer one line, or drop and count it.

        Args:
            level: ``info``, ``warning`` or ``error``.
            part: The part of the system that logs.
            event: What happened.
            fields: Further members of the object; values of types that JSON
                lacks are written as strings.
        """
        now_ns = time.time_ns()
        if not self._try_admit(now_ns, level):
            self._dropped += 1
            return
        line = {
            'ts': now_ns // _NS_PER_MS,
            'level': level,
            'process': self._instance,
            'part': part,
            'event': event,
            **fields,
        }
        if self._dropped:
            line['left_out'] = self._dropped
            self._dropped = 0
        self._buffer += _encoder.encode(line)
        self._buffer.extend(b'\n')
        self._flush()

    def _try_admit(self, now_ns: int, level: str) -> bool:
        """Count a line; return whether it is within the limits."""
        second = now_ns // _NS_PER_S
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._flush()
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            return False
        return level != 'info' or self._lines_in_second <= _MAX_LINES_PER_SECOND

    def _flush(self) -> None:
        try:
            written = os.write(self._fd, self._buffer)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            # The reader has closed its end, and there is no other output to
            # report it to.
            self._buffer.clear()
            return
        self._buffer = self._buffer[written:]
