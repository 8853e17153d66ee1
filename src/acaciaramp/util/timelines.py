"""Builds the timeline of a request or a program from JSON log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    Line = dict[str, Any]

# Fields that every line has and that carry no details of the event.
_COMMON_FIELDS = frozenset(('ts', 'level', 'process', 'part', 'event'))
_MS_PER_SECOND = 1_000

_decoder = msgspec.json.Decoder(dict[str, Any])


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines among lines of text.

    Text in front of a JSON object, such as a time stamp, is ignored. Lines
    without a log object, such as tracebacks or output of other programs, are
    skipped.

    Args:
        texts: Lines of text, from any number of processes.
    """
    for text in texts:
        _, brace, tail = text.partition('{')
        if not brace:
            continue
        try:
            line = _decoder.decode(brace + tail.strip())
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if 'ts' in line and 'event' in line:
            yield line


def select_lines(name: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines about a request or a program, ordered by time.

    The lines of a program include those of its requests.

    Args:
        name: The id of the request or of the program.
        lines: Log lines of all processes, in any order.
    """
    candidates = list(lines)
    attempts = {
        line['attempt']
        for line in candidates
        if line.get('program') == name and 'attempt' in line
    }
    subjects = attempts | {name}
    found = [line for line in candidates if _subject_of(line) in subjects]
    return sorted(found, key=lambda line: line['ts'])


def format_timeline(timeline: list[Line]) -> Iterator[str]:
    """Yield one line of text per log line, then the cause of the outcome.

    Args:
        timeline: Log lines of one request or program, ordered by time.
    """
    for line in timeline:
        elapsed_s = (line['ts'] - timeline[0]['ts']) / _MS_PER_SECOND
        fields = ' '.join(
            f'{name}={text}'
            for name, text in line.items()
            if name not in _COMMON_FIELDS
        )
        yield f'{elapsed_s:8.3f} s  {line["process"]}: {line["event"]} {fields}'
    yield f'cause: {cause_of(timeline)}'


def cause_of(timeline: list[Line]) -> str:
    """Return why a request, or the last one of a program, ended as it did.

    Args:
        timeline: Log lines of the request or program, ordered by time.
    """
    for line in reversed(timeline):
        event = line['event']
        if event == 'A request was refused.':
            return f'{line["code"]} ({line["verdict"]}): {line["reason"]}'
        if event == 'An answer was broken off.':
            return f'the answer was broken off: {line["reason"]}'
        if event == 'The caller has gone.':
            return 'the caller closed its connection before the answer'
        if event == 'A request was answered.':
            return f'none: answered {line["status"]} in {line["took_ms"]} ms'
    return 'unknown: the entry wrote nothing more of it; did its process end?'


def _subject_of(line: Line) -> object:
    return line.get('attempt', line.get('program'))
