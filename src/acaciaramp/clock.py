"""The clock: all times in milliseconds, injected wherever time is read."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple, Protocol

from anyio import CancelScope, Event, fail_after, lowlevel, sleep

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MS_PER_SECOND = 1000
_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of time and of timers."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds; only differences have a meaning."""
        ...

    def wall_ms(self) -> int:
        """Return milliseconds since 1970-01-01 UTC; for records only."""
        ...

    async def sleep_ms(self, duration_ms: int) -> None:
        """Return after ``duration_ms`` milliseconds."""
        ...

    def timeout(
        self, duration_ms: int
    ) -> contextlib.AbstractContextManager[object]:
        """Return a context that raises ``TimeoutError`` when it lasts longer.

        Args:
            duration_ms: The longest time that the body may take.
        """
        ...


class SystemClock:
    """The machine's own clock."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since 1970-01-01 UTC."""
        return time.time_ns() // _NS_PER_MS

    async def sleep_ms(self, duration_ms: int) -> None:
        """Return after ``duration_ms`` milliseconds."""
        await sleep(duration_ms / MS_PER_SECOND)

    def timeout(
        self, duration_ms: int
    ) -> contextlib.AbstractContextManager[object]:
        """Return a context that raises ``TimeoutError`` when it lasts longer."""
        return fail_after(duration_ms / MS_PER_SECOND)


class _Timer(NamedTuple):
    due_ms: int
    order: int
    fire: Callable[[], None]


class ManualClock:
    """A clock that moves only when ``advance`` is called."""

    def __init__(self, start_ms: int = 0) -> None:
        """Create the clock at ``start_ms``."""
        self._now_ms = start_ms
        self._order = itertools.count()
        self._timers: list[_Timer] = []

    def now_ms(self) -> int:
        """Return the time that the last ``advance`` reached."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same time as ``now_ms``."""
        return self._now_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Return once ``advance`` has passed ``duration_ms``."""
        if duration_ms <= 0:
            await lowlevel.checkpoint()
            return
        fired = Event()
        self._schedule(duration_ms, fired.set)
        await fired.wait()

    @contextlib.contextmanager
    def timeout(self, duration_ms: int) -> Iterator[None]:
        """Raise ``TimeoutError`` if the body outlasts ``duration_ms``."""
        scope = CancelScope()
        self._schedule(duration_ms, scope.cancel)
        with scope:
            yield
        if scope.cancelled_caught:
            raise TimeoutError

    def advance(self, duration_ms: int) -> None:
        """Move the time on and fire the timers that are due."""
        self._now_ms += duration_ms
        while self._timers and self._timers[0].due_ms <= self._now_ms:
            fire = heapq.heappop(self._timers).fire
            fire()

    def _schedule(self, delay_ms: int, fire: Callable[[], None]) -> None:
        due_ms = self._now_ms + delay_ms
        heapq.heappush(self._timers, _Timer(due_ms, next(self._order), fire))
