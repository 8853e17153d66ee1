"""Uneven demand on uneven endpoints: what callers get, and which paths are used."""

from __future__ import annotations

import pytest

from tests.forwarding.uneven_load import Outcome, UnevenLoad, merge

SEEDS = (1, 2)
DURATION_MS = 10_000
STAYS_MS = 60_000
CHANGES_MS = 600


def play(slow_ms: int, per_s: int, *, states_duration: bool) -> Outcome:
    """Return the outcome of several plays together."""
    loads = [
        UnevenLoad(seed, slow_ms=slow_ms, states_duration=states_duration)
        for seed in SEEDS
    ]
    return merge([load.run(per_s, DURATION_MS) for load in loads])


@pytest.mark.parametrize('per_s', [50, 90])
def test_requests_are_on_time_while_some_endpoints_are_slow(
    per_s: int,
) -> None:
    """Guards against requests for slow endpoints while others have free slots.

    By the earlier cost, one in eight requests is late.
    """
    earlier = play(STAYS_MS, per_s, states_duration=False)
    outcome = play(STAYS_MS, per_s, states_duration=True)
    assert earlier.on_time < 0.9
    assert outcome.on_time > 0.95
    assert outcome.mean_ms < 0.9 * earlier.mean_ms
    assert outcome.zone_crossings < 0.6 * earlier.zone_crossings


def test_speeds_that_change_within_a_request_cause_no_queues() -> None:
    """Guards against all instances choosing the endpoint that was idle last.

    Without a random load, 0.87 of the requests are on time; without that and
    the requests that peers have sent, 0.82.
    """
    earlier = play(CHANGES_MS, 75, states_duration=False)
    outcome = play(CHANGES_MS, 75, states_duration=True)
    assert outcome.on_time > 0.9
    assert outcome.on_time > earlier.on_time - 0.03
    assert outcome.longest_queue <= 12
    assert outcome.zone_crossings < earlier.zone_crossings
    assert not outcome.region_crossings
