"""Exponential backoff with full jitter between attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from acaciaramp.settings.model import Retries

_MULTIPLIER = 2


def backoff_ms(settings: Retries, attempt: int, rng: random.Random) -> int:
    """Return the backoff after a failed attempt, in milliseconds.

    The value is uniform between 0 and the exponential bound (full jitter).

    Args:
        settings: Initial and maximum backoff.
        attempt: Number of the failed attempt, starting at 0.
        rng: Random number generator for the jitter.
    """
    bound_ms = settings.backoff_ms * _MULTIPLIER**attempt
    return rng.randint(0, min(bound_ms, settings.backoff_max_ms))
