"""Commands that change the replicated state of programs.

Each command is the payload of one log entry. Applying it is deterministic, as
times and ids are part of the command.
"""

from __future__ import annotations

import msgspec

from acaciaramp.errors import Refusal
from acaciaramp.ids import EndpointId, ProgramId, StepNumber
from acaciaramp.records import (
    Answer,
    Budget,
    EndReason,
    Program,
    StepRequest,
)
from acaciaramp.verdicts import Verdict


class CreateProgram(msgspec.Struct, frozen=True, tag=True):
    """Adds a program; moves its budget from its parent's, if it has one.

    Attributes:
        record: The program in its initial state.
    """

    record: Program


class BeginStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds the next step of a program and reserves its worst-case use.

    Attributes:
        program: The program.
        number: Number of the step.
        request: The step's request.
        reserved: Worst-case use of the step.
        at_ms: Wall time, milliseconds.
    """

    program: ProgramId
    number: StepNumber
    request: StepRequest
    reserved: Budget
    at_ms: int


class BeginAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the intent to send a step's request to an endpoint.

    Attributes:
        program: The program.
        number: Number of the step.
        attempt: Number of the attempt, from 0.
        endpoint: The endpoint that it will be sent to.
        reason: Why the scheduler chose this endpoint.
        queued_ms: How long the request was queued, milliseconds.
    """

    program: ProgramId
    number: StepNumber
    attempt: int
    endpoint: EndpointId
    reason: str
    queued_ms: int


class EndAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records how an attempt failed.

    Attributes:
        program: The program.
        number: Number of the step.
        attempt: Number of the attempt, from 0.
        verdict: Whether the endpoint may have run it.
        failure: Kind of failure.
    """

    program: ProgramId
    number: StepNumber
    attempt: int
    verdict: Verdict
    failure: str


class FinishStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the complete answer of a step and settles its reservation.

    Attributes:
        program: The program.
        number: Number of the step.
        answer: The answer.
        at_ms: Wall time, milliseconds.
    """

    program: ProgramId
    number: StepNumber
    answer: Answer
    at_ms: int


class FailStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends a step without an answer.

    A step that did not run or is repeatable is removed, so that its number can
    be used again. Unless it did not run, its whole reservation is charged.

    Attributes:
        program: The program.
        number: Number of the step.
        refusal: The refusal for the caller.
        at_ms: Wall time, milliseconds.
    """

    program: ProgramId
    number: StepNumber
    refusal: Refusal
    at_ms: int


class EndProgram(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends a program and its children.

    Unused budget returns to the parent once no step of the program is running.

    Attributes:
        program: The program.
        reason: Why it is ended.
        at_ms: Wall time, milliseconds.
    """

    program: ProgramId
    reason: EndReason
    at_ms: int


class ForgetProgram(msgspec.Struct, frozen=True, tag=True):
    """Removes an ended program.

    Attributes:
        program: The program.
    """

    program: ProgramId


SingleCommand = (
    CreateProgram
    | BeginStep
    | BeginAttempt
    | EndAttempt
    | FinishStep
    | FailStep
    | EndProgram
    | ForgetProgram
)


class Batch(msgspec.Struct, frozen=True, tag=True):
    """Applies several commands as one log entry.

    If one is refused, those before it stay applied and those after it are
    skipped.

    Attributes:
        commands: The commands, in order.
    """

    commands: tuple[SingleCommand, ...]


Command = SingleCommand | Batch
