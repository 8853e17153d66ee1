"""Starts a step for a caller, waits for its answer and cancels it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.entry.disconnects import (
    CallerDisconnectedError,
    run_while_connected,
)
from acaciaramp.entry.step_reader import StepReader
from acaciaramp.errors import CallError
from acaciaramp.ids import ProgramId, StepNumber, WorkspaceId
from acaciaramp.metrics.names import Timer
from acaciaramp.programs import api

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.documents.model import Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.records import Answer, StepRequest

_FIRST_STEP = StepNumber(1)


class Target(NamedTuple):
    """The step that a request addresses.

    Attributes:
        workspace: Workspace of the caller.
        program: The program.
        number: Number of the step.
        is_single: Whether the program consists of this call only.
        keep: Whether the step continues if the caller disconnects.
    """

    workspace: WorkspaceId
    program: ProgramId
    number: StepNumber
    is_single: bool
    keep: bool


def single_call_target(
    ctx: EntryContext, workspace: Workspace, key: str | None
) -> Target:
    """Return the target of a call outside a program.

    Such a call is the only step of a program of its own. The idempotency key
    determines the program, so a repeated request finds the same step.

    Args:
        ctx: Components of the instance.
        workspace: Workspace of the caller.
        key: The request's idempotency key, if it has one.
    """
    owner = WorkspaceId(workspace.name)
    if key:
        program = ctx.router.program_id_for_key(owner, f'call\n{key}')
    else:
        program = ctx.router.new_program_id()
    return Target(owner, program, _FIRST_STEP, is_single=True, keep=bool(key))


async def begin_step(
    ctx: EntryContext, workspace: Workspace, target: Target, step: StepRequest
) -> StepReader:
    """Admit a request, start its step and return a reader of the answer.

    Raises:
        CallError: The request was refused.
    """
    started_ms = ctx.clock.now_ms()
    await ctx.admission.admit(workspace)
    ctx.metrics.record_duration(
        Timer.ADMISSION, ctx.clock.now_ms() - started_ms
    )
    await ctx.router.submit(
        api.Submit(
            program=target.program,
            workspace=target.workspace,
            number=target.number,
            request=step,
            keep=target.keep,
            is_single=target.is_single,
        )
    )
    return StepReader(ctx, target.workspace, target.program, target.number)


async def wait_for_answer(
    ctx: EntryContext, req: Request, target: Target, reader: StepReader
) -> Answer:
    """Return the complete answer; cancel the step if the caller disconnects.

    Raises:
        CallError: The step failed.
        CallerDisconnectedError: The caller disconnected.
    """
    try:
        return await run_while_connected(req, reader.read_answer)
    except CallerDisconnectedError:
        await cancel_step(ctx, target)
        raise


async def cancel_step(ctx: EntryContext, target: Target) -> None:
    """Cancel a step whose caller has disconnected.

    The home of the program ignores this for a step with ``Target.keep``. Errors
    are ignored; the step may then continue.
    """
    with anyio.CancelScope(shield=True):
        try:
            await ctx.router.cancel(
                api.Cancel(
                    program=target.program,
                    workspace=target.workspace,
                    number=target.number,
                )
            )
        except CallError:
            return
