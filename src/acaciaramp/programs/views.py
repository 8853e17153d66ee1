"""Programs and steps as their home shows them to others."""

from __future__ import annotations

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.programs import api
from acaciaramp.records import Program, Step, StepState


def check_same(existing: Program, req: api.Create) -> None:
    """Check that a program is the one that a request would have made.

    Raises:
        CallError: The request asks for another program.
    """
    asked = (req.workspace, req.service, req.parent)
    is_same = asked == (existing.workspace, existing.service, existing.parent)
    is_same = is_same and req.tokens in {None, existing.granted.tokens}
    is_same = is_same and req.calls in {None, existing.granted.calls}
    if not is_same:
        raise CallError(
            ErrorCode.STEP_CONFLICT,
            'this idempotency key was used for another request',
        )


def view_of(record: Program, *, steps: bool) -> api.View:
    """Return the state of a program, with its steps if they are wanted."""
    ordered = [record.steps[number] for number in sorted(record.steps)]
    return api.View(
        program=record.program,
        state=record.state,
        end_reason=record.end_reason,
        granted=record.granted,
        left=record.left,
        next_step=record.next_step,
        steps=ordered if steps else [],
    )


def page_of(step: Step) -> api.Page:
    """Return the answer of a step that has ended.

    Raises:
        CallError: The step is under way, but not at this home.
    """
    if step.state is StepState.RUNNING:
        raise CallError(
            ErrorCode.UNKNOWN_STEP, 'the step is not under way here'
        )
    return api.Page(
        generation=0,
        cursor=0,
        pieces=[],
        answer=step.answer,
        refusal=step.refusal,
    )
