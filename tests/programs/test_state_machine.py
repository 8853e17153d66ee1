"""State machine of programs: step order, budgets and recorded attempts."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import EndpointId, ProgramId, StepNumber
from acaciaramp.programs import commands as cmds
from acaciaramp.programs.state_machine import Programs, apply
from acaciaramp.records import Budget, EndReason, ProgramState, StepState
from acaciaramp.verdicts import Verdict
from tests import builders as build

_CHILD = ProgramId('p.entry-1.child')


def state_with(*commands: cmds.Command) -> Programs:
    state = Programs()
    apply(state, cmds.CreateProgram(build.program()))
    for command in commands:
        apply(state, command)
    return state


def make_fail(verdict: Verdict, number: int = 1) -> cmds.FailStep:
    return cmds.FailStep(
        program=build.PROGRAM,
        number=StepNumber(number),
        refusal=CallError(ErrorCode.ENDPOINT_FAILED, 'failed', verdict).refusal,
        at_ms=2,
    )


def make_finish(number: int = 1) -> cmds.FinishStep:
    return cmds.FinishStep(
        program=build.PROGRAM,
        number=StepNumber(number),
        answer=build.answer(),
        at_ms=2,
    )


def refusal_code(state: Programs, command: cmds.Command) -> ErrorCode:
    """Return why a command is refused; check that it changed nothing."""
    before = msgspec.msgpack.encode(state.by_id)
    with pytest.raises(CallError) as caught:
        apply(state, command)
    assert msgspec.msgpack.encode(state.by_id) == before
    return caught.value.refusal.code


def test_steps_run_in_order() -> None:
    state = state_with(build.begin_step(1))
    assert refusal_code(state, build.begin_step(2)) is ErrorCode.STEP_CONFLICT
    apply(state, make_finish(1))
    assert refusal_code(state, build.begin_step(3)) is ErrorCode.STEP_CONFLICT
    apply(state, build.begin_step(2))
    assert state.by_id[build.PROGRAM].next_step == 3


def test_reservation_is_settled_with_the_actual_use() -> None:
    state = state_with(build.begin_step(1))
    assert state.by_id[build.PROGRAM].remaining == Budget(9_900, 9)
    apply(state, make_finish(1))
    assert state.by_id[build.PROGRAM].remaining == Budget(9_975, 9)


def test_step_over_budget_is_refused() -> None:
    state = state_with()
    command = build.begin_step(1, reserved=Budget(10_001, 1))
    assert refusal_code(state, command) is ErrorCode.BUDGET_EXHAUSTED


def test_step_over_the_turn_limit_is_refused() -> None:
    state = Programs()
    apply(state, cmds.CreateProgram(build.program(turns=0)))
    assert refusal_code(state, build.begin_step(1)) is ErrorCode.TURN_LIMIT


def test_step_over_the_history_limit_is_refused() -> None:
    state = Programs()
    apply(state, cmds.CreateProgram(build.program(history_bytes=5)))
    assert (
        refusal_code(state, build.begin_step(1)) is ErrorCode.BUDGET_EXHAUSTED
    )


def test_overstated_token_counts_are_capped_at_the_reservation() -> None:
    state = state_with(build.begin_step(1))
    answer = build.answer(prompt=1_000_000)
    apply(
        state,
        cmds.FinishStep(
            program=build.PROGRAM,
            number=build.FIRST_STEP,
            answer=answer,
            at_ms=2,
        ),
    )
    assert state.by_id[build.PROGRAM].used == Budget(100, 1)


def test_step_that_did_not_run_frees_its_number_and_reservation() -> None:
    state = state_with(build.begin_step(1), make_fail(Verdict.NOT_RUN))
    record = state.by_id[build.PROGRAM]
    assert record.remaining == record.granted
    assert record.stored_bytes == 0
    apply(state, build.begin_step(1))


def test_model_call_that_may_have_run_is_charged_and_repeatable() -> None:
    state = state_with(build.begin_step(1), make_fail(Verdict.MAY_HAVE_RUN))
    assert state.by_id[build.PROGRAM].used == Budget(100, 1)
    apply(state, build.begin_step(1))


def test_non_repeatable_call_that_may_have_run_stays_failed() -> None:
    begin = build.begin_step(1, request=build.tool_request())
    state = state_with(begin, make_fail(Verdict.MAY_HAVE_RUN))
    step = state.get_step(build.PROGRAM, build.FIRST_STEP)
    assert step.state is StepState.FAILED
    assert refusal_code(state, begin) is ErrorCode.STEP_CONFLICT


def test_attempt_is_recorded_only_once() -> None:
    state = state_with(build.begin_step(1), build.begin_attempt(0))
    assert (
        refusal_code(state, build.begin_attempt(0)) is ErrorCode.STEP_CONFLICT
    )
    apply(state, build.begin_attempt(1))
    apply(state, make_finish(1))
    attempts = state.get_step(build.PROGRAM, build.FIRST_STEP).attempts
    assert [attempt.verdict for attempt in attempts] == [None, Verdict.RAN]


def test_child_moves_budget_from_its_parent_and_returns_the_rest() -> None:
    child = build.program(
        program=_CHILD, parent=build.PROGRAM, granted=Budget(500, 5)
    )
    state = state_with(cmds.CreateProgram(child))
    assert state.by_id[build.PROGRAM].remaining == Budget(9_500, 5)
    apply(state, build.begin_step(1, program=_CHILD))
    apply(
        state,
        cmds.FinishStep(
            program=_CHILD,
            number=build.FIRST_STEP,
            answer=build.answer(),
            at_ms=3,
        ),
    )
    end = cmds.EndProgram(program=_CHILD, reason=EndReason.CALLER, at_ms=4)
    apply(state, end)
    apply(state, end)
    assert state.by_id[build.PROGRAM].remaining == Budget(9_975, 9)


def test_child_budget_above_the_parents_remaining_is_refused() -> None:
    child = build.program(
        program=_CHILD, parent=build.PROGRAM, granted=Budget(10_001, 1)
    )
    state = state_with()
    refusal = refusal_code(state, cmds.CreateProgram(child))
    assert refusal is ErrorCode.BUDGET_EXHAUSTED


def test_ending_a_parent_ends_children_and_settles_after_their_steps() -> None:
    child = build.program(
        program=_CHILD, parent=build.PROGRAM, granted=Budget(500, 5)
    )
    state = state_with(
        cmds.CreateProgram(child), build.begin_step(1, program=_CHILD)
    )
    apply(
        state,
        cmds.EndProgram(program=build.PROGRAM, reason=EndReason.IDLE, at_ms=4),
    )
    assert state.by_id[_CHILD].state is ProgramState.ENDED
    assert state.by_id[build.PROGRAM].moved == Budget(500, 5)
    apply(
        state,
        cmds.FinishStep(
            program=_CHILD,
            number=build.FIRST_STEP,
            answer=build.answer(),
            at_ms=5,
        ),
    )
    assert state.by_id[build.PROGRAM].moved == Budget(0, 0)
    assert refusal_code(state, build.begin_step(1)) is ErrorCode.PROGRAM_ENDED


def test_only_ended_programs_can_be_removed() -> None:
    state = state_with()
    forget = cmds.ForgetProgram(build.PROGRAM)
    assert refusal_code(state, forget) is ErrorCode.STEP_CONFLICT
    apply(
        state,
        cmds.EndProgram(
            program=build.PROGRAM, reason=EndReason.CALLER, at_ms=4
        ),
    )
    apply(state, forget)
    assert not state.by_id


_outcomes = st.lists(
    st.tuples(
        st.integers(0, 4_000),
        st.sampled_from([None, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]),
    ),
    max_size=20,
)


@given(_outcomes)
def test_budget_is_never_exceeded(
    outcomes: list[tuple[int, Verdict | None]],
) -> None:
    state = state_with()
    record = state.by_id[build.PROGRAM]
    for tokens, verdict in outcomes:
        number = record.next_step
        begin = build.begin_step(number, reserved=Budget(tokens, 1))
        try:
            apply(state, begin)
        except CallError:
            continue
        apply(
            state,
            make_finish(number)
            if verdict is None
            else make_fail(verdict, number),
        )
        assert min(record.remaining.tokens, record.remaining.calls) >= 0
        assert record.reserved == Budget(0, 0)


def test_batch_stops_at_the_first_refused_command() -> None:
    state = Programs()
    create = cmds.CreateProgram(build.program())
    batch = cmds.Batch((create, build.begin_step(2), build.begin_step(1)))
    with pytest.raises(CallError) as caught:
        apply(state, batch)
    assert caught.value.refusal.code is ErrorCode.STEP_CONFLICT
    assert not state.get(build.PROGRAM).steps


def test_batch_creates_program_step_and_attempt() -> None:
    state = Programs()
    create = cmds.CreateProgram(build.program())
    attempt = cmds.BeginAttempt(
        program=build.PROGRAM,
        number=build.FIRST_STEP,
        attempt=0,
        endpoint=EndpointId('engine-1'),
        reason='warm',
        queued_ms=0,
    )
    apply(state, cmds.Batch((create, build.begin_step(1), attempt)))
    step = state.get_step(build.PROGRAM, build.FIRST_STEP)
    assert [item.endpoint for item in step.attempts] == ['engine-1']
