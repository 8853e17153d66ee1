"""Records that make up the replicated state of programs.

They are encoded in log entries, snapshots and messages between instances.
"""

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
    """Whether a program accepts further steps."""

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
    """Progress of a step."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'


class StepKind(enum.Enum):
    """What a step calls."""

    CHAT = 'chat'
    TOOL = 'tool'


class Budget(msgspec.Struct, frozen=True):
    """An amount of tokens and calls.

    Attributes:
        tokens: Prompt and output tokens, summed over all steps.
        calls: Number of steps.
    """

    tokens: int
    calls: int

    def minus(self, other: Budget) -> Budget:
        """Return this amount less ``other``."""
        return Budget(self.tokens - other.tokens, self.calls - other.calls)

    def plus(self, other: Budget) -> Budget:
        """Return the sum of both amounts."""
        return Budget(self.tokens + other.tokens, self.calls + other.calls)

    def covers(self, other: Budget) -> bool:
        """Return whether ``other`` is at most this amount, in both units."""
        return other.tokens <= self.tokens and other.calls <= self.calls


class Header(msgspec.Struct, frozen=True):
    """One HTTP header.

    Attributes:
        name: Name, in lower case.
        text: Value.
    """

    name: str
    text: str


class StepRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The request of a step.

    Attributes:
        kind: Model call or tool call.
        service: The service to call.
        repeatable: Whether the call is idempotent and may run more than once.
        body: New messages (JSON array) of a model call, body of a tool call.
        options: Further members of a model call's body (JSON object).
        max_tokens: Output limit of a model call; 0 if the caller set none.
        method: HTTP method of a tool call.
        path: Path and query of a tool call.
        headers: Headers of a tool call, forwarded to the endpoint.
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
        """Return a digest that identifies resends of the same request.

        Headers are left out, as a resend may carry other tracing headers.
        """
        without_headers = msgspec.structs.replace(self, headers=())
        return hashlib.sha256(
            msgspec.msgpack.encode(without_headers)
        ).hexdigest()


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The complete answer of a step.

    Attributes:
        status: HTTP status.
        body: The assistant's message (JSON object) or the tool's body.
        headers: Headers of a tool's answer.
        finish_reason: Why the model stopped; empty for a tool call.
        prompt_tokens: Tokens of the prompt, as the engine counted them.
        completion_tokens: Tokens that the model generated.
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
    """One attempt to send a step's request to an endpoint.

    Attributes:
        endpoint: The endpoint.
        reason: Why the scheduler chose this endpoint.
        queued_ms: How long the request was queued, milliseconds.
        verdict: Whether the endpoint ran it; None while in flight, and if the
            sending instance was lost before it recorded one.
        failure: Kind of failure, empty without one.
    """

    endpoint: EndpointId
    reason: str
    queued_ms: int
    verdict: Verdict | None = None
    failure: str = ''


class Step(msgspec.Struct, kw_only=True):
    """One step of a program.

    Attributes:
        number: Number within the program, from 1.
        request: The request.
        fingerprint: Digest of the request.
        reserved: Worst-case use, reserved in the budget while it runs.
        started_ms: Wall time of the start, milliseconds since 1970-01-01 UTC.
        state: Progress.
        attempts: All attempts, oldest first.
        answer: The complete answer, if the step is done.
        refusal: Why the step failed, if it did.
        ended_ms: Wall time of the end; 0 while running.
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
    """One program: its budget accounts, its limits and its steps.

    Times are wall times in milliseconds since 1970-01-01 UTC.

    Attributes:
        program: Id of the program.
        workspace: The workspace that owns it.
        service: The service named at creation.
        granted: Total budget.
        created_ms: Time of creation.
        deadline_ms: Time at which it is ended at the latest.
        idle_ms: Longest pause between two steps, milliseconds.
        turns: Maximum number of steps.
        history_bytes: Maximum of ``stored_bytes``.
        parent: The program from whose budget ``granted`` was taken, if any.
        single: Whether it ends with its first step.
        children: Programs whose budgets were taken from this one's.
        used: Charges for ended steps and for settled children.
        reserved: Worst-case use of the running step.
        moved: Budgets of the children that have not been settled yet.
        steps: Steps by number.
        stored_bytes: Size of the bodies of all requests and answers, bytes.
        context_tokens: Prompt and output tokens of the last model call, as the
            engine counted them, capped at the reservation.
        touched_ms: Time from which the idle timeout and, after the end, the
            retention period count.
        state: Whether it accepts further steps.
        end_reason: Why it ended, if it has.
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
    def remaining(self) -> Budget:
        """The part of the budget that is not used, reserved or moved."""
        spent = self.used.plus(self.reserved).plus(self.moved)
        return self.granted.minus(spent)

    @property
    def next_step(self) -> StepNumber:
        """The number required of the next new step."""
        return StepNumber(len(self.steps) + 1)

    @property
    def running_step(self) -> Step | None:
        """The step that is running, if any; only the last one can be."""
        last = self.steps.get(StepNumber(len(self.steps)))
        if last is not None and last.state is StepState.RUNNING:
            return last
        return None
