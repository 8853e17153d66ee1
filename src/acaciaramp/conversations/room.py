"""Room for turns in the memory of a ledger's replica.

Answers clients whose long turns are retained faster than they expire. The leader
refuses to open a turn that finds no room, before any endpoint runs it; turns that are
open count with the size that their sender expects.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.conversations.ledger import LARGE_CONTENT_BYTES
from acaciaramp.util.caller_budget import BYTES_PER_MB, DEFAULT_MEMORY_MB

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.conversations.ledger import Ledger
    from acaciaramp.conversations.messages import OpenTurn, TurnKey

# Half of what small turns take are objects, which are in memory once. The rest of the
# memory is for an idle process, snapshots, the log, and frames.
_STATE_FRACTION = 0.25
# Contents are in memory three times while the log is compacted: as such, and in the
# old and the new snapshot. What is left of the state is kept for small turns, so that
# ordinary callers are served while others fill the ledger with long ones.
_LARGE_FRACTION = 0.09375
# A turn that was opened may turn out larger than its sender expected, and entries of
# builds that expect nothing do not reserve.
_CLOSE_FACTOR = 1.25
# A snapshot of large contents up to this times their limit fits into the memory.
_COMPACTED_FACTOR = 2
# Each chain that is sent is in memory several times until it is written.
_CHAINS_FRACTION = 0.03125
MAX_CHAIN_BYTES = 8_388_608
# An account, the key of the turn and the turn itself, besides its content.
_TURN_OVERHEAD_BYTES = 1_024


class RoomLimits(NamedTuple):
    """Limits on what the ledgers of one instance hold.

    Attributes:
        most_bytes: For all turns and accounts.
        most_large_bytes: For the contents of turns over 64 KiB.
        most_chain_bytes: For chains that are being sent.
    """

    most_bytes: int
    most_large_bytes: int
    most_chain_bytes: int

    @classmethod
    def of_machine(cls, memory_mb: int | None) -> RoomLimits:
        """Return the limits for a machine.

        Args:
            memory_mb: Memory of the process; None for the default.
        """
        memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        return cls(
            int(memory * _STATE_FRACTION),
            int(memory * _LARGE_FRACTION),
            int(memory * _CHAINS_FRACTION),
        )


class _Reservation(NamedTuple):
    """Room for an open turn.

    Attributes:
        size: Bytes that it may take.
        is_large: Whether it counts as a large turn.
        until_ms: When it is released, if the turn was not closed before.
    """

    size: int
    is_large: bool
    until_ms: int


class LedgerRoom:
    """Room for the turns of all ledgers of one instance.

    Reservations are those of the leader: a new one begins without any, and lets
    turns be closed up to a quarter over the limit.
    """

    def __init__(self, limits: RoomLimits, clock: Clock) -> None:
        """Create the room without ledgers.

        Args:
            limits: The limits.
            clock: Measures how long reservations last.
        """
        self.limits = limits
        self._clock = clock
        self._ledgers: list[Ledger] = []
        self._reserved: dict[TurnKey, _Reservation] = {}
        self._reserved_bytes = {True: 0, False: 0}

    def add(self, ledger: Ledger) -> None:
        """Let the turns of a ledger count."""
        self._ledgers.append(ledger)

    @property
    def held_bytes(self) -> int:
        """Bytes that the ledgers hold."""
        return sum(ledger.held_bytes for ledger in self._ledgers)

    @property
    def reserved_bytes(self) -> int:
        """Bytes that are reserved for open turns."""
        return sum(self._reserved_bytes.values())

    @property
    def is_half_full(self) -> bool:
        """Whether it is worth while to remove what has expired."""
        used_bytes = self.held_bytes + self.reserved_bytes
        large_bytes = self._held(is_large=True) + self._reserved_bytes[True]
        return (
            2 * used_bytes > self.limits.most_bytes
            or 2 * large_bytes > self.limits.most_large_bytes
        )

    def may_compact(self) -> bool:
        """Return whether there is memory for a snapshot.

        A state that another build or a larger machine has stored may be too large
        for one, until enough of it has expired.
        """
        most_bytes = _COMPACTED_FACTOR * self.limits.most_large_bytes
        return self._held(is_large=True) <= most_bytes

    def reserve(self, command: OpenTurn) -> bool:
        """Reserve room for a turn that is to be opened.

        Returns:
            Whether there is room. A single large turn gets it in any case.
        """
        if command.turn in self._reserved:
            return True
        self._release_expired()
        size = command.keeps_bytes + _TURN_OVERHEAD_BYTES
        is_large = command.keeps_bytes > LARGE_CONTENT_BYTES
        # Without a content to store, only the account of its program is new.
        factor = 1 if command.keeps_bytes else _CLOSE_FACTOR
        used_bytes = self._held(is_large=is_large)
        used_bytes += self._reserved_bytes[is_large]
        most_bytes = factor * self._most(is_large=is_large)
        if used_bytes and used_bytes + size > most_bytes:
            return False
        until_ms = self._clock.now_ms() + command.lasts_ms
        self._reserved[command.turn] = _Reservation(size, is_large, until_ms)
        self._reserved_bytes[is_large] += size
        return True

    def can_store(self, size: int) -> bool:
        """Return whether a turn of a size may be stored as it is closed."""
        is_large = size > LARGE_CONTENT_BYTES
        held_bytes = self._held(is_large=is_large)
        most_bytes = _CLOSE_FACTOR * self._most(is_large=is_large)
        return not held_bytes or held_bytes + size <= most_bytes

    def release(self, turn: TurnKey) -> None:
        """Release the reservation of a turn, if there is one."""
        released = self._reserved.pop(turn, None)
        if released is not None:
            self._reserved_bytes[released.is_large] -= released.size

    def _held(self, *, is_large: bool) -> int:
        """Return what large turns hold, or everything else."""
        large_bytes = sum(ledger.large_bytes for ledger in self._ledgers)
        return large_bytes if is_large else self.held_bytes - large_bytes

    def _most(self, *, is_large: bool) -> int:
        """Return what large turns may hold, or everything else.

        The room of large turns is for others as well while it is free. A state
        that another build has stored may have more than that of them.
        """
        if is_large:
            return self.limits.most_large_bytes
        large_bytes = min(
            self._held(is_large=True), self.limits.most_large_bytes
        )
        return self.limits.most_bytes - large_bytes

    def _release_expired(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            turn
            for turn, reserved in self._reserved.items()
            if reserved.until_ms < now_ms
        ]
        for turn in expired:
            self.release(turn)
