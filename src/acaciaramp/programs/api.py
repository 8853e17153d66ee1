"""Requests to the home of a program, and their replies.

The home is the instance that leads the program's cell. Requests from the home
instance itself are passed as objects; those from other instances are encoded
and sent over the inner protocol.
"""

from __future__ import annotations

import msgspec

from acaciaramp.errors import Refusal
from acaciaramp.ids import ProgramId, ServiceName, StepNumber, WorkspaceId
from acaciaramp.records import (
    Answer,
    Budget,
    EndReason,
    ProgramState,
    Step,
    StepRequest,
)


class Create(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Create a program; idempotent by its id.

    Attributes:
        program: Id of the program.
        workspace: The workspace that will own it.
        service: The service that it will call.
        tokens: Requested token budget, None for the workspace's default.
        calls: Requested call budget, None for the workspace's default.
        parent: The program from whose budget its own is taken, if any.
        single: Whether it ends with its first step.
    """

    program: ProgramId
    workspace: WorkspaceId
    service: ServiceName
    tokens: int | None = None
    calls: int | None = None
    parent: ProgramId | None = None
    single: bool = False


class Submit(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Start a step; idempotent, as a resend joins the existing step.

    Attributes:
        program: The program.
        workspace: The workspace that the request was authenticated for.
        number: Number of the step.
        request: The step's request.
        keep: Whether the step continues after its caller has disconnected.
        is_single: Whether the program is created for this step only.
    """

    program: ProgramId
    workspace: WorkspaceId
    number: StepNumber
    request: StepRequest
    keep: bool = True
    is_single: bool = False

    def create_request(self) -> Create:
        """Return the request that creates a program for this step only."""
        return Create(
            program=self.program,
            workspace=self.workspace,
            service=self.request.service,
            single=True,
        )


class Read(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the next part of a step's answer, waiting until there is one.

    Attributes:
        program: The program.
        workspace: The workspace that the request was authenticated for.
        number: Number of the step.
        generation: Generation of the pieces that the reader has.
        cursor: Number of pieces that the reader has.
        wait_ms: Longest wait for an update, milliseconds.
        is_whole: Whether the reader wants only the complete answer, no pieces.
    """

    program: ProgramId
    workspace: WorkspaceId
    number: StepNumber
    generation: int = 0
    cursor: int = 0
    wait_ms: int = 0
    is_whole: bool = False


class Show(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read the state of a program.

    Attributes:
        program: The program.
        workspace: The workspace that the request was authenticated for.
        steps: Whether to include the steps.
    """

    program: ProgramId
    workspace: WorkspaceId
    steps: bool = False


class End(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """End a program.

    Attributes:
        program: The program.
        workspace: The workspace that the request was authenticated for.
    """

    program: ProgramId
    workspace: WorkspaceId


class Cancel(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Cancel a step whose caller has disconnected, unless it has ``keep`` set.

    Attributes:
        program: The program.
        workspace: The workspace that the request was authenticated for.
        number: Number of the step.
    """

    program: ProgramId
    workspace: WorkspaceId
    number: StepNumber


class Done(msgspec.Struct, frozen=True, tag=True):
    """Reply without content: the request was carried out."""


class View(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The state of a program.

    Attributes:
        program: Id of the program.
        state: Whether it accepts further steps.
        end_reason: Why it ended, if it has.
        granted: Total budget.
        left: Remaining budget.
        next_step: Number of the next new step.
        steps: The steps, if requested.
    """

    program: ProgramId
    state: ProgramState
    end_reason: EndReason | None
    granted: Budget
    left: Budget
    next_step: StepNumber
    steps: list[Step] = []


class Page(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Part of the answer of a step.

    Attributes:
        generation: Incremented when a new attempt invalidates pieces that
            readers may have.
        cursor: Number of pieces up to the end of this page.
        pieces: Message deltas, each a JSON object.
        answer: The complete answer, once the step is done.
        refusal: Why the step failed, if it did.
    """

    generation: int
    cursor: int
    pieces: list[bytes]
    answer: Answer | None = None
    refusal: Refusal | None = None


Request = Create | Submit | Read | Show | End | Cancel
Reply = Done | View | Page
