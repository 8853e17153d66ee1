"""An event loop whose time passes only while nothing is left to do.

Tests of timers run on it at once and always alike: a machine that is busy, or a disk
that is slow, does not make a timer fire before the message that it waits for.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.clock import MS_PER_SECOND, SystemClock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_SYNC_S = 0.002


class LoopClock(SystemClock):
    """The system clock, with the time of the event loop."""

    def now_ms(self) -> int:
        """Return milliseconds of the event loop's time."""
        return int(anyio.current_time() * MS_PER_SECOND)


class _Selector(selectors.DefaultSelector):
    """A selector that moves its time on instead of waiting.

    Attributes:
        now_s: Its time, seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; without anything, let the timeout pass."""
        if timeout is None:
            raise RuntimeError('the loop would wait without a timer')
        ready = super().select(0)
        if not ready:
            self.now_s += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time, seconds."""
        return self._virtual.now_s


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine function on a loop with virtual time.

    It must not wait for threads or other processes.
    """
    anyio.run(main, backend_options={'loop_factory': _Loop})


async def run_at_once(function: Callable[..., Any], *args: Any) -> Any:
    """Stand in for ``anyio.to_thread.run_sync`` of a sync, without a thread."""
    await anyio.sleep(_SYNC_S)
    return function(*args)
