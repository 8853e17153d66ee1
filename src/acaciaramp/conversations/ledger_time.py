"""Time of the ledger, by the monotonic clock of its leader.

Senders stamp commands with their wall clocks, which differ and may jump. Only
the difference of two times in one command is used, since they were read from
one clock at one time. The leader replaces them by times of the ledger, which
go on from the last command that the leader has applied. Time in which nobody
leads is not counted, so that nothing expires early.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.conversations.messages import CloseTurn, OpenTurn

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.conversations.ledger import Ledger


class LedgerTime:
    """Stamps the commands that a leader proposes."""

    def __init__(self, ledger: Ledger, clock: Clock) -> None:
        """Create the time of the ledger on one instance.

        Args:
            ledger: The state machine; its time is that of the last command.
            clock: Measures the time since then.
        """
        self._ledger = ledger
        self._clock = clock
        self._term = -1
        self._offset_ms = 0

    def now_ms(self, term: int, sent_at_ms: int) -> int:
        """Return the present time of the ledger.

        An empty ledger takes the time of the first sender: an instance of a
        build without this class, which may lead later, compares the ledger's
        time with wall clocks.

        Args:
            term: The term of this leader.
            sent_at_ms: Wall-clock time at the sender.
        """
        local_ms = self._clock.now_ms()
        applied_ms = self._ledger.now_ms or sent_at_ms
        if term != self._term or local_ms + self._offset_ms < applied_ms:
            self._term = term
            self._offset_ms = applied_ms - local_ms
        return local_ms + self._offset_ms

    def stamp(
        self, command: OpenTurn | CloseTurn, term: int
    ) -> OpenTurn | CloseTurn:
        """Return a command with its times replaced by those of the ledger.

        Args:
            command: The command as its sender has stamped it.
            term: The term in which it is proposed.
        """
        at_ms = self.now_ms(term, command.at_ms)
        shift_ms = at_ms - command.at_ms
        if isinstance(command, OpenTurn):
            begins = command.begins
            if begins is not None:
                begins = msgspec.structs.replace(
                    begins, until_ms=begins.until_ms + shift_ms
                )
            return msgspec.structs.replace(command, at_ms=at_ms, begins=begins)
        kept = command.kept
        if kept is not None:
            kept = msgspec.structs.replace(
                kept, until_ms=kept.until_ms + shift_ms
            )
        return msgspec.structs.replace(command, at_ms=at_ms, kept=kept)
