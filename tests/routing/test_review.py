"""Entries of a valid table that have no effect or contradict others."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.routing.model import (
    Route,
    RouteKind,
    RoutingTable,
    Service,
    Target,
    TrafficLimits,
    WorkspacePolicy,
)
from acaciaramp.routing.review import compare_tables, review_table
from acaciaramp.util.findings import Severity
from tests import builders as build

USED = (Service(name=build.MODEL, tokens_per_event=10),)
OTHER = ServiceName('other')
PLAIN = RouteKind.NON_IDEMPOTENT


def table(*routes: Route, **overrides: Any) -> RoutingTable:
    """Return a table without findings, but for what is given."""
    return build.routing_table(*routes, **({'services': USED} | overrides))


def workspace(**overrides: Any) -> WorkspacePolicy:
    fields: dict[str, Any] = {'name': WorkspaceId('w'), 'keys': ('k',)}
    return WorkspacePolicy(**(fields | overrides))


def texts(reviewed: RoutingTable) -> list[str]:
    return [str(finding) for finding in review_table(reviewed)]


def test_table_that_contradicts_nothing_has_no_findings() -> None:
    routes = [
        build.route(is_retained=True, retention_ms=60_000, objective_ms=300),
        build.route(prefix='/', kind=RouteKind.IDEMPOTENT, attempts=3),
        build.route(prefix='/r/', is_resumable=True, attempts=2),
    ]
    limited = workspace(rate_per_s=5, burst=2)
    assert texts(table(*routes, workspaces=(limited,))) == []


# Guards against a mistake that is only seen once callers are refused.
@pytest.mark.parametrize(
    ('changes', 'text'),
    [
        ({'host': 'example.test:80'}, 'no request names the host'),
        ({'host': '*.example.test'}, 'no request names the host'),
        ({'host': ''}, 'no request names the host'),
        ({'prefix': 'chat/'}, 'no path begins with "chat/"'),
        ({'prefix': '/chat?a='}, 'no path begins with "/chat?a="'),
        (
            {'targets': (Target(build.MODEL, 1), Target(build.MODEL, 2))},
            'names the service "conseil-lm" twice',
        ),
        ({'objective_ms': 3_001}, 'objective of 3001 ms is above'),
        ({'objective_ms': -1}, 'objective is negative'),
        ({'attempts': 2}, 'allows 2 attempts'),
        ({'kind': PLAIN, 'attempts': 2}, 'allows 2 attempts'),
        ({'kind': PLAIN, 'is_resumable': True}, 'only streams are resumed'),
        ({'kind': PLAIN, 'retention_ms': 5}, 'only turns on streaming'),
        ({'kind': PLAIN, 'is_retained': True}, 'only turns on streaming'),
        ({'is_retained': True}, 'stores turns for no time'),
        ({'retention_ms': 5}, 'but stores no turns'),
    ],
)
def test_each_contradiction_of_a_route_is_found(
    changes: dict[str, Any], text: str
) -> None:
    found = texts(table(build.route(**changes)))
    assert len(found) == 1
    assert found[0].startswith('route "chat" at ')
    assert text in found[0]


# Guards against attempts that are reported as allowed since a plain route is marked
# as resumable.
def test_a_resumable_mark_on_a_plain_route_allows_no_attempts() -> None:
    route = build.route(kind=PLAIN, is_resumable=True, attempts=2)
    found = texts(table(route))
    assert len(found) == 2
    assert 'allows 2 attempts' in found[0]
    assert 'only streams are resumed' in found[1]


def test_route_that_another_one_shadows_is_found() -> None:
    routes = [
        build.route(name='all', prefix=''),
        build.route(name='root', prefix='/'),
        build.route(name='elsewhere', host='other.test', prefix=''),
    ]
    assert texts(table(*routes)) == [
        'route "all" at example.test: the route with the prefix / takes all '
        'its requests'
    ]


def test_target_without_weight_and_unused_services_are_found() -> None:
    route = build.route(targets=(Target(build.MODEL, 1), Target(OTHER, 0)))
    services = (*USED, Service(name=OTHER), Service(name=ServiceName('x')))
    assert texts(table(route, services=services)) == [
        'route "chat" at example.test/chat/: service "other" has the weight 0 '
        'and gets no requests',
        'service "other": no route sends requests to it',
        'service "x": no route sends requests to it',
    ]


@pytest.mark.parametrize(
    ('changes', 'text'),
    [
        ({'rate_per_s': 3}, 'a rate of 3/s with a burst of 0'),
        ({'burst': 3}, 'a burst without a rate'),
        ({'rate_per_s': -3}, 'a negative rate or burst'),
        ({'keys': ('k', '')}, 'an empty key'),
    ],
)
def test_each_contradiction_of_a_workspace_is_found(
    changes: dict[str, Any], text: str
) -> None:
    found = texts(table(workspaces=(workspace(**changes),)))
    assert len(found) == 1
    assert found[0].startswith('workspace "w": ')
    assert text in found[0]


def test_workspaces_without_keys_leave_only_public_routes() -> None:
    routes = [
        build.route(),
        build.route(name='open', prefix='/open/', is_public=True),
    ]
    found = texts(table(*routes, workspaces=(workspace(keys=()),)))
    assert found == [
        'route "chat" at example.test/chat/: needs a key, and no workspace '
        'has one',
        'workspace "w": has no keys, so that no request is its own',
    ]


def test_contradictions_of_the_limits_are_found() -> None:
    limits = TrafficLimits(idle_ms=2_000, header_ms=3_000, body_bytes=0)
    assert texts(table(limits=limits)) == [
        'limits: the idle timeout of 2000 ms is below the time for headers of '
        '3000 ms',
        'limits: body_bytes is 0, which no request fits',
    ]


def test_service_that_is_described_twice_is_found() -> None:
    services = (*USED, *USED)
    assert texts(table(services=services)) == [
        'service "conseil-lm": is described twice; the last one counts'
    ]


def test_differences_name_the_entry_and_show_no_keys() -> None:
    old = table(build.route(), build.route(name='gone', prefix='/gone/'))
    new = table(
        build.route(timeout_ms=5_000),
        build.route(name='new', prefix='/new/'),
        version=2,
        workspaces=(workspace(name=build.WORKSPACE, keys=('secret', 's2')),),
        limits=TrafficLimits(idle_ms=9_000),
    )
    findings = compare_tables(old, new)
    assert {finding.severity for finding in findings} == {Severity.DIFFERENCE}
    found = [str(finding) for finding in findings]
    assert found == [
        'version: number changes from 1 to 2',
        'route "example.test/chat/": timeout_ms changes from 3000 to 5000',
        'route "example.test/gone/": is removed',
        'route "example.test/new/": is added',
        f'workspace "{build.WORKSPACE}": keys changes from 1 to 2, not shown',
        'limits: idle_ms changes from 15000 to 9000',
    ]
    assert 'secret' not in ''.join(found)


def test_equal_tables_differ_only_in_that_the_version_does_not_rise() -> None:
    old = table()
    found = compare_tables(old, msgspec.structs.replace(old, version=0))
    assert [finding.severity for finding in found] == [
        Severity.WARNING,
        Severity.DIFFERENCE,
    ]
    assert (
        compare_tables(old, msgspec.structs.replace(old, version=2))[1:] == []
    )
