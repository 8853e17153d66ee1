"""Findings of the checks of configs and documents."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping


class Severity(enum.Enum):
    """What a finding means.

    Attributes:
        ERROR: The file is rejected as a whole.
        WARNING: It is accepted, but a part has no effect or contradicts
            another one.
        DIFFERENCE: It differs from the file that it is compared with.
    """

    ERROR = 'error'
    WARNING = 'warning'
    DIFFERENCE = 'difference'


class Finding(msgspec.Struct, frozen=True, order=True):
    """One finding.

    Attributes:
        place: The entry that it is about.
        text: What was found.
        severity: What it means.
    """

    place: str
    text: str
    severity: Severity = Severity.WARNING

    def __str__(self) -> str:
        """Return place and text, as in messages."""
        return f'{self.place}: {self.text}'


# Fields whose values must not be printed.
_SECRETS = frozenset(('keys',))


def compare_entries(
    kind: str,
    old: Mapping[str, Mapping[str, Any]],
    new: Mapping[str, Mapping[str, Any]],
) -> Iterator[Finding]:
    """Yield the differences between two sets of named entries.

    Args:
        kind: What the entries are.
        old: Fields of the earlier entries by name.
        new: Fields of the later entries by name.
    """
    for name in sorted({*old, *new}):
        place = f'{kind} "{name}"'
        if name not in new:
            yield _difference(place, 'is removed')
        elif name not in old:
            yield _difference(place, 'is added')
        else:
            yield from compare_fields(place, old[name], new[name])


def compare_fields(
    place: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Finding]:
    """Yield the differences between two versions of one entry.

    Args:
        place: The entry.
        old: Its earlier fields.
        new: Its later fields.
    """
    for field in sorted({*old, *new}):
        if old.get(field) == new.get(field):
            continue
        change = f'from {old.get(field)} to {new.get(field)}'
        if field in _SECRETS:
            change = f'from {len(old[field])} to {len(new[field])}, not shown'
        yield _difference(place, f'{field} changes {change}')


def duplicates(keys: Iterable[str]) -> list[str]:
    """Return the keys that occur more than once, in their order."""
    counts = collections.Counter(keys)
    return [key for key, count in counts.items() if count > 1]


def _difference(place: str, text: str) -> Finding:
    return Finding(place, text, Severity.DIFFERENCE)
