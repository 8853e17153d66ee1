"""Decodes the platform's config into a routing table."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.routing.checks import InvalidTableError, check_table
from acaciaramp.routing.model import (
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Target,
    TrafficLimits,
    WorkspacePolicy,
)

_MS_PER_SECOND = 1000
_MAX_CACHE_TOKENS = 1_000_000_000
_HEALTH_PATH = re.compile(r'/[!-~]{0,255}')


class _SplitPart(msgspec.Struct):
    """A service that gets a weighted share of a split route."""

    service: str
    weight: float


class _Route(msgspec.Struct, rename='camel', kw_only=True):
    """A route; ``service`` is ignored if ``split`` is set."""

    host: str
    path_prefix: str
    route_kind: RouteKind
    timeout_ms: float
    name: str = ''
    slo_ms: float = 0
    priority: int = 0
    service: str | None = None
    split: list[_SplitPart] | None = None
    max_attempts: int = 1
    retained: bool = False
    retention_s: float = 0
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    home_regions: list[str] | None = None


class _Engine(msgspec.Struct, rename='camel'):
    """An engine.

    ``chunk_tokens`` is the number of tokens in a stream event, ``kv_capacity``
    the memory of each endpoint for contexts, in tokens.
    """

    chunk_tokens: int = 0
    kv_capacity: float | None = None


class _Service(msgspec.Struct, rename='camel', kw_only=True):
    """A service; one whose ``health_path`` is none is valid."""

    name: str
    health_path: Any = None
    max_conns: int = 0
    cold_start_s: float = 0
    cold_per_s: float = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='camel', kw_only=True, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename='camel', kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0
    home_regions: list[str] | None = None


class _Config(msgspec.Struct, rename='camel', kw_only=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


_decoder = msgspec.json.Decoder(_Config)


def decode_table(body: bytes) -> RoutingTable:
    """Decode and check a config.

    Args:
        body: The config as JSON.

    Raises:
        InvalidTableError: The config cannot be decoded, or its table is
            invalid.
    """
    table = decode_unchecked(body)
    check_table(table)
    return table


def decode_unchecked(body: bytes) -> RoutingTable:
    """Decode a config whose table may be inconsistent.

    Args:
        body: The config as JSON.

    Raises:
        InvalidTableError: The config cannot be decoded.
    """
    try:
        config = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InvalidTableError([str(exc)]) from None
    return RoutingTable(
        version=config.version,
        routes=tuple(map(_route, config.routes)),
        services=tuple(map(_service, config.services)),
        limits=_limits(config.limits),
        workspaces=tuple(map(_workspace, config.tenants)),
    )


def _route(wire: _Route) -> Route:
    parts = wire.split
    if parts is None:
        parts = [] if wire.service is None else [_SplitPart(wire.service, 1)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=wire.route_kind,
        timeout_ms=int(wire.timeout_ms),
        targets=tuple(
            Target(ServiceName(part.service), part.weight) for part in parts
        ),
        objective_ms=int(wire.slo_ms),
        priority=wire.priority,
        attempts=max(1, wire.max_attempts),
        is_public=wire.public,
        is_sticky=wire.sticky,
        is_resumable=wire.resumable,
        is_retained=wire.retained,
        retention_ms=int(wire.retention_s * _MS_PER_SECOND),
        home_regions=tuple(wire.home_regions or ()),
    )


def _service(wire: _Service) -> Service:
    engine = wire.engine
    return Service(
        name=ServiceName(wire.name),
        most_connections=wire.max_conns,
        cold_start_ms=int(wire.cold_start_s * _MS_PER_SECOND),
        cold_per_s=wire.cold_per_s,
        tokens_per_event=0 if engine is None else engine.chunk_tokens,
        cache_tokens=_cache_tokens(engine),
        health_path=_health_path(wire.health_path),
    )


def _cache_tokens(engine: _Engine | None) -> int:
    """Return the memory of an endpoint; 0 if it is not stated."""
    if engine is None or engine.kv_capacity is None:
        return 0
    return max(0, int(min(engine.kv_capacity, _MAX_CACHE_TOKENS)))


def _health_path(stated: Any) -> str:
    """Return the path of health checks; empty if none that can be sent is stated."""
    is_path = isinstance(stated, str) and _HEALTH_PATH.fullmatch(stated)
    return stated if is_path else ''


def _limits(wire: _Limits) -> TrafficLimits:
    return TrafficLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_ms=int(wire.header_timeout_ms),
        idle_ms=int(wire.idle_timeout_ms),
    )


def _workspace(wire: _Tenant) -> WorkspacePolicy:
    return WorkspacePolicy(
        name=WorkspaceId(wire.name),
        keys=tuple(wire.api_keys),
        priority=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
        home_regions=tuple(wire.home_regions or ()),
    )
