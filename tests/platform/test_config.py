"""Valid configs are decoded into a routing table, invalid ones rejected."""

from __future__ import annotations

import json
from typing import Any

import pytest

from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.platform.config import decode_table
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.routing.model import (
    RouteKind,
    Service,
    Target,
    TrafficLimits,
    WorkspacePolicy,
)

MODEL = ServiceName('model')
TOOL = ServiceName('tool')
ROUTE: dict[str, Any] = {
    'name': 'r',
    'host': 'Example.test',
    'pathPrefix': '/a/',
    'routeKind': 'streaming',
    'timeoutMs': 3_000,
    'sloMs': 300,
    'priority': 1,
    'service': 'model',
    'maxAttempts': 2,
    'retained': True,
    'retentionS': 60.0,
    'resumable': False,
}
ENGINE = {'chunkTokens': 11, 'kvCapacity': 76_186}
CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {'name': 'model', 'maxConns': 150, 'engine': ENGINE},
        {'name': 'tool', 'healthPath': '/healthz'},
    ],
    'limits': {'maxHeaderBytes': 1, 'idleTimeoutMs': 15_000},
    'tenants': [{'name': 't', 'apiKeys': ['k'], 'ratePerS': 138, 'burst': 10}],
}


def config_json(**changes: Any) -> bytes:
    return json.dumps(CONFIG | changes).encode()


def config_with_route(**changes: Any) -> bytes:
    return config_json(routes=[ROUTE | changes])


def test_config_is_decoded_into_a_table() -> None:
    table = decode_table(config_json())
    route = table.routes[0]
    assert (table.version, route.host) == (7, 'example.test')
    assert route.kind is RouteKind.STREAMING
    assert route.targets == (Target(MODEL, 1),)
    assert (route.attempts, route.retention_ms) == (2, 60_000)
    assert table.services == (
        Service(
            name=MODEL,
            most_connections=150,
            tokens_per_event=11,
            cache_tokens=76_186,
        ),
        Service(name=TOOL, health_path='/healthz'),
    )
    assert table.limits == TrafficLimits(header_bytes=1, idle_ms=15_000)
    assert table.workspaces == (
        WorkspacePolicy(
            name=WorkspaceId('t'), keys=('k',), rate_per_s=138, burst=10
        ),
    )


@pytest.mark.parametrize(
    ('stated', 'tokens'),
    [(72_283.0, 72_283), (None, 0), (-1, 0), (1e300, 1_000_000_000)],
)
def test_the_cache_memory_of_an_engine_rejects_no_config(
    stated: float | None, tokens: int
) -> None:
    engine = ENGINE | {'kvCapacity': stated}
    services = [{'name': 'model', 'engine': engine}]
    table = decode_table(config_json(services=services))
    assert table.services[0].cache_tokens == tokens


def test_split_route_has_several_targets() -> None:
    split = [
        {'service': 'model', 'weight': 90},
        {'service': 'tool', 'weight': 10},
    ]
    table = decode_table(config_with_route(split=split, service=None))
    assert table.routes[0].targets == (
        Target(MODEL, 90),
        Target(TOOL, 10),
    )


# Guards against a config that is rejected for a field that makes none invalid.
@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ('/healthz', '/healthz'),
        ('/h?a=1', '/h?a=1'),
        ('', ''),
        ('healthz', ''),
        ('/a b', ''),
        ('/a\r\nx: 1', ''),
        ('/' + 'a' * 256, ''),
        (None, ''),
        (5, ''),
        (['/healthz'], ''),
    ],
)
def test_a_health_path_that_is_none_rejects_no_config(
    stated: Any, expected: str
) -> None:
    services = [{'name': 'model', 'healthPath': stated}]
    table = decode_table(config_json(services=services))
    assert table.services[0].health_path == expected


@pytest.mark.parametrize(
    'wrong',
    [
        config_json()[:-20],
        b'',
        b'[]',
        b'{"version": 8}',
        b'\xff\xfe',
        config_json(version='x'),
        config_with_route(service='none'),
        config_with_route(service=None),
        config_with_route(timeoutMs=0),
        config_with_route(split=[{'service': 'model', 'weight': 0}]),
        config_with_route(routeKind='other'),
        config_json(routes=[ROUTE, ROUTE | {'name': 'again'}]),
        config_json(
            tenants=[
                {'name': 'a', 'apiKeys': ['k']},
                {'name': 'b', 'apiKeys': ['k']},
            ]
        ),
    ],
)
def test_invalid_config_is_rejected(wrong: bytes) -> None:
    with pytest.raises(InvalidTableError):
        decode_table(wrong)


def test_home_regions_are_decoded_and_none_binds_nothing() -> None:
    tenant = CONFIG['tenants'][0]
    table = decode_table(
        config_json(
            routes=[ROUTE | {'homeRegions': ['b']}],
            tenants=[tenant | {'homeRegions': ['a', 'b']}],
        )
    )
    assert table.routes[0].home_regions == ('b',)
    assert table.workspaces[0].home_regions == ('a', 'b')
    assert table.home_regions == ('a', 'b')
    assert decode_table(config_with_route(homeRegions=[])).home_regions == ()
    assert decode_table(config_json()).home_regions == ()


def test_cold_limits_of_a_service_are_decoded() -> None:
    service = {'name': 'model', 'coldStartS': 2.5, 'coldPerS': 3}
    other = {'name': 'tool'}
    table = decode_table(config_json(services=[service, other]))
    found = table.services
    assert (found[0].cold_start_ms, found[0].cold_per_s) == (2_500, 3)
    assert (found[1].cold_start_ms, found[1].cold_per_s) == (0, 0)
