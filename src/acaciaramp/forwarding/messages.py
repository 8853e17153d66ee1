"""Requests and answers as the gateway sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from acaciaramp.ids import ProgramId, WorkspaceId

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.errors import Refusal

RawHeaders = list[tuple[bytes, bytes]]


class TurnParams(msgspec.Struct, frozen=True, kw_only=True):
    """What a request says of itself as a turn of a program.

    Attributes:
        program: The program.
        session_id: Names the session of the program that the turn belongs to.
        budget: Tokens that all turns of the program may generate.
        most_tokens: The most tokens that this turn generates.
        previous: The request id of the turn that it continues.
    """

    program: ProgramId | None = None
    session_id: str = ''
    budget: int | None = None
    most_tokens: int = 0
    previous: str | None = None


class InboundRequest(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes:
        attempt: Its id.
        method: HTTP method.
        target: Path and query as they came.
        host: The host that it names.
        path: Its path, for finding the route.
        key: The key that came with it.
        wait_ms: How long the caller waits; None if it does not say.
        object_key: Names the object that it is about.
        turn: What it says of itself as a turn.
        headers: Headers that are handed on.
        forged: Names of headers that came though only the system sets them.
        body: The body.
        started_ms: When it came.
    """

    attempt: str
    method: str
    target: bytes
    host: str
    path: str
    key: str | None
    wait_ms: int | None
    object_key: str
    turn: TurnParams
    headers: RawHeaders
    forged: tuple[str, ...] = ()
    body: bytes = b''
    started_ms: int = 0


class EndpointLoad(msgspec.Struct, frozen=True):
    """What an endpoint says of its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests in its queue.
        slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller, without those of one connection.
        attempt: The id of the request that it answers; empty if missing.
        is_not_run: Whether the endpoint says that it did not run the request.
        load: The endpoint's load, if it says so.
        idle_ms: How long the endpoint keeps an idle connection, if it says so.
        length: Length of the body; None if it is not known.
    """

    status: int
    headers: RawHeaders
    attempt: str
    is_not_run: bool
    load: EndpointLoad | None = None
    idle_ms: int | None = None
    length: int | None = None


class Codec(Protocol):
    """Reads and writes the headers of a platform."""

    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the request of an ASGI scope, without its body.

        Raises:
            CallError: The headers contradict each other.
        """
        ...

    def write_request(
        self,
        inbound: InboundRequest,
        endpoint: Endpoint,
        workspace: WorkspaceId | None,
        left_ms: int | None,
        body_bytes: int,
    ) -> RawHeaders:
        """Return the headers of a request for an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: Where it goes.
            workspace: For whom it runs.
            left_ms: Time until nobody waits for the answer any more.
            body_bytes: Length of the body that the endpoint gets.
        """
        ...

    def read_response(self, status: int, headers: RawHeaders) -> ResponseHead:
        """Return the beginning of an endpoint's answer."""
        ...

    def write_refusal(self, refusal: Refusal) -> tuple[int, RawHeaders, bytes]:
        """Return status, headers and body that tell a caller of a refusal."""
        ...
