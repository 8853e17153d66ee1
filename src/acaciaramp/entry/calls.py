"""Begins a step for a caller and waits for its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio

from acaciaramp.entry.following import StepReader
from acaciaramp.entry.presence import CallerGoneError, while_present
from acaciaramp.errors import CallError
from acaciaramp.ids import ProgramId, StepNumber, WorkspaceId
from acaciaramp.metrics.names import Timer
from acaciaramp.programs import api

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.documents.model import Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.records import Answer, StepRequest

_FIRST = StepNumber(1)


class Target(NamedTuple):
    """The step that a request is about.

    Attributes:
        workspace: Whose key came with it.
        program: The program.
        number: The step.
        is_single: Whether the program is made for this call only.
        keep: Whether the step goes on when the caller goes.
    """

    workspace: WorkspaceId
    program: ProgramId
    number: StepNumber
    is_single: bool
    keep: bool


def single_target(
    ctx: EntryContext, workspace: Workspace, key: str | None
) -> Target:
    """Return the only step of a new program.

    Args:
        ctx: The instance.
        workspace: Whose key came with the request.
        key: The request's idempotency key, if it has one.
    """
    owner = WorkspaceId(workspace.name)
    if key:
        program = ctx.router.program_id_for_key(owner, f'call\n{key}')
    else:
        program = ctx.router.new_program_id()
    return Target(owner, program, _FIRST, is_single=True, keep=bool(key))


async def begin(
    ctx: EntryContext, workspace: Workspace, target: Target, step: StepRequest
) -> StepReader:
    """Admit a request, begin its step and return a reader of the answer.

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


async def whole_answer(
    ctx: EntryContext, req: Request, target: Target, reader: StepReader
) -> Answer:
    """Return the whole answer; cancel the step if the caller goes.

    Raises:
        CallError: The step failed.
        CallerGoneError: The caller has gone.
    """
    try:
        return await while_present(req, reader.whole)
    except CallerGoneError:
        await cancel(ctx, target)
        raise


async def cancel(ctx: EntryContext, target: Target) -> None:
    """Cancel a step whose caller has gone, unless it is to be kept."""
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
