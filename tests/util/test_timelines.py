"""Timelines of requests and programs from the log lines of all processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from click.testing import CliRunner

from acaciaramp.cmd.main import main
from acaciaramp.util.timelines import (
    cause_of,
    format_timeline,
    parse_lines,
    select_lines,
)

if TYPE_CHECKING:
    import pathlib


def line(ts: int, event: str, **fields: Any) -> dict[str, Any]:
    return {'ts': ts, 'process': 'entry-1', 'event': event, **fields}


OPEN = line(1_000, 'A turn is open.', attempt='a', program='p')
CHOSEN = line(1_010, 'An endpoint was chosen.', attempt='a', endpoint='e-1')
REFUSED = line(
    1_250,
    'A request was refused.',
    attempt='a',
    program='p',
    code='rate_limited',
    verdict='not_run',
    reason='no token',
)
OTHER = line(1_005, 'A turn is open.', attempt='b', program='q')
SETTLED = line(1_300, 'A turn counts at its most.', attempt='a', program='p')
ALL = [REFUSED, OTHER, CHOSEN, OPEN, SETTLED]


@pytest.mark.parametrize('name', ['a', 'p'])
def test_a_timeline_is_ordered_and_excludes_other_requests(name: str) -> None:
    assert select_lines(name, ALL) == [OPEN, CHOSEN, REFUSED, SETTLED]


def test_lines_without_a_log_object_are_skipped() -> None:
    texts = [
        'Traceback (most recent call last):',
        '{"half": ',
        '{"other": "object"}',
        f'  12.5 entry-1 {json.dumps(OPEN)}',
    ]
    assert list(parse_lines(texts)) == [OPEN]


@pytest.mark.parametrize(
    ('last', 'cause'),
    [
        (REFUSED, 'rate_limited (not_run): no token'),
        (
            line(2, 'An answer was broken off.', reason='cut'),
            'the answer was broken off: cut',
        ),
        (
            line(2, 'The caller has gone.'),
            'the caller closed its connection before the answer',
        ),
        (
            line(2, 'A request was answered.', status=200, took_ms=9),
            'none: answered 200 in 9 ms',
        ),
        (
            CHOSEN,
            'unknown: the entry wrote nothing more of it; did its process end?',
        ),
    ],
)
def test_the_last_outcome_is_the_cause(
    last: dict[str, Any], cause: str
) -> None:
    assert cause_of([OPEN, last, SETTLED]) == cause


def test_times_are_relative_to_the_first_line() -> None:
    output = list(format_timeline([OPEN, REFUSED]))
    assert output[1].startswith('   0.250 s  entry-1: A request was refused.')
    assert output[-1].startswith('cause: rate_limited')


def test_explain_command_reads_log_files(tmp_path: pathlib.Path) -> None:
    files: list[str] = []
    for number, logged in enumerate(ALL):
        path = tmp_path / f'{number}.log'
        path.write_text(json.dumps(logged), encoding='utf-8')
        files.extend(('--logs', str(path)))
    found = CliRunner().invoke(main, ['explain', 'a', *files])
    assert found.output.splitlines()[-1] == (
        'cause: rate_limited (not_run): no token'
    )
    unknown = CliRunner().invoke(main, ['explain', 'zzz', *files])
    assert unknown.exit_code == 1


def test_explain_command_requires_a_source() -> None:
    assert CliRunner().invoke(main, ['explain', 'a']).exit_code == 2
