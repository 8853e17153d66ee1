"""Handlers that create, show and end programs and read their steps."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.entry import auth, bodies, calls
from acaciaramp.entry.chat import format_completion
from acaciaramp.entry.responses import json_response
from acaciaramp.entry.services import tool_response
from acaciaramp.entry.step_reader import StepReader
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId, ServiceName, StepNumber, WorkspaceId
from acaciaramp.programs import api
from acaciaramp.records import Budget, StepKind

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

    from acaciaramp.documents.model import Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.records import Step

_CREATED = 201


class BudgetBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The requested budget.

    Attributes:
        tokens: Number of tokens, None for the workspace's default.
        calls: Number of calls, None for the workspace's default.
    """

    tokens: int | None = None
    calls: int | None = None


class CreateBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a request that creates a program.

    Attributes:
        service: The service that the program calls.
        budget: The requested budget.
        parent: Id of the program from whose budget it is taken, if any.
    """

    service: str
    budget: BudgetBody = BudgetBody()
    parent: str | None = None


class ProgramResponse(msgspec.Struct, omit_defaults=True):
    """The state of a program as callers see it.

    Attributes:
        program: Id of the program.
        state: Whether it is open or ended.
        budget: The granted budget.
        left: The remaining budget.
        next_step: Number of the next step.
        end_reason: Why it ended, None while it is open.
        history: Its steps, None unless requested.
    """

    program: str
    state: str
    budget: Budget
    left: Budget
    next_step: int
    end_reason: str | None = None
    history: list[Any] | None = None


async def create_program(ctx: EntryContext, req: Request) -> Response:
    """Create a program, or return the one with the same idempotency key.

    Raises:
        CallError: The request was refused.
    """
    workspace = auth.authenticate(ctx, req)
    body = bodies.decode(await bodies.read_body(ctx, req), CreateBody)
    if min(body.budget.tokens or 0, body.budget.calls or 0) < 0:
        raise CallError(ErrorCode.BAD_REQUEST, 'a budget is not negative')
    await ctx.admission.admit(workspace)
    view = await ctx.router.create(
        api.Create(
            program=_program_id(ctx, workspace, req, body),
            workspace=WorkspaceId(workspace.name),
            service=ServiceName(body.service),
            tokens=body.budget.tokens,
            calls=body.budget.calls,
            parent=ProgramId(body.parent) if body.parent else None,
        )
    )
    return json_response(_program_response(view), _CREATED)


async def show_program(ctx: EntryContext, req: Request) -> Response:
    """Show a program, with its history if the query has ``history=1``.

    Raises:
        CallError: There is no such program.
    """
    workspace = auth.authenticate(ctx, req)
    wants_history = req.query_params.get('history') == '1'
    view = await _fetch_view(ctx, workspace, req, steps=wants_history)
    response = _program_response(view)
    if wants_history:
        response.history = [_history_entry(step) for step in view.steps]
    return json_response(response)


async def explain_program(ctx: EntryContext, req: Request) -> Response:
    """Show the attempts, times and errors of each step of a program.

    Raises:
        CallError: There is no such program.
    """
    workspace = auth.authenticate(ctx, req)
    view = await _fetch_view(ctx, workspace, req, steps=True)
    response = _program_response(view)
    response.history = [_explain_entry(step) for step in view.steps]
    return json_response(response)


async def read_step(ctx: EntryContext, req: Request) -> Response:
    """Return the answer of a step again; wait if the step is in flight.

    Raises:
        CallError: There is no such step, or it failed.
    """
    workspace = auth.authenticate(ctx, req)
    await bodies.read_body(ctx, req)
    target = calls.Target(
        WorkspaceId(workspace.name),
        ProgramId(req.path_params['program']),
        StepNumber(bodies.parse_step_number(req.path_params['step'])),
        is_single=False,
        keep=True,
    )
    reader = StepReader(ctx, target.workspace, target.program, target.number)
    answer = await calls.wait_for_answer(ctx, req, target, reader)
    # The step may have begun during the wait.
    view = await _fetch_view(ctx, workspace, req, steps=True)
    step = next(
        (step for step in view.steps if step.number == target.number), None
    )
    if step is None or step.request.kind is StepKind.TOOL:
        return tool_response(answer)
    return json_response(
        format_completion(ctx, target, answer, step.request.service)
    )


async def end_program(ctx: EntryContext, req: Request) -> Response:
    """End a program.

    Raises:
        CallError: There is no such program.
    """
    workspace = auth.authenticate(ctx, req)
    await ctx.router.end(
        api.End(
            program=ProgramId(req.path_params['program']),
            workspace=WorkspaceId(workspace.name),
        )
    )
    return json_response(
        _program_response(await _fetch_view(ctx, workspace, req, steps=False))
    )


async def _fetch_view(
    ctx: EntryContext, workspace: Workspace, req: Request, *, steps: bool
) -> api.View:
    return await ctx.router.show(
        api.Show(
            program=ProgramId(req.path_params['program']),
            workspace=WorkspaceId(workspace.name),
            steps=steps,
        )
    )


def _program_id(
    ctx: EntryContext, workspace: Workspace, req: Request, body: CreateBody
) -> ProgramId:
    key = req.headers.get('idempotency-key')
    if body.parent:
        return ctx.router.child_program_id(ProgramId(body.parent), key)
    if key:
        owner = WorkspaceId(workspace.name)
        return ctx.router.program_id_for_key(owner, f'program\n{key}')
    return ctx.router.new_program_id()


def _program_response(view: api.View) -> ProgramResponse:
    reason = view.end_reason
    return ProgramResponse(
        program=view.program,
        state=view.state.value,
        budget=view.granted,
        left=view.left,
        next_step=view.next_step,
        end_reason=None if reason is None else reason.value,
    )


def _history_entry(step: Step) -> Any:
    entry: dict[str, Any] = {
        'step': step.number,
        'kind': step.request.kind,
        'service': step.request.service,
        'state': step.state,
    }
    if step.request.kind is StepKind.CHAT:
        entry['messages'] = msgspec.Raw(step.request.body)
    else:
        entry['method'] = step.request.method
        entry['path'] = step.request.path
        entry['body'] = step.request.body.decode('utf-8', 'replace')
    if step.answer is not None:
        entry['status'] = step.answer.status
        entry['answer'] = step.answer.body.decode('utf-8', 'replace')
        if step.request.kind is StepKind.CHAT:
            entry['answer'] = msgspec.Raw(step.answer.body)
    if step.refusal is not None:
        entry['error'] = step.refusal
    return entry


def _explain_entry(step: Step) -> Any:
    return {
        'step': step.number,
        'kind': step.request.kind,
        'service': step.request.service,
        'state': step.state,
        'reserved': step.reserved,
        'started_ms': step.started_ms,
        'ended_ms': step.ended_ms,
        'attempts': step.attempts,
        'error': step.refusal,
    }
