"""Tells which programs are over and which records are old."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.records import EndReason, ProgramState

if TYPE_CHECKING:
    from acaciaramp.ids import ProgramId
    from acaciaramp.programs.state_machine import Programs
    from acaciaramp.records import Program


def due_reason(record: Program, now_ms: int) -> EndReason | None:
    """Return why a program has to end now, None if it may go on.

    Args:
        record: The program.
        now_ms: Wall time, milliseconds.
    """
    if record.state is ProgramState.ENDED:
        return None
    if now_ms >= record.deadline_ms:
        return EndReason.DEADLINE
    is_idle = record.running is None
    if is_idle and now_ms >= record.touched_ms + record.idle_ms:
        return EndReason.IDLE
    return None


def is_forgettable(record: Program, now_ms: int, retention_s: int) -> bool:
    """Return whether an ended program has been kept long enough.

    Args:
        record: The program.
        now_ms: Wall time, milliseconds.
        retention_s: How long an ended program can be read, seconds.
    """
    if record.state is not ProgramState.ENDED or record.running is not None:
        return False
    return now_ms >= record.touched_ms + retention_s * MS_PER_SECOND


def overdue(state: Programs, now_ms: int) -> list[tuple[ProgramId, EndReason]]:
    """Return the programs that have to end now, with the reasons."""
    found = []
    for record in state.by_id.values():
        reason = due_reason(record, now_ms)
        if reason is not None:
            found.append((record.program, reason))
    return found


def forgettable(
    state: Programs, now_ms: int, retention_s: int
) -> list[ProgramId]:
    """Return the programs whose records can be removed."""
    return [
        record.program
        for record in state.by_id.values()
        if is_forgettable(record, now_ms, retention_s)
    ]
