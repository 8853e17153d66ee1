"""Demand: what decides which request is served first while capacity is short."""

from __future__ import annotations

import hashlib

import msgspec

_POSITION_BYTES = 4
_POSITIONS = float(1 << (8 * _POSITION_BYTES))


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """A request's claim to capacity.

    Requests of sub-agents and tool calls carry their program's id and rank as
    its turns do.

    Attributes:
        priority: Priority of its workspace or route; 0 is the highest.
        is_running: Whether its program has been admitted before.
        latest_start_ms: Time, on the clock of the process, after which it cannot
            be served within its own time limit.
        program_start_ms: Time after which its program is expected to end late;
            None if its program has no deadline.
        position: Position of its program among all programs, 0 up to 1. All
            instances compute the same one, so that they admit the same programs.
    """

    priority: int
    is_running: bool
    latest_start_ms: int
    program_start_ms: int | None = None
    position: float = 0

    def order(self, now_ms: int) -> tuple[int, bool, bool, int]:
        """Return a key that is lower for demand that is served earlier.

        By priority, then running programs before new ones, then the least slack.
        Programs that are late already rank behind those of the same kind that
        can still end in time: serving the most overdue ones first would make
        every program late during an overload.

        Args:
            now_ms: Current time on the clock of the process.
        """
        due_ms = self.program_start_ms
        is_late = due_ms is not None and due_ms < now_ms
        if due_ms is None or is_late:
            due_ms = self.latest_start_ms
        return self.priority, not self.is_running, is_late, due_ms


def position_of(key: str) -> float:
    """Return the position of a program or request id, 0 up to 1."""
    digest = hashlib.blake2b(key.encode(), digest_size=_POSITION_BYTES)
    return int.from_bytes(digest.digest(), 'big') / _POSITIONS
