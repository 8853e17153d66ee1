"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import pathlib


class Record:
    """Writes one JSON object a line, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Create or replace the file."""
        self._file = path.open('w', encoding='utf-8')
        self._started_s = time.monotonic()

    def write(self, what: str, **fields: Any) -> None:
        """Write a line."""
        at_s = round(time.monotonic() - self._started_s, 3)
        line = json.dumps({'at_s': at_s, 'what': what, **fields})
        self._file.write(f'{line}\n')
        self._file.flush()
