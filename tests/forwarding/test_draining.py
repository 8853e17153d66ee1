"""Which requests a stopping instance accepts."""

from __future__ import annotations

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.draining import Draining
from acaciaramp.verdicts import Verdict

ACCEPT_ALL_MS = 2_500
DRAIN_MS = 7_000
LIMIT_MS = 3_000


def accepts(draining: Draining, clock: ManualClock) -> bool:
    """Return whether a request with ``LIMIT_MS`` is accepted now."""
    try:
        draining.check(clock.now_ms() + LIMIT_MS)
    except CallError as exc:
        assert exc.refusal.code is ErrorCode.SHUTTING_DOWN
        assert exc.refusal.verdict is Verdict.NOT_RUN
        assert exc.refusal.retry_after_ms is not None
        return False
    return True


def test_a_running_instance_accepts_every_request() -> None:
    clock = ManualClock()
    draining = Draining(clock)
    clock.advance(DRAIN_MS)
    assert accepts(draining, clock)
    assert not draining.has_begun
    assert not draining.left_ms


@pytest.mark.parametrize(
    ('since_ms', 'is_accepted'),
    [
        (0, True),
        (ACCEPT_ALL_MS, True),
        (DRAIN_MS - LIMIT_MS, True),
        (DRAIN_MS - LIMIT_MS + 1, False),
        (DRAIN_MS, False),
        (2 * DRAIN_MS, False),
    ],
)
def test_a_request_is_accepted_if_it_ends_before_the_exit(
    since_ms: int, is_accepted: bool
) -> None:
    clock = ManualClock()
    draining = Draining(clock)
    draining.begin(ACCEPT_ALL_MS, DRAIN_MS)
    clock.advance(since_ms)
    assert accepts(draining, clock) is is_accepted
    assert draining.left_ms == max(0, DRAIN_MS - since_ms)


# Until the load balancer has noticed the stop, most callers come here; few of
# their requests need all of their time.
def test_long_requests_are_accepted_until_the_balancer_has_noticed() -> None:
    clock = ManualClock()
    draining = Draining(clock)
    draining.begin(ACCEPT_ALL_MS, DRAIN_MS)
    clock.advance(ACCEPT_ALL_MS - 1)
    draining.check(clock.now_ms() + DRAIN_MS)
    clock.advance(1)
    with pytest.raises(CallError):
        draining.check(clock.now_ms() + DRAIN_MS)


def test_a_short_grace_period_leaves_no_time_for_every_request() -> None:
    clock = ManualClock()
    draining = Draining(clock)
    draining.begin(ACCEPT_ALL_MS, drain_ms=1_000)
    clock.advance(1_000)
    assert not accepts(draining, clock)
