"""Types shared by the clients of endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from acaciaramp.documents.model import Endpoint
from acaciaramp.ids import ProgramId
from acaciaramp.records import Answer, StepRequest


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to run a step on an endpoint.

    Attributes:
        program: The program; the engine uses it as the session id under which
            it keeps cache memory.
        request: The step's request.
        history: Messages of the earlier steps (JSON objects).
        max_tokens: Output token limit of a model call.
        inactivity_ms: The attempt fails if the endpoint sends nothing for this
            long, milliseconds.
    """

    program: ProgramId
    request: StepRequest
    max_tokens: int = 0
    history: list[msgspec.Raw] = []
    inactivity_ms: int


DeltaSink = Callable[[bytes], None]
Sender = Callable[[Endpoint, Call, DeltaSink], Awaitable[Answer]]
