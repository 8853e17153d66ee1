"""No sliding window gets more than rate and burst allow."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.clock import ManualClock
from acaciaramp.limits.window import WindowLimit

RATE = 7
BURST = 9
WINDOW_MS = 3_000
MOST = 30


def make_limit(clock: ManualClock) -> WindowLimit:
    return WindowLimit(RATE, BURST, WINDOW_MS, clock)


def consume(limit: WindowLimit, tries: int) -> int:
    return sum(limit.try_consume() for _ in range(tries))


@given(st.lists(st.tuples(st.integers(0, 900), st.integers(0, 20))))
def test_no_span_gets_more_than_it_may(steps: list[tuple[int, int]]) -> None:
    clock = ManualClock()
    limit = make_limit(clock)
    used_ms: list[int] = []
    for pause_ms, tries in steps:
        clock.advance(pause_ms)
        used_ms += [clock.now_ms()] * consume(limit, tries)
    for first, start_ms in enumerate(used_ms):
        for count, end_ms in enumerate(used_ms[first:], 1):
            assert count <= MOST or end_ms - start_ms >= WINDOW_MS


def test_wait_is_long_enough_and_not_longer() -> None:
    clock = ManualClock()
    limit = make_limit(clock)
    for _ in range(40):
        consume(limit, 11)
        wait_ms = limit.wait_ms()
        assert wait_ms is not None
        if wait_ms:
            clock.advance(wait_ms - 1)
            assert not limit.has_token()
            clock.advance(1)
        assert limit.has_token()


def test_reserve_is_kept() -> None:
    clock = ManualClock()
    limit = make_limit(clock)
    count = 0
    while limit.has_token(reserve=10):
        assert limit.try_consume()
        count += 1
    assert count == MOST - 10
    assert limit.has_token()


def test_limit_below_one_token_never_admits() -> None:
    clock = ManualClock()
    limit = WindowLimit(0.1, 0.5, 1_000, clock)
    assert not limit.has_token()
    assert limit.wait_ms() is None


def test_lower_limits_drop_tokens() -> None:
    clock = ManualClock()
    limit = make_limit(clock)
    assert consume(limit, 20) == 20
    limit.set_limits(1, 2)
    assert consume(limit, 100) == 0
    clock.advance(WINDOW_MS)
    assert consume(limit, 100) == 5
