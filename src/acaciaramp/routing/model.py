"""Data model of the routing table."""

from __future__ import annotations

import enum
import itertools

import msgspec

from acaciaramp.ids import ServiceName, WorkspaceId


class RouteKind(enum.Enum):
    """How often endpoints may execute a request of a route.

    Attributes:
        IDEMPOTENT: Any number of times.
        NON_IDEMPOTENT: At most once for each request id.
        STREAMING: At most once, unless the route is resumable; the response
            is a stream of server-sent events.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


class Target(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the sum of all weights of the route.
    """

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for all requests to one host below one path prefix.

    Attributes:
        name: Name of the route in logs and for operators.
        host: Host that the requests name.
        prefix: Prefix of their path.
        kind: How often a request may be executed.
        timeout_ms: Time limit for the complete response, milliseconds.
        objective_ms: Latency objective of the response, milliseconds.
        priority: Priority of the route; 0 is the highest.
        targets: Services among which the requests are divided.
        attempts: Maximum number of endpoints that may execute one request.
        is_public: Whether requests need no key.
        is_sticky: Whether an endpoint that served the same object before is
            faster.
        is_resumable: Whether a stream may be resumed at another endpoint; valid
            on any route, but without effect on those that serve no streams.
        is_retained: Whether turns are stored so that later ones can continue
            them; without effect on routes that serve no streams, as above.
        retention_ms: How long turns are stored, milliseconds.
        home_regions: Regions in which its requests may run and be stored;
            empty for all.
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
    home_regions: tuple[str, ...] = ()

    @property
    def has_resumable_streams(self) -> bool:
        """Whether its responses are streams that may be resumed."""
        return self.kind is RouteKind.STREAMING and self.is_resumable

    @property
    def has_retained_turns(self) -> bool:
        """Whether its requests are turns that later ones can continue."""
        return self.kind is RouteKind.STREAMING and self.is_retained

    @property
    def is_repeatable(self) -> bool:
        """Whether endpoints may execute a request more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.has_resumable_streams

    def allows(self, service: ServiceName) -> bool:
        """Return whether requests may be sent to a service."""
        return any(
            target.service == service and target.weight > 0
            for target in self.targets
        )


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Properties shared by all endpoints of a service.

    Attributes:
        name: Name of the service.
        most_connections: Maximum number of connections that an endpoint
            accepts from all entry instances together; 0 for no limit.
        tokens_per_event: Tokens in each event of a stream; 0 for a service
            that generates none.
        cache_tokens: Memory of an endpoint for the contexts of running requests
            and for its cache, tokens; 0 if unknown.
        cold_start_ms: How long an endpoint is cold after its start.
        cold_per_s: Requests per second that a cold endpoint can handle; 0 for
            no limit.
        health_path: Path at which endpoints say whether they serve requests;
            empty if they do not.
    """

    name: ServiceName
    most_connections: int = 0
    tokens_per_event: int = 0
    cache_tokens: int = 0
    cold_start_ms: int = 0
    cold_per_s: float = 0
    health_path: str = ''


class TrafficLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: Maximum size of all headers of a request, bytes.
        body_bytes: Maximum size of a body, bytes.
        header_ms: Time limit for receiving the headers, milliseconds.
        idle_ms: Idle timeout of a keep-alive connection, milliseconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


class WorkspacePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Keys, priority and request rate of a workspace.

    Attributes:
        name: Name of the workspace.
        keys: API keys that authenticate the workspace.
        priority: Overrides the priority of the route unless None.
        rate_per_s: Requests per second over all instances; 0 for no limit.
        burst: Burst size in requests above the rate.
        home_regions: Regions in which its requests may run and be stored;
            empty for all.
    """

    name: WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: tuple[str, ...] = ()


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the routing configuration.

    Attributes:
        version: Version number; the highest one is active.
        routes: All routes.
        services: All services.
        limits: Limits on the requests of callers.
        workspaces: All workspaces; if there are none, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: TrafficLimits = TrafficLimits()
    workspaces: tuple[WorkspacePolicy, ...] = ()

    @property
    def home_regions(self) -> tuple[str, ...]:
        """All home regions of routes and workspaces, sorted."""
        lists = itertools.chain(
            (route.home_regions for route in self.routes),
            (workspace.home_regions for workspace in self.workspaces),
        )
        return tuple(sorted(set(itertools.chain.from_iterable(lists))))
