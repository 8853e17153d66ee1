"""A routed request while it is forwarded to endpoints."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from acaciaramp.conversations.messages import StreamOrigin
from acaciaramp.conversations.turns import OpenedTurn
from acaciaramp.forwarding.messages import InboundRequest
from acaciaramp.forwarding.selector import EndpointQuery
from acaciaramp.ids import EndpointId, ServiceName, WorkspaceId
from acaciaramp.routing.model import Route, Service
from acaciaramp.scheduling.demand import Demand
from acaciaramp.verdicts import Verdict

_DIGEST_BYTES = 12


class Call(msgspec.Struct, kw_only=True):
    """A request with its route, deadline and attempts so far.

    Attributes:
        inbound: The caller's request.
        route: Route that matched the request.
        service: Service that was picked for the request.
        services: Services of the routing table by which the request was routed.
        workspace: Workspace of the request's key; None if none is needed.
        workspace_regions: Home regions of the workspace; empty for all.
        deadline_ms: Time at which the response is due, on the clock of the
            process.
        turn: The opened turn; None for a request without one.
        runs: Number of attempts that may have executed the request.
        is_sent: Whether the request was sent in the current attempt.
        endpoint: Endpoint of the last attempt; empty before the first.
        expected_origin: Probable origin of the stream that it begins; None if
            it begins none that may be resumed, or it is not known.
        demand: Its rank while capacity is short; None without admission control.
        claimed: Endpoint whose capacity it has claimed and not used yet.
        responded_ms: When the head of its response arrived, on the clock of the
            process; None before.
    """

    inbound: InboundRequest
    route: Route
    service: ServiceName
    services: Mapping[ServiceName, Service]
    workspace: WorkspaceId | None
    deadline_ms: int
    workspace_regions: tuple[str, ...] = ()
    turn: OpenedTurn | None = None
    runs: int = 0
    is_sent: bool = False
    endpoint: str = ''
    expected_origin: StreamOrigin | None = None
    demand: Demand | None = None
    claimed: EndpointId | None = None
    responded_ms: int | None = None

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Regions in which it may run and be stored; None for all.

        A body that is sent to another machine than the endpoint, such as a peer
        or a storage instance, must stay in these regions as well.
        """
        named = [
            frozenset(regions)
            for regions in (self.route.home_regions, self.workspace_regions)
            if regions
        ]
        return frozenset.intersection(*named) if named else None

    @property
    def begins_stream(self) -> bool:
        """Whether it begins a stream that another request may resume."""
        is_resumable = self.route.has_resumable_streams
        return is_resumable and self.inbound.resumed is None

    @property
    def resumes_stream(self) -> bool:
        """Whether it resumes the stream of an earlier request."""
        is_resumable = self.route.has_resumable_streams
        return is_resumable and self.inbound.resumed is not None

    @property
    def origin(self) -> StreamOrigin | None:
        """Recorded origin of its stream; None if none is recorded."""
        return None if self.turn is None else self.turn.origin

    @property
    def endpoint_query(self) -> EndpointQuery:
        """What the request needs of its endpoint."""
        return EndpointQuery(
            service=self.service,
            affinity_key=self.affinity_key,
            warm_endpoint=self.warm_endpoint,
            version=None if self.origin is None else self.origin.version,
            requires_version=self.resumes_stream,
            regions=self.allowed_regions,
            work=self.inbound.turn.work,
            objective_ms=self.route.objective_ms,
            cache_tokens=self._cache_tokens,
        )

    @property
    def tokens_per_event(self) -> int:
        """Tokens in each event of its response, by the table of its route.

        A table that comes into force meanwhile may lack the service.
        """
        return self.services[self.service].tokens_per_event

    @property
    def body(self) -> bytes:
        """Body of the request to the endpoint."""
        return self.inbound.body if self.turn is None else self.turn.body

    @property
    def starts_program(self) -> bool:
        """Whether it is the first request of a program or has no program.

        A first request is recognized by its program's account on the ledger;
        without a budget there is none, and each request counts as a later one.
        """
        if self.turn is not None:
            return self.turn.is_new
        return self.inbound.turn.program is None

    @property
    def warm_endpoint(self) -> str:
        """Endpoint that ran the program's last turn; empty if unknown."""
        return '' if self.turn is None else self.turn.endpoint

    @property
    def affinity_key(self) -> str:
        """Session or object id shared by related requests; may be empty.

        Requests with the same key are cheaper at the endpoint that served the
        previous one.
        """
        return self.inbound.turn.session_id or self.inbound.object_key

    @property
    def can_retry(self) -> bool:
        """Whether it may be retried after an attempt with unknown outcome."""
        return self.route.is_repeatable and self.runs < self.route.attempts

    def program_left_ms(self, now_ms: int) -> int | None:
        """Return the time until its program is due, milliseconds.

        Negative if the program is late; None if its caller states no time.
        """
        stated_ms = self.inbound.turn.program_left_ms
        if stated_ms is None:
            return None
        return self.inbound.started_ms + stated_ms - now_ms

    @property
    def verdict(self) -> Verdict:
        """Whether an endpoint may have executed it, if it ends now."""
        if self.runs or self.is_sent:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def digest(self) -> str:
        """Return a hash that equal requests of one workspace share.

        Endpoints get the body of a turn after its chain, so that turns with the
        same input are equal only if they continue the same turn.
        """
        parts = [
            (self.workspace or '').encode(),
            self.inbound.target,
            self.inbound.body,
        ]
        if self._continued_turn is not None:
            parts.append(self._continued_turn.encode())
        text = b'\0'.join(parts)
        return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()

    @property
    def _continued_turn(self) -> str | None:
        if not self.route.has_retained_turns:
            return None
        return self.inbound.turn.previous

    @property
    def _cache_tokens(self) -> int:
        service = self.services.get(self.service)
        return 0 if service is None else service.cache_tokens
