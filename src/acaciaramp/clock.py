"""Clocks, injected wherever time is read; all times are in milliseconds."""

from __future__ import annotations

import heapq
import itertools
import time
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol, Self

from anyio import CancelScope, Event, current_time, lowlevel, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_SECOND = 1000
# A step of the wall clock by seconds that is taken back within seconds then
# moves stored times by a few hundredths of a second.
_MS_PER_SLEWED_MS = 100
# Bounds what is taken over at once after a long time without a reading.
LONGEST_SLEW_MS = 10
_NS_PER_MS = 1_000_000


class Timeout(Protocol):
    """A context manager that raises ``TimeoutError`` at its deadline."""

    def restart(self, duration_ms: int) -> None:
        """Move the deadline to ``duration_ms`` from now."""
        ...

    def __enter__(self) -> Self:
        """Enter the context."""
        ...

    def __exit__(self, *exc_info: Any) -> bool | None:
        """Exit; raise ``TimeoutError`` if the deadline cancelled the body."""
        ...


class Clock(Protocol):
    """Source of time and of timers."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds; only differences are meaningful."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since 1970-01-01 UTC, for stored times only."""
        ...

    async def sleep_ms(self, duration_ms: int) -> None:
        """Sleep for ``duration_ms`` milliseconds."""
        ...

    def timeout(self, duration_ms: int) -> Timeout:
        """Return a context manager that limits the duration of its body.

        Args:
            duration_ms: Time after which the body is cancelled and
                ``TimeoutError`` is raised, milliseconds.
        """
        ...


class SystemClock:
    """The system clock; ``now_ms`` includes time while the host is suspended.

    Stored times decide when programs expire. ``wall_ms`` therefore follows the
    monotonic clock and takes over steps of the host's time of day only slowly.
    """

    def __init__(self) -> None:
        """Read the time of day of the host."""
        self._read_ms = self.now_ms()
        self._offset_ms = _host_wall_ms() - self._read_ms

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970-01-01 UTC; they never go back."""
        now_ms = self.now_ms()
        allowed_ms = (now_ms - self._read_ms) // _MS_PER_SLEWED_MS
        if allowed_ms:
            self._read_ms = now_ms
            allowed_ms = min(allowed_ms, LONGEST_SLEW_MS)
            step_ms = _host_wall_ms() - now_ms - self._offset_ms
            self._offset_ms += max(-allowed_ms, min(step_ms, allowed_ms))
        return now_ms + self._offset_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Sleep for ``duration_ms`` milliseconds."""
        await sleep(duration_ms / MS_PER_SECOND)

    def timeout(self, duration_ms: int) -> Timeout:
        """Return a context manager that limits the duration of its body."""
        return _SystemTimeout(duration_ms)


def _host_wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS


class _ScopeTimeout:
    """A timeout that cancels its body through an anyio cancel scope."""

    def __init__(self) -> None:
        self._scope = CancelScope()

    def __enter__(self) -> Self:
        self._scope.__enter__()
        return self

    def __exit__(self, *exc_info: Any) -> bool:
        is_swallowed = self._scope.__exit__(*exc_info)
        if self._scope.cancelled_caught:
            raise TimeoutError
        return bool(is_swallowed)


class _SystemTimeout(_ScopeTimeout):
    """A timeout measured by the event loop's clock."""

    def __init__(self, duration_ms: int) -> None:
        super().__init__()
        self.restart(duration_ms)

    def restart(self, duration_ms: int) -> None:
        """Move the deadline to ``duration_ms`` from now."""
        self._scope.deadline = current_time() + duration_ms / MS_PER_SECOND


class _Timer(NamedTuple):
    """A callback of a manual clock; ``order`` breaks ties of ``due_ms``."""

    due_ms: int
    order: int
    fire: Callable[[], None]


class ManualClock:
    """A clock for tests that moves only when ``advance`` is called."""

    def __init__(self, start_ms: int = 0) -> None:
        """Create the clock at ``start_ms``."""
        self._now_ms = start_ms
        self._order = itertools.count()
        self._timers: list[_Timer] = []

    def now_ms(self) -> int:
        """Return the time set by the calls of ``advance``."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same time as ``now_ms``."""
        return self._now_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Sleep until ``advance`` has moved the clock by ``duration_ms``."""
        if duration_ms <= 0:
            await lowlevel.checkpoint()
            return
        fired = Event()
        self.schedule(duration_ms, fired.set)
        await fired.wait()

    def timeout(self, duration_ms: int) -> Timeout:
        """Return a context manager that limits the duration of its body."""
        return _ManualTimeout(self, duration_ms)

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward and run the callbacks that are due."""
        self._now_ms += duration_ms
        while self._timers and self._timers[0].due_ms <= self._now_ms:
            callback = heapq.heappop(self._timers).fire
            callback()

    def schedule(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Call back once ``advance`` has moved the clock by ``delay_ms``."""
        due_ms = self._now_ms + delay_ms
        heapq.heappush(
            self._timers, _Timer(due_ms, next(self._order), callback)
        )


class _ManualTimeout(_ScopeTimeout):
    """A timeout measured by a manual clock."""

    def __init__(self, clock: ManualClock, duration_ms: int) -> None:
        super().__init__()
        self._clock = clock
        self._due_ms = 0
        self.restart(duration_ms)

    def restart(self, duration_ms: int) -> None:
        """Move the deadline to ``duration_ms`` from now."""
        self._due_ms = self._clock.now_ms() + duration_ms
        self._clock.schedule(duration_ms, self._on_due)

    def _on_due(self) -> None:
        if self._clock.now_ms() >= self._due_ms:
            self._scope.cancel()
