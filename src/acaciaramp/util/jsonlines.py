"""Writes JSON lines to standard output without ever waiting for a reader."""

from __future__ import annotations

import os
import sys
import time
from typing import Any

import msgspec

# Lines wait for a slow reader up to so many bytes; more are left out.
_MOST_WAITING_BYTES = 262_144
# Lines a second that are written in full; warnings and errors always are.
_MOST_LINES_A_SECOND = 400
_NS_PER_MS = 1_000_000
_NS_PER_S = 1_000_000_000
_encoder = msgspec.json.Encoder(enc_hook=str, order=None)


class JsonLineWriter:
    """Writes one object a line; what there is no room for is counted."""

    def __init__(self, instance: str, handle: int | None = None) -> None:
        """Open the output.

        Args:
            instance: Stands in every line.
            handle: File descriptor; standard output if not given.
        """
        self._instance = instance
        self._handle = sys.stdout.fileno() if handle is None else handle
        os.set_blocking(self._handle, False)
        self._waiting = bytearray()
        self._left_out = 0
        self._second = 0
        self._lines = 0

    def write(
        self, level: str, part: str, sentence: str, fields: dict[str, Any]
    ) -> None:
        """Write one line, or count it as left out."""
        now_ns = time.time_ns()
        if not self._has_room(now_ns, level):
            self._left_out += 1
            return
        line = {
            'ts': now_ns // _NS_PER_MS,
            'level': level,
            'process': self._instance,
            'part': part,
            'event': sentence,
            **fields,
        }
        if self._left_out:
            line['left_out'] = self._left_out
            self._left_out = 0
        self._waiting += _encoder.encode(line)
        self._waiting.extend(b'\n')
        self._flush()

    def _has_room(self, now_ns: int, level: str) -> bool:
        second = now_ns // _NS_PER_S
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if len(self._waiting) > _MOST_WAITING_BYTES:
            self._flush()
        if len(self._waiting) > _MOST_WAITING_BYTES:
            return False
        return level != 'info' or self._lines <= _MOST_LINES_A_SECOND

    def _flush(self) -> None:
        try:
            written = os.write(self._handle, self._waiting)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            self._waiting.clear()
            return
        self._waiting = self._waiting[written:]
