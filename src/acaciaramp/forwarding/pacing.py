"""Lets other tasks run while responses arrive in many small parts.

Answers endpoints that send tiny chunks or events without end. Once read, such parts
are parsed and passed on without any wait between them, so that a single read of
64 KiB may keep the event loop busy for seconds: links to other instances look dead, and
ordinary requests wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

# A part takes up to 0.1 ms, and what is long up to 0.1 ms per 1 KiB, on its way
# from the parser to the caller.
_PARTS_IN_TURN = 32
_BYTES_IN_TURN = 65_536
# A turn that takes longer has waited for its parts, so that others had their time.
_LONGEST_TURN_MS = 100
# Bounds the pause after a turn that something else has made long.
_LONGEST_PAUSE_MS = 20


class RelayTurns:
    """Turns of the responses that are relayed in many parts, one at a time.

    All of them together get about half of the time of the event loop. A response
    whose parts arrive with waits between them needs no turn.
    """

    def __init__(self, clock: Clock) -> None:
        """Create it without responses.

        Args:
            clock: Measures the turns.
        """
        self._clock = clock
        self._lock = anyio.Lock()

    def open(self) -> RelayPace:
        """Return the pace of a new response."""
        return RelayPace(self, self._clock)

    async def pause(self, took_ms: int) -> None:
        """Wait for the next turn.

        Args:
            took_ms: How long the last turn took.
        """
        if took_ms > _LONGEST_TURN_MS:
            await anyio.lowlevel.checkpoint()
            return
        async with self._lock:
            await self._clock.sleep_ms(min(took_ms, _LONGEST_PAUSE_MS))


class RelayPace:
    """Pace of one response.

    A turn ends after some parts or bytes.
    """

    def __init__(self, turns: RelayTurns, clock: Clock) -> None:
        """Create the pace; the first turn begins."""
        self._turns = turns
        self._clock = clock
        self._parts = 0
        self._bytes = 0
        self._began_ms = clock.now_ms()

    async def record_part(self, size: int) -> None:
        """Record that a part was relayed; wait if the turn is over."""
        self._parts += 1
        self._bytes += size
        if self._parts < _PARTS_IN_TURN and self._bytes < _BYTES_IN_TURN:
            return
        await self._turns.pause(self._clock.now_ms() - self._began_ms)
        self._parts = 0
        self._bytes = 0
        self._began_ms = self._clock.now_ms()
