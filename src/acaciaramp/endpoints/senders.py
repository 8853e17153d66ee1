"""Selects the client for a call by the kind of its step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.records import StepKind

if TYPE_CHECKING:
    from acaciaramp.documents.model import Endpoint
    from acaciaramp.endpoints.calls import Call, DeltaSink, Sender
    from acaciaramp.endpoints.engine import EngineClient
    from acaciaramp.endpoints.plain import PlainClient
    from acaciaramp.records import Answer


def make_sender(engine: EngineClient, plain: PlainClient) -> Sender:
    """Return the function that sends a call through the client for its kind.

    Args:
        engine: Client of model engines.
        plain: Client of plain services.
    """

    async def send(endpoint: Endpoint, call: Call, sink: DeltaSink) -> Answer:
        if call.request.kind is StepKind.CHAT:
            return await engine.send(endpoint, call, sink)
        return await plain.send(endpoint, call, sink)

    return send
