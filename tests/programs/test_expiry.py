"""Programs end at their deadline or when idle, and are removed later."""

from __future__ import annotations

from acaciaramp.programs import expiry
from acaciaramp.programs.commands import CreateProgram
from acaciaramp.programs.state_machine import Programs, apply
from acaciaramp.records import EndReason, ProgramState
from tests import builders as build


def test_program_ends_at_its_deadline() -> None:
    record = build.program(deadline_ms=50, idle_ms=1_000)
    assert expiry.expiry_reason(record, 49) is None
    assert expiry.expiry_reason(record, 50) is EndReason.DEADLINE


def test_idle_program_ends_unless_a_step_is_running() -> None:
    state = Programs()
    apply(state, CreateProgram(build.program(idle_ms=10)))
    record = state.by_id[build.PROGRAM]
    assert expiry.expiry_reason(record, 10) is EndReason.IDLE
    apply(state, build.begin_step(1))
    assert expiry.expiry_reason(record, 500) is None


def test_ended_program_is_kept_for_the_retention_period() -> None:
    record = build.program(state=ProgramState.ENDED, touched_ms=1_000)
    assert not expiry.is_removable(record, 2_999, 2)
    assert expiry.is_removable(record, 3_000, 2)
