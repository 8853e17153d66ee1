"""Finds the story of a request or a program in log lines of all processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    Line = dict[str, Any]

# Fields that stand in every line and say nothing of the matter itself.
_FRAME = frozenset(('ts', 'level', 'process', 'part', 'event'))
_MS_PER_SECOND = 1_000

_decoder = msgspec.json.Decoder(dict[str, Any])


def parse_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Yield the objects among some lines of text.

    What stands before the object in its line is left out, and so are lines
    without one: traces of errors, or output of other programs.
    """
    for text in texts:
        _, brace, rest = text.partition('{')
        if not brace:
            continue
        try:
            line = _decoder.decode(brace + rest.strip())
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        if 'ts' in line and 'event' in line:
            yield line


def select_lines(name: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines about a request or a program, in order.

    Args:
        name: The id of the request or of the program.
        lines: Lines of all processes.
    """
    known = list(lines)
    attempts = {
        line['attempt']
        for line in known
        if line.get('program') == name and 'attempt' in line
    }
    wanted = attempts | {name}
    found = [line for line in known if _subject(line) in wanted]
    return sorted(found, key=lambda line: line['ts'])


def format_timeline(story: list[Line]) -> Iterator[str]:
    """Yield a story as sentences, and the cause of its end as the last one."""
    for line in story:
        since_s = (line['ts'] - story[0]['ts']) / _MS_PER_SECOND
        fields = ' '.join(
            f'{name}={text}'
            for name, text in line.items()
            if name not in _FRAME
        )
        yield f'{since_s:8.3f} s  {line["process"]}: {line["event"]} {fields}'
    yield f'cause: {cause_of(story)}'


def cause_of(story: list[Line]) -> str:
    """Return why a request or the last one of a program ended as it did."""
    for line in reversed(story):
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


def _subject(line: Line) -> object:
    return line.get('attempt', line.get('program'))
