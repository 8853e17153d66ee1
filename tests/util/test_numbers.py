"""Numbers in untrusted text never raise and stay within 64 bits."""

from __future__ import annotations

import pytest

from acaciaramp.util.numbers import MAX_COUNT, parse_count


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        ('0', 0),
        ('0012', 12),
        ('999999999999999', 999_999_999_999_999),
        ('9' * 5_000, MAX_COUNT),
        ('0' * 5_000 + '7', 7),
        ('', None),
        ('-1', None),
        ('1.5', None),
        (' 1', None),
        ('\u00b2', None),
        ('\u0663', None),
    ],
)
def test_counts_are_parsed(text: str, number: int | None) -> None:
    assert parse_count(text) == number
