"""The wall time of the system clock follows jumps of the host's only slowly."""

from __future__ import annotations

import time

import pytest

from acaciaramp import clock as clock_module
from acaciaramp.clock import SystemClock

START_NS = 1_700_000_000_000_000_000
NS_PER_MS = 1_000_000


class Host:
    """Clocks of a host.

    Attributes:
        wall_ns: Its time of day, nanoseconds.
        boot_ns: Its monotonic time, nanoseconds.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Replace the clocks that ``SystemClock`` reads."""
        self.wall_ns = START_NS
        self.boot_ns = 5 * NS_PER_MS
        monkeypatch.setattr(time, 'time_ns', lambda: self.wall_ns)
        monkeypatch.setattr(time, 'clock_gettime_ns', lambda _: self.boot_ns)

    def advance(self, duration_ms: int) -> None:
        """Let time pass on both clocks."""
        self.wall_ns += duration_ms * NS_PER_MS
        self.boot_ns += duration_ms * NS_PER_MS


@pytest.mark.parametrize('jump_ms', [-8_000, 8_000])
def test_jump_that_is_taken_back_hardly_moves_the_wall_time(
    monkeypatch: pytest.MonkeyPatch, jump_ms: int
) -> None:
    # A deadline or an expiry that is stored as a wall time would come early.
    host = Host(monkeypatch)
    clock = SystemClock()
    host.wall_ns += jump_ms * NS_PER_MS
    for _ in range(100):
        host.advance(100)
        expected_ms = START_NS // NS_PER_MS + (host.boot_ns // NS_PER_MS - 5)
        assert abs(clock.wall_ms() - expected_ms) <= 100
    host.wall_ns -= jump_ms * NS_PER_MS
    host.advance(100)
    expected_ms += 100
    assert abs(clock.wall_ms() - expected_ms) <= 100


def test_jump_that_stays_is_followed(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host(monkeypatch)
    clock = SystemClock()
    host.wall_ns += 2_000 * NS_PER_MS
    for _ in range(250):
        host.advance(1_000)
        clock.wall_ms()
    assert clock.wall_ms() == host.wall_ns // NS_PER_MS


def test_wall_time_never_goes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Host(monkeypatch)
    clock = SystemClock()
    previous_ms = clock.wall_ms()
    host.wall_ns -= 5_000 * NS_PER_MS
    for _ in range(200):
        host.advance(7)
        now_ms = clock.wall_ms()
        assert now_ms >= previous_ms
        previous_ms = now_ms


def test_long_time_without_a_reading_does_not_let_a_jump_through(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Host(monkeypatch)
    clock = SystemClock()
    host.advance(3_600_000)
    host.wall_ns += 5_000 * NS_PER_MS
    expected_ms = START_NS // NS_PER_MS + 3_600_000
    assert clock.wall_ms() - expected_ms <= clock_module.LONGEST_SLEW_MS
