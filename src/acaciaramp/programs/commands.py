"""The commands that change the state of programs.

Each command is one entry of the log. Applying it is deterministic: times and
ids are part of the command.
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
    """Adds a program; takes its budget out of its parent's, if it has one.

    Attributes:
        record: The program in its first state.
    """

    record: Program


class BeginStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds the next step of a program and reserves its worst case.

    Attributes:
        program: The program.
        number: The step's number.
        request: What it asks for.
        reserved: Its worst case.
        at_ms: Wall time.
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
        number: The step.
        attempt: Number of the attempt, from 0.
        endpoint: Where it will be sent.
        reason: Why this endpoint was chosen.
        queued_ms: How long the request waited for it, milliseconds.
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
        number: The step.
        attempt: Number of the attempt, from 0.
        verdict: Whether it may have run.
        failure: What went wrong.
    """

    program: ProgramId
    number: StepNumber
    attempt: int
    verdict: Verdict
    failure: str


class FinishStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the whole answer of a step and settles its budget.

    Attributes:
        program: The program.
        number: The step.
        answer: The answer.
        at_ms: Wall time.
    """

    program: ProgramId
    number: StepNumber
    answer: Answer
    at_ms: int


class FailStep(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends a step without an answer.

    A step that did not run or may run again is taken back, so that its number
    is free again; what it may have used stays charged.

    Attributes:
        program: The program.
        number: The step.
        refusal: What the caller is told.
        at_ms: Wall time.
    """

    program: ProgramId
    number: StepNumber
    refusal: Refusal
    at_ms: int


class EndProgram(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends a program and its children; returns what is left to its parent.

    Attributes:
        program: The program.
        reason: Why.
        at_ms: Wall time.
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
    """Applies commands in their order, in one entry of the log.

    When one is refused, those before it stay and the rest is left out.

    Attributes:
        commands: The commands.
    """

    commands: tuple[SingleCommand, ...]


Command = SingleCommand | Batch
