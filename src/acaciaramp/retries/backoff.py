"""Pauses between attempts: exponential, with full jitter."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from acaciaramp.settings.model import Retries

_GROWTH = 2


def backoff_ms(settings: Retries, attempt: int, rng: random.Random) -> int:
    """Return the pause after a failed attempt, in milliseconds.

    Args:
        settings: First and longest pause.
        attempt: Number of the failed attempt, from 0.
        rng: Source of the jitter.
    """
    longest = settings.backoff_ms * _GROWTH**attempt
    return rng.randint(0, min(longest, settings.backoff_max_ms))
