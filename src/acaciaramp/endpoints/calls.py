"""What is asked of an endpoint, and how it can fail."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from acaciaramp.documents.model import Endpoint
from acaciaramp.ids import ProgramId
from acaciaramp.records import Answer, StepRequest


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


DeltaSink = Callable[[bytes], None]
Sender = Callable[[Endpoint, Call, DeltaSink], Awaitable[Answer]]
