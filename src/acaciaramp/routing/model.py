"""One version of routes, services, workspaces and limits."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.ids import ServiceName, WorkspaceId


class RouteKind(enum.Enum):
    """How often a request of a route may run.

    Attributes:
        IDEMPOTENT: Any number of times.
        NON_IDEMPOTENT: Once at most for each request id.
        STREAMING: Once at most, unless the route is resumable; the answer is
            a stream of events.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class Target(msgspec.Struct, frozen=True):
    """A service that takes part of a route's requests.

    Attributes:
        service: The service.
        weight: Its part, against the sum of all weights of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The terms of all requests of one host below one path.

    Attributes:
        name: Names the route to operators.
        host: The host that requests name.
        prefix: Beginning of their path.
        kind: How often a request may run.
        timeout_ms: Longest time until the final answer, milliseconds.
        objective_ms: Time within which an answer is wanted, milliseconds.
        priority: Rank of the route; 0 is the highest.
        targets: The services that take the requests.
        attempts: Most endpoints that may run one request.
        is_public: Whether requests need no key.
        is_sticky: Whether an endpoint that knows the object is faster.
        is_resumable: Whether a stream may go on at another endpoint.
        is_retained: Whether turns are kept, to be continued by later ones.
        retention_ms: How long turns are kept, milliseconds.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    targets: tuple[Target, ...]
    objective_ms: int = 0
    priority: int = 0
    attempts: int = 1
    is_public: bool = False
    is_sticky: bool = False
    is_resumable: bool = False
    is_retained: bool = False
    retention_ms: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """What all endpoints of a service have in common.

    Attributes:
        name: The service.
        most_connections: Connections that an endpoint accepts of all callers.
        tokens_per_event: Tokens in each event of a stream; 0 for a service
            that generates none.
    """

    name: ServiceName
    most_connections: int = 0
    tokens_per_event: int = 0


class TrafficLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what a caller sends.

    Attributes:
        header_bytes: Most bytes of all headers.
        body_bytes: Most bytes of a body.
        header_ms: Longest time for the headers, milliseconds.
        idle_ms: How long an unused connection is kept, milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


class WorkspacePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace with its keys and its rate over all instances.

    Attributes:
        name: The workspace.
        keys: The keys that act for it.
        priority: Goes before the route's priority; None leaves that.
        rate_per_s: Requests a second; 0 for no limit.
        burst: Requests at once beyond the rate.
    """

    name: WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of everything that operators decide.

    Attributes:
        version: The highest one is in force.
        routes: All routes.
        services: All services.
        limits: Bounds on what callers send.
        workspaces: All workspaces; without any, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: TrafficLimits = TrafficLimits()
    workspaces: tuple[WorkspacePolicy, ...] = ()
