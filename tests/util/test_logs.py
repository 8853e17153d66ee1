"""Log records of libraries are written as JSON lines."""

from __future__ import annotations

import json
import logging
import os
from typing import TYPE_CHECKING

from acaciaramp.util import logs
from acaciaramp.util.jsonlines import JsonLineWriter

if TYPE_CHECKING:
    import pytest


def test_library_records_are_json_lines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reader, writer = os.pipe()
    root = logging.getLogger()
    handlers = list(root.handlers)
    monkeypatch.setattr(
        logs,
        'JsonLineWriter',
        lambda instance: JsonLineWriter(instance, writer),
    )
    monkeypatch.setattr(logs._Output, 'lines', None)
    try:
        logs.configure_json_logs('entry-1')
        logging.getLogger('uvicorn.error').error('answer %s', 'missing')
    finally:
        for added in set(root.handlers) - set(handlers):
            root.removeHandler(added)
        os.close(writer)
    with os.fdopen(reader) as lines:
        line = json.loads(lines.readline())
    assert line['process'] == 'entry-1'
    assert line['event'] == 'answer missing'
    assert line['logger'] == 'uvicorn.error'
