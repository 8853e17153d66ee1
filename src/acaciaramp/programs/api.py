"""Requests to the home of a program and their replies.

They are the same for callers on the home instance and on another one, where
they travel over the inner protocol.
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
    """Create a program; the same id again gives the same program.

    Attributes:
        program: Its id.
        workspace: Whose it is.
        service: The service it will call.
        tokens: Token budget asked for, None for the workspace's default.
        calls: Call budget asked for, None for the workspace's default.
        parent: The program whose budget it is taken from.
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
    """Run a step; the same step again joins the one that runs or has run.

    Attributes:
        program: The program.
        workspace: Whose key came with the request.
        number: The step.
        request: What it asks for.
        keep: Whether the step goes on when its caller has gone.
        is_single: Whether the program is made for this step only.
    """

    program: ProgramId
    workspace: WorkspaceId
    number: StepNumber
    request: StepRequest
    keep: bool = True
    is_single: bool = False

    def own_program(self) -> Create:
        """Return the request that makes a program for this step only."""
        return Create(
            program=self.program,
            workspace=self.workspace,
            service=self.request.service,
            single=True,
        )


class Read(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Read on in the answer of a step, waiting for more.

    Attributes:
        program: The program.
        workspace: Whose key came with the request.
        number: The step.
        generation: Generation of the pieces read so far.
        cursor: How many pieces were read so far.
        wait_ms: Longest wait for something new, milliseconds.
        is_whole: Whether only the end is news and no pieces are wanted.
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
        workspace: Whose key came with the request.
        steps: Whether the steps are wanted as well.
    """

    program: ProgramId
    workspace: WorkspaceId
    steps: bool = False


class End(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """End a program.

    Attributes:
        program: The program.
        workspace: Whose key came with the request.
    """

    program: ProgramId
    workspace: WorkspaceId


class Cancel(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Cancel a step whose caller has gone, unless it is to be kept.

    Attributes:
        program: The program.
        workspace: Whose key came with the request.
        number: The step.
    """

    program: ProgramId
    workspace: WorkspaceId
    number: StepNumber


class Done(msgspec.Struct, frozen=True, tag=True):
    """The request was carried out; there is nothing to tell."""


class View(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The state of a program.

    Attributes:
        program: Its id.
        state: Whether it may go on.
        end_reason: Why it ended.
        granted: Its budget.
        left: What is left of it.
        next_step: The number of the next new step.
        steps: The steps, if they were asked for.
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
        generation: Rises when the pieces were made anew by another attempt.
        cursor: How many pieces there are up to the end of this page.
        pieces: The pieces (JSON objects, a message's delta each).
        answer: The whole answer, once it is there.
        refusal: Why there will be no answer.
    """

    generation: int
    cursor: int
    pieces: list[bytes]
    answer: Answer | None = None
    refusal: Refusal | None = None


Request = Create | Submit | Read | Show | End | Cancel
Reply = Done | View | Page
