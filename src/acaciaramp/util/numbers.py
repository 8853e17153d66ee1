"""Parsing of numbers in untrusted text."""

from __future__ import annotations

import re

# Larger numbers are read as this one, which every encoding here can hold.
MAX_COUNT = 1_000_000_000_000_000
_MAX_DIGITS = 15
_DECIMAL = re.compile(r'\d{1,15}(\.\d{1,15})?', re.ASCII)


def parse_count(text: str) -> int | None:
    """Return a whole number from 0 to ``MAX_COUNT``.

    Args:
        text: ASCII digits, without white space.

    Returns:
        The number; None if the text is anything else.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0') or '0'
    return MAX_COUNT if len(digits) > _MAX_DIGITS else int(digits)


def parse_decimal(text: str) -> float | None:
    """Return a number that is not negative.

    Args:
        text: ASCII digits, optionally with a decimal point and more digits.

    Returns:
        The number; None if the text is anything else or too long.
    """
    return float(text) if _DECIMAL.fullmatch(text) else None
