"""Builds the replies that show programs and steps to readers."""

from __future__ import annotations

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.programs import api
from acaciaramp.records import Program, Step, StepState


def check_matches(existing: Program, req: api.Create) -> None:
    """Check that an existing program matches a request to create it.

    Raises:
        CallError: The request differs from the one that created the program.
    """
    requested = (req.workspace, req.service, req.parent)
    is_match = requested == (
        existing.workspace,
        existing.service,
        existing.parent,
    )
    is_match = is_match and req.tokens in {None, existing.granted.tokens}
    is_match = is_match and req.calls in {None, existing.granted.calls}
    if not is_match:
        raise CallError(
            ErrorCode.STEP_CONFLICT,
            'this idempotency key was used for another request',
        )


def make_view(record: Program, *, steps: bool) -> api.View:
    """Return the state of a program, optionally with its steps."""
    ordered = [record.steps[number] for number in sorted(record.steps)]
    return api.View(
        program=record.program,
        state=record.state,
        end_reason=record.end_reason,
        granted=record.granted,
        left=record.remaining,
        next_step=record.next_step,
        steps=ordered if steps else [],
    )


def make_page(step: Step) -> api.Page:
    """Return the page with the answer or the refusal of an ended step.

    Raises:
        CallError: The step is still running, but not on this instance.
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
