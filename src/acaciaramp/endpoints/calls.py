"""What is asked of an endpoint, and how it can fail."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable

import msgspec

from acaciaramp.documents.model import Endpoint
from acaciaramp.errors import AcaciarampError
from acaciaramp.ids import ProgramId
from acaciaramp.records import Answer, StepRequest
from acaciaramp.verdicts import Verdict


class Failure(enum.Enum):
    """Reasons why an attempt at an endpoint failed."""

    CONNECT = 'connect'
    SILENT = 'silent'
    CUT = 'cut'
    REFUSED = 'refused'
    SERVER_ERROR = 'server_error'
    MALFORMED = 'malformed'


class EndpointError(AcaciarampError):
    """An attempt at an endpoint failed.

    Attributes:
        failure: What went wrong.
        verdict: Whether the endpoint may have run the request.
    """

    def __init__(
        self, failure: Failure, verdict: Verdict, message: str
    ) -> None:
        """Create the error."""
        super().__init__(message)
        self.failure = failure
        self.verdict = verdict


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a step to an endpoint.

    Attributes:
        program: The program, as the engine is told to file its memory.
        request: The step's request.
        history: Messages of the earlier steps (JSON objects).
        max_tokens: Output limit of a model call.
        inactivity_ms: Longest silence of the endpoint, milliseconds.
    """

    program: ProgramId
    request: StepRequest
    max_tokens: int = 0
    history: list[msgspec.Raw] = []
    inactivity_ms: int


PieceSink = Callable[[bytes], None]
Sender = Callable[[Endpoint, Call, PieceSink], Awaitable[Answer]]
