"""Selects the programs to end and the records of ended ones to remove."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.records import EndReason, ProgramState

if TYPE_CHECKING:
    from acaciaramp.ids import ProgramId
    from acaciaramp.programs.state_machine import Programs
    from acaciaramp.records import Program


def expiry_reason(record: Program, now_ms: int) -> EndReason | None:
    """Return why a program has to be ended now, or None if it may continue.

    Args:
        record: The program.
        now_ms: Wall time, milliseconds.
    """
    if record.state is ProgramState.ENDED:
        return None
    if now_ms >= record.deadline_ms:
        return EndReason.DEADLINE
    is_idle = record.running_step is None
    if is_idle and now_ms >= record.touched_ms + record.idle_ms:
        return EndReason.IDLE
    return None


def is_removable(record: Program, now_ms: int, retention_s: int) -> bool:
    """Return whether an ended program has passed its retention period.

    Args:
        record: The program.
        now_ms: Wall time, milliseconds.
        retention_s: How long an ended program stays readable, seconds.
    """
    if (
        record.state is not ProgramState.ENDED
        or record.running_step is not None
    ):
        return False
    return now_ms >= record.touched_ms + retention_s * MS_PER_SECOND


def find_expired(
    state: Programs, now_ms: int
) -> list[tuple[ProgramId, EndReason]]:
    """Return the programs that have to be ended now, with the reasons."""
    expired = []
    for record in state.by_id.values():
        reason = expiry_reason(record, now_ms)
        if reason is not None:
            expired.append((record.program, reason))
    return expired


def find_removable(
    state: Programs, now_ms: int, retention_s: int
) -> list[ProgramId]:
    """Return the ended programs that have passed their retention period."""
    return [
        record.program
        for record in state.by_id.values()
        if is_removable(record, now_ms, retention_s)
    ]
