"""JSON lines are written without blocking, and dropped lines are counted."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

import pytest

from acaciaramp.util.jsonlines import JsonLineWriter

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_each_line_is_one_json_object(pipe: tuple[int, int]) -> None:
    writer = JsonLineWriter('entry-1', pipe[1])
    writer.write('info', 'gateway', 'A request was answered.', {'status': 200})
    found = json.loads(os.read(pipe[0], 10_000))
    assert found.pop('ts') > 0
    assert found == {
        'level': 'info',
        'process': 'entry-1',
        'part': 'gateway',
        'event': 'A request was answered.',
        'status': 200,
    }


def test_values_of_other_types_are_written_as_strings(
    pipe: tuple[int, int],
) -> None:
    JsonLineWriter('a', pipe[1]).write(
        'error', 'p', 'e', {'reason': OSError('x')}
    )
    assert json.loads(os.read(pipe[0], 10_000))['reason'] == 'x'


def test_a_stalled_reader_does_not_block_the_writer(
    pipe: tuple[int, int],
) -> None:
    writer = JsonLineWriter('a', pipe[1])
    for number in range(20_000):
        writer.write('warning', 'p', 'e', {'number': number})
    text = b''
    for _ in range(10):
        text += _read_all(pipe[0])
        writer.write('warning', 'p', 'last', {})
    found = [
        json.loads(line) for line in (text + _read_all(pipe[0])).splitlines()
    ]
    assert found[-1]['event'] == 'last'
    left_out = sum(line.get('left_out', 0) for line in found)
    assert left_out > 0
    assert left_out + len(found) == 20_010


def test_info_lines_are_rate_limited(pipe: tuple[int, int]) -> None:
    writer = JsonLineWriter('a', pipe[1])
    for _ in range(3_000):
        writer.write('info', 'p', 'e', {})
    assert _read_all(pipe[0]).count(b'\n') < 1_000


def test_a_closed_reader_does_not_fail_the_writer() -> None:
    reader, sink = os.pipe()
    os.close(reader)
    writer = JsonLineWriter('a', sink)
    writer.write('error', 'p', 'e', {})
    writer.write('error', 'p', 'e', {})
    os.close(sink)


def _read_all(reader: int) -> bytes:
    os.set_blocking(reader, False)
    found = b''
    while True:
        try:
            found += os.read(reader, 1_000_000)
        except BlockingIOError:
            return found
