"""Requests and responses of the gateway, independent of a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from acaciaramp.ids import ProgramId, WorkspaceId
from acaciaramp.scheduling.expected_finish import PromptPart, RequestWork

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.errors import Refusal

RawHeaders = list[tuple[bytes, bytes]]


class TurnParams(msgspec.Struct, frozen=True, kw_only=True):
    """Headers of a request that describe a turn of a program.

    Attributes:
        program: Id of the program, if the request belongs to one.
        session_id: Identifies consecutive turns within the program; may be
            empty.
        budget: Maximum number of tokens of all turns of the program.
        most_tokens: Maximum number of tokens that this turn generates.
        previous: Request id of the retained turn that it continues, if any.
        program_left_ms: Time left until the program should be finished,
            milliseconds; None if unknown.
        prompt_tokens: Length of its prompt; 0 if unknown.
        expected_tokens: Number of tokens that the caller expects; None if it
            does not say.
        parts: Parts of its prompt; empty if they are unknown.
    """

    program: ProgramId | None = None
    session_id: str = ''
    budget: int | None = None
    most_tokens: int = 0
    previous: str | None = None
    program_left_ms: int | None = None
    prompt_tokens: int = 0
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()

    @property
    def work(self) -> RequestWork:
        """Work of the turn: the expected tokens, within their maximum."""
        bounds = (self.expected_tokens, self.most_tokens or None)
        stated = [tokens for tokens in bounds if tokens is not None]
        output_tokens = min(stated, default=0)
        return RequestWork(
            prompt_tokens=self.prompt_tokens,
            output_tokens=output_tokens,
            parts=self.parts,
        )


class InboundRequest(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes:
        attempt: Id of the request.
        method: HTTP method.
        target: Path and query string as received.
        host: Host that the request names, without the port.
        path: Path as text, for matching routes.
        key: API key of the request, if any.
        wait_ms: Time limit of the caller, milliseconds; None if it sets none.
        object_key: Identifies the object that the request is about; may be
            empty.
        turn: Parameters of the turn.
        resumed: Id of the request that began the stream which this one resumes;
            None if it resumes none, empty if the caller does not say which.
        headers: Headers that are forwarded to the endpoint.
        forged: Names of received headers that only the system may set.
        body: Request body.
        started_ms: Time at which the request arrived, on the clock of the
            process.
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
    resumed: str | None = None
    forged: tuple[str, ...] = ()
    body: bytes = b''
    started_ms: int = 0


class EndpointLoad(msgspec.Struct, frozen=True):
    """Load that an endpoint reports in a response.

    Attributes:
        running: Number of requests that it is executing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can execute at once.
        duration_percent: How long work currently takes there, in percent of
            the usual time; None if it does not say.
    """

    running: int
    waiting: int
    slots: int
    duration_percent: int | None = None


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of an endpoint's response.

    Attributes:
        status: HTTP status.
        headers: Headers for the caller, without hop-by-hop headers.
        attempt: Id of the request that it responds to; empty if missing.
        is_not_run: Whether the endpoint states that it did not execute the
            request.
        load: Load of the endpoint, if reported.
        idle_ms: Idle timeout of the endpoint's connections, milliseconds, if
            reported.
        length: Content length, bytes; None if unknown.
        limit_per_s: Requests per second that the endpoint accepts from all
            instances together; None if it states no limit.
        is_leaving: Whether the endpoint says that it is leaving.
    """

    status: int
    headers: RawHeaders
    attempt: str
    is_not_run: bool
    load: EndpointLoad | None = None
    idle_ms: int | None = None
    length: int | None = None
    limit_per_s: float | None = None
    is_leaving: bool = False


class Codec(Protocol):
    """Translates between the headers of a platform and these messages."""

    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the request of an ASGI scope, without its body.

        Raises:
            CallError: The headers are contradictory, or the id is missing.
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
        """Return the headers of a request to an endpoint.

        Args:
            inbound: The caller's request.
            endpoint: Endpoint that the request is sent to.
            workspace: Workspace of the request, if it needs a key.
            left_ms: Time until the response is due, milliseconds; None for no
                limit.
            body_bytes: Length of the body that is sent to the endpoint.
        """
        ...

    def read_response(self, status: int, headers: RawHeaders) -> ResponseHead:
        """Return the parsed status and headers of an endpoint's response."""
        ...

    def write_health_probe(self, endpoint: Endpoint) -> RawHeaders:
        """Return the headers of a health probe of an endpoint."""
        ...

    def is_serving(
        self, endpoint: Endpoint, status: int, headers: RawHeaders
    ) -> bool:
        """Return whether an endpoint says that it serves requests.

        Args:
            endpoint: The endpoint that was probed.
            status: Status of the response.
            headers: Headers of the response.
        """
        ...

    def write_refusal(self, refusal: Refusal) -> tuple[int, RawHeaders, bytes]:
        """Return status, headers and body of the response to a refused call."""
        ...
