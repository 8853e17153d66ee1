"""Builds the initial record of a program from the request to create it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.records import Budget, Program

if TYPE_CHECKING:
    from acaciaramp.documents.registry import Registry
    from acaciaramp.programs.api import Create


def make_program(req: Create, registry: Registry, now_ms: int) -> Program:
    """Return the initial record of a program.

    Args:
        req: The request to create it.
        registry: The active document, for the workspace's limits.
        now_ms: Wall time, milliseconds.

    Raises:
        CallError: The service or the workspace is unknown, or the requested
            budget exceeds the workspace's limits.
    """
    registry.service(req.service)
    workspace = registry.workspaces.get(req.workspace)
    if workspace is None:
        raise CallError(
            ErrorCode.KEY_UNKNOWN, 'the workspace was taken out of the document'
        )
    limits = workspace.programs
    granted = Budget(
        tokens=limits.tokens if req.tokens is None else req.tokens,
        calls=limits.calls if req.calls is None else req.calls,
    )
    if not Budget(limits.tokens, limits.calls).covers(granted):
        raise CallError(
            ErrorCode.BUDGET_EXHAUSTED,
            f'a program of this workspace may have {limits.tokens} tokens '
            f'and {limits.calls} calls at most',
        )
    return Program(
        program=req.program,
        workspace=req.workspace,
        service=req.service,
        granted=granted,
        created_ms=now_ms,
        deadline_ms=now_ms + limits.deadline_s * MS_PER_SECOND,
        idle_ms=limits.idle_s * MS_PER_SECOND,
        turns=limits.turns,
        history_bytes=limits.history_bytes,
        parent=req.parent,
        single=req.single,
        touched_ms=now_ms,
    )
