"""The records that make up the state of programs."""

from __future__ import annotations

import enum
import hashlib

import msgspec

from acaciaramp.errors import Refusal
from acaciaramp.ids import (
    EndpointId,
    ProgramId,
    ServiceName,
    StepNumber,
    WorkspaceId,
)
from acaciaramp.verdicts import Verdict


class ProgramState(enum.Enum):
    """Whether a program may go on."""

    OPEN = 'open'
    ENDED = 'ended'


class EndReason(enum.Enum):
    """Why a program ended."""

    CALLER = 'caller'
    COMPLETE = 'complete'
    DEADLINE = 'deadline'
    IDLE = 'idle'
    PARENT = 'parent'


class StepState(enum.Enum):
    """How far a step has come."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'


class StepKind(enum.Enum):
    """What a step calls."""

    CHAT = 'chat'
    TOOL = 'tool'


class Budget(msgspec.Struct, frozen=True):
    """Amounts that a program may use.

    Attributes:
        tokens: Prompt and output tokens, added up over all steps.
        calls: Steps.
    """

    tokens: int
    calls: int

    def minus(self, other: Budget) -> Budget:
        """Return what is left after ``other`` is taken out."""
        return Budget(self.tokens - other.tokens, self.calls - other.calls)

    def plus(self, other: Budget) -> Budget:
        """Return both amounts added up."""
        return Budget(self.tokens + other.tokens, self.calls + other.calls)

    def covers(self, other: Budget) -> bool:
        """Return whether ``other`` can be taken out."""
        return other.tokens <= self.tokens and other.calls <= self.calls


class Header(msgspec.Struct, frozen=True):
    """One HTTP header.

    Attributes:
        name: Its name in lower case.
        text: Its value.
    """

    name: str
    text: str


class StepRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a step asks for.

    Attributes:
        kind: Model call or tool call.
        service: The service that is called.
        repeatable: Whether the call may run more than once.
        body: New messages (JSON array) of a model call, body of a tool call.
        options: Further members of a model call's body (JSON object).
        max_tokens: Output limit of a model call.
        method: HTTP method of a tool call.
        path: Path and query of a tool call.
        headers: Headers of a tool call, handed on to the endpoint.
    """

    kind: StepKind
    service: ServiceName
    repeatable: bool
    body: bytes = b''
    options: bytes = b'{}'
    max_tokens: int = 0
    method: str = 'POST'
    path: str = ''
    headers: tuple[Header, ...] = ()

    def fingerprint(self) -> str:
        """Return a digest that is equal for equal requests.

        Headers do not count: a resend may carry other tracing headers.
        """
        compared = msgspec.structs.replace(self, headers=())
        return hashlib.sha256(msgspec.msgpack.encode(compared)).hexdigest()


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The whole answer of a step.

    Attributes:
        status: HTTP status.
        body: The assistant's message (JSON object) or the tool's body.
        headers: Headers of a tool's answer.
        finish_reason: Why the model stopped.
        prompt_tokens: Tokens that the model read.
        completion_tokens: Tokens that the model wrote.
        cached_tokens: Prompt tokens found in the engine's prefix cache.
    """

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()
    finish_reason: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Attempt(msgspec.Struct, kw_only=True):
    """One sending of a step's request.

    Attributes:
        endpoint: Where it was sent.
        reason: Why this endpoint was chosen.
        queued_ms: How long the request waited for it, milliseconds.
        verdict: What is known of its execution, None while under way.
        failure: What went wrong, empty if nothing did.
    """

    endpoint: EndpointId
    reason: str
    queued_ms: int
    verdict: Verdict | None = None
    failure: str = ''


class Step(msgspec.Struct, kw_only=True):
    """One step of a program.

    Attributes:
        number: Its place in the program, from 1.
        request: What it asks for.
        fingerprint: Digest of the request.
        reserved: Worst case, taken out of the budget while it runs.
        started_ms: Wall time of its beginning.
        state: How far it has come.
        attempts: Every sending, oldest first.
        answer: The whole answer once it is done.
        refusal: Why it failed.
        ended_ms: Wall time of its end.
    """

    number: StepNumber
    request: StepRequest
    fingerprint: str
    reserved: Budget
    started_ms: int
    state: StepState = StepState.RUNNING
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    answer: Answer | None = None
    refusal: Refusal | None = None
    ended_ms: int = 0


class Program(msgspec.Struct, kw_only=True):
    """One program with its history and its ledger.

    Attributes:
        program: Its id.
        workspace: Whose it is.
        service: The service named when it was created.
        granted: Its budget.
        created_ms: Wall time of its creation.
        deadline_ms: Wall time at which it ends at the latest.
        idle_ms: Longest pause between two steps, milliseconds.
        turns: Most steps.
        history_bytes: Largest history.
        parent: The program whose budget it was taken from.
        single: Whether it ends with its first step.
        children: Programs that took their budget from this one.
        used: What its steps were charged.
        reserved: Worst case of the steps under way.
        moved: What was given to its children and not come back.
        steps: Its steps by number.
        stored_bytes: Size of its history.
        context_tokens: Tokens of the history as the engine counted them.
        touched_ms: Wall time of the last change.
        state: Whether it may go on.
        end_reason: Why it ended.
    """

    program: ProgramId
    workspace: WorkspaceId
    service: ServiceName
    granted: Budget
    created_ms: int
    deadline_ms: int
    idle_ms: int
    turns: int
    history_bytes: int
    parent: ProgramId | None = None
    single: bool = False
    children: list[ProgramId] = msgspec.field(default_factory=list)
    used: Budget = Budget(0, 0)
    reserved: Budget = Budget(0, 0)
    moved: Budget = Budget(0, 0)
    steps: dict[StepNumber, Step] = msgspec.field(default_factory=dict)
    stored_bytes: int = 0
    context_tokens: int = 0
    touched_ms: int = 0
    state: ProgramState = ProgramState.OPEN
    end_reason: EndReason | None = None

    @property
    def left(self) -> Budget:
        """The budget that nothing has used, reserved or moved."""
        taken = self.used.plus(self.reserved).plus(self.moved)
        return self.granted.minus(taken)

    @property
    def next_step(self) -> StepNumber:
        """The number that the next new step has to have."""
        return StepNumber(len(self.steps) + 1)

    @property
    def running(self) -> Step | None:
        """The step under way, if any."""
        last = self.steps.get(StepNumber(len(self.steps)))
        if last is not None and last.state is StepState.RUNNING:
            return last
        return None
