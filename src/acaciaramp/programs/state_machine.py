"""State machine of programs: applies commands to their replicated state.

``apply`` is deterministic. A command that is refused raises ``CallError`` and
changes nothing, except for a batch: its commands before the refused one stay
applied.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.programs import commands as cmds
from acaciaramp.records import (
    Attempt,
    Budget,
    EndReason,
    Program,
    ProgramState,
    Step,
    StepKind,
    StepState,
)
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.ids import ProgramId, StepNumber


class Programs:
    """The state of all programs of one cell.

    Attributes:
        by_id: Programs by id.
    """

    def __init__(self) -> None:
        """Create the empty state."""
        self.by_id: dict[ProgramId, Program] = {}

    def get(self, program: ProgramId) -> Program:
        """Return a program.

        Raises:
            CallError: The program is unknown.
        """
        record = self.by_id.get(program)
        if record is None:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return record

    def get_step(self, program: ProgramId, number: StepNumber) -> Step:
        """Return a step of a program.

        Raises:
            CallError: The program or the step is unknown.
        """
        step = self.get(program).steps.get(number)
        if step is None:
            raise CallError(
                ErrorCode.UNKNOWN_STEP, f'the program has no step {number}'
            )
        return step


def apply(state: Programs, command: cmds.Command) -> None:
    """Apply one command.

    Args:
        state: The state to change.
        command: The command.

    Raises:
        CallError: The command is refused in this state.
    """
    _apply(command, state)


def new_step(command: cmds.BeginStep) -> Step:
    """Return the step that a command starts."""
    return Step(
        number=command.number,
        request=command.request,
        fingerprint=command.request.fingerprint(),
        reserved=command.reserved,
        started_ms=command.at_ms,
    )


@functools.singledispatch
def _apply(command: object, state: Programs) -> None:
    raise TypeError(f'expected a command of programs, got {command!r}')


@_apply.register
def _create_program(command: cmds.CreateProgram, state: Programs) -> None:
    record = command.record
    if record.program in state.by_id:
        raise CallError(
            ErrorCode.STEP_CONFLICT, 'a program with this id exists already'
        )
    if record.parent is not None:
        parent = _get_open_program(state, record.parent)
        if not parent.remaining.covers(record.granted):
            raise CallError(
                ErrorCode.BUDGET_EXHAUSTED,
                'the budget asked for is more than the parent has left',
            )
        parent.moved = parent.moved.plus(record.granted)
        parent.children.append(record.program)
        parent.touched_ms = record.created_ms
    state.by_id[record.program] = record


@_apply.register
def _begin_step(command: cmds.BeginStep, state: Programs) -> None:
    record = _get_open_program(state, command.program)
    if command.number != record.next_step or record.running_step is not None:
        raise CallError(
            ErrorCode.STEP_CONFLICT, f'the next step is {record.next_step}'
        )
    if command.number > record.turns:
        raise CallError(
            ErrorCode.TURN_LIMIT, f'a program has {record.turns} steps at most'
        )
    if not record.remaining.covers(command.reserved):
        raise CallError(
            ErrorCode.BUDGET_EXHAUSTED,
            f'the step may need {command.reserved}, left is {record.remaining}',
        )
    size = len(command.request.body)
    if record.stored_bytes + size > record.history_bytes:
        raise CallError(
            ErrorCode.BUDGET_EXHAUSTED, 'the history would grow too large'
        )
    record.reserved = record.reserved.plus(command.reserved)
    record.stored_bytes += size
    record.touched_ms = command.at_ms
    record.steps[command.number] = new_step(command)


@_apply.register
def _begin_attempt(command: cmds.BeginAttempt, state: Programs) -> None:
    step = _get_running_step(state, command.program, command.number)
    if command.attempt != len(step.attempts):
        raise CallError(
            ErrorCode.STEP_CONFLICT, 'another attempt was recorded before'
        )
    step.attempts.append(
        Attempt(
            endpoint=command.endpoint,
            reason=command.reason,
            queued_ms=command.queued_ms,
        )
    )


@_apply.register
def _end_attempt(command: cmds.EndAttempt, state: Programs) -> None:
    step = _get_running_step(state, command.program, command.number)
    attempt = step.attempts[command.attempt]
    attempt.verdict = command.verdict
    attempt.failure = command.failure


@_apply.register
def _finish_step(command: cmds.FinishStep, state: Programs) -> None:
    step = _get_running_step(state, command.program, command.number)
    record = state.by_id[command.program]
    answer = command.answer
    step.state = StepState.DONE
    step.answer = answer
    step.ended_ms = command.at_ms
    if step.attempts:
        step.attempts[-1].verdict = Verdict.RAN
    # The engine may report too many tokens; the cap at the reservation keeps
    # the program within its budget.
    counted = answer.prompt_tokens + answer.completion_tokens
    tokens = min(counted, step.reserved.tokens)
    _settle_reservation(record, step, tokens)
    record.touched_ms = command.at_ms
    record.stored_bytes += len(answer.body)
    if step.request.kind is StepKind.CHAT:
        record.context_tokens = tokens
    _after_step(state, record, command.at_ms)


@_apply.register
def _fail_step(command: cmds.FailStep, state: Programs) -> None:
    step = _get_running_step(state, command.program, command.number)
    record = state.by_id[command.program]
    record.touched_ms = command.at_ms
    step.state = StepState.FAILED
    step.refusal = command.refusal
    step.ended_ms = command.at_ms
    if command.refusal.verdict is Verdict.NOT_RUN:
        record.reserved = record.reserved.minus(step.reserved)
    else:
        _settle_reservation(record, step, step.reserved.tokens)
    if _is_repeat_allowed(step, command.refusal.verdict):
        record.stored_bytes -= len(step.request.body)
        record.steps.pop(command.number)
    _after_step(state, record, command.at_ms)


@_apply.register
def _end_program(command: cmds.EndProgram, state: Programs) -> None:
    record = state.get(command.program)
    if record.state is ProgramState.ENDED:
        return
    record.state = ProgramState.ENDED
    record.end_reason = command.reason
    record.touched_ms = command.at_ms
    for child in record.children:
        _end_child(state, child, command.at_ms)
    if record.running_step is None:
        _refund_parent(state, record)


@_apply.register
def _forget_program(command: cmds.ForgetProgram, state: Programs) -> None:
    record = state.get(command.program)
    if (
        record.state is not ProgramState.ENDED
        or record.running_step is not None
    ):
        raise CallError(ErrorCode.STEP_CONFLICT, 'the program has not ended')
    state.by_id.pop(command.program)


@_apply.register
def _batch(command: cmds.Batch, state: Programs) -> None:
    for item in command.commands:
        _apply(item, state)


def _get_open_program(state: Programs, program: ProgramId) -> Program:
    """Return a program that has not ended.

    Raises:
        CallError: The program is unknown or has ended.
    """
    record = state.get(program)
    if record.state is ProgramState.ENDED:
        reason = record.end_reason or EndReason.CALLER
        raise CallError(
            ErrorCode.PROGRAM_ENDED, f'the program has ended: {reason.value}'
        )
    return record


def _get_running_step(
    state: Programs, program: ProgramId, number: StepNumber
) -> Step:
    """Return a step that is running.

    Raises:
        CallError: The step is unknown or has ended.
    """
    step = state.get_step(program, number)
    if step.state is not StepState.RUNNING:
        raise CallError(ErrorCode.STEP_CONFLICT, 'the step has ended')
    return step


def _settle_reservation(record: Program, step: Step, tokens: int) -> None:
    """Replace a step's reservation by the charge for what it used."""
    record.reserved = record.reserved.minus(step.reserved)
    record.used = record.used.plus(Budget(tokens, step.reserved.calls))


def _is_repeat_allowed(step: Step, verdict: Verdict) -> bool:
    """Return whether a failed step may be submitted again."""
    return verdict is Verdict.NOT_RUN or step.request.repeatable


def _after_step(state: Programs, record: Program, at_ms: int) -> None:
    """Refund the parent of an ended program; end a single-step program.

    A single-step program whose failed step was removed stays open, so that the
    step can be submitted again.
    """
    if record.state is ProgramState.ENDED:
        _refund_parent(state, record)
    elif record.single and record.steps:
        record.state = ProgramState.ENDED
        record.end_reason = EndReason.COMPLETE
        record.touched_ms = at_ms


def _end_child(state: Programs, child: ProgramId, at_ms: int) -> None:
    if child in state.by_id:
        _end_program(
            cmds.EndProgram(
                program=child, reason=EndReason.PARENT, at_ms=at_ms
            ),
            state,
        )


def _refund_parent(state: Programs, record: Program) -> None:
    """Charge the parent for what an ended child used; return the rest."""
    parent = state.by_id.get(record.parent) if record.parent else None
    if parent is None:
        return
    parent.moved = parent.moved.minus(record.granted)
    parent.used = parent.used.plus(record.used)
