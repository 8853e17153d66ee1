"""Warnings about a routing table that is valid, and differences of two."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.routing.model import RouteKind
from acaciaramp.util.findings import (
    Finding,
    compare_entries,
    compare_fields,
    duplicates,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from acaciaramp.routing.model import (
        Route,
        RoutingTable,
        TrafficLimits,
        WorkspacePolicy,
    )

# A request is found by its host without the port and by its path without the
# query; both are compared as they are.
_HOST = re.compile(r'[^\s/:*?#@]+')
_PREFIX = re.compile(r'/[^\s?#]*')


def review_table(table: RoutingTable) -> list[Finding]:
    """Return the entries of a table that have no effect or contradict others.

    Args:
        table: A table without errors.
    """
    return [
        *_check_routes(table),
        *_check_services(table),
        *_check_workspaces(table.workspaces),
        *_check_limits(table.limits),
    ]


def compare_tables(old: RoutingTable, new: RoutingTable) -> list[Finding]:
    """Return the differences between a table and an earlier one."""
    findings = []
    if new.version <= old.version:
        findings.append(
            Finding(
                'version',
                f'{new.version} is not above {old.version}, so that it is '
                'not put in force',
            )
        )
    findings += compare_fields(
        'version', {'number': old.version}, {'number': new.version}
    )
    findings += compare_entries(
        'route',
        {item.host + item.prefix: _fields(item) for item in old.routes},
        {item.host + item.prefix: _fields(item) for item in new.routes},
    )
    findings += compare_entries(
        'service',
        {item.name: _fields(item) for item in old.services},
        {item.name: _fields(item) for item in new.services},
    )
    findings += compare_entries(
        'workspace',
        {item.name: _fields(item) for item in old.workspaces},
        {item.name: _fields(item) for item in new.workspaces},
    )
    findings += compare_fields(
        'limits', _fields(old.limits), _fields(new.limits)
    )
    return findings


def route_place(route: Route) -> str:
    """Return how findings name a route."""
    return f'route "{route.name}" at {route.host}{route.prefix}'


def _check_routes(table: RoutingTable) -> Iterator[Finding]:
    locations = {(item.host, item.prefix) for item in table.routes}
    has_keys = any(item.keys for item in table.workspaces)
    for route in table.routes:
        place = route_place(route)
        texts = [
            *_unreachable(route, locations),
            *_check_targets(route),
            *_check_times(route),
            *_check_kind(route),
        ]
        if table.workspaces and not has_keys and not route.is_public:
            texts.append('needs a key, and no workspace has one')
        yield from (Finding(place, text) for text in texts)


def _unreachable(
    route: Route, locations: set[tuple[str, str]]
) -> Iterator[str]:
    if not _HOST.fullmatch(route.host):
        yield (
            f'no request names the host "{route.host}": it is compared '
            'without a port and has no wildcards'
        )
    if route.prefix and not _PREFIX.fullmatch(route.prefix):
        yield (
            f'no path begins with "{route.prefix}": paths begin with / and '
            'have no query'
        )
    # Of the routes that match, that with the longest prefix is taken.
    if not route.prefix and (route.host, '/') in locations:
        yield 'the route with the prefix / takes all its requests'


def _check_targets(route: Route) -> Iterator[str]:
    for target in route.targets:
        if not target.weight:
            yield (
                f'service "{target.service}" has the weight 0 and gets no '
                'requests'
            )
    for name in duplicates([item.service for item in route.targets]):
        yield f'names the service "{name}" twice; the weights add up'


def _check_times(route: Route) -> Iterator[str]:
    if route.objective_ms > route.timeout_ms:
        yield (
            f'the objective of {route.objective_ms} ms is above the time '
            f'limit of {route.timeout_ms} ms'
        )
    if route.objective_ms < 0:
        yield 'the objective is negative'
    if route.retention_ms < 0:
        yield 'the retention is negative'


def _check_kind(route: Route) -> Iterator[str]:
    is_stream = route.kind is RouteKind.STREAMING
    if route.attempts > 1 and not route.is_repeatable:
        yield (
            f'allows {route.attempts} attempts, but its requests may run only '
            'once'
        )
    if route.is_resumable and not is_stream:
        yield 'is resumable, but only streams are resumed'
    if is_stream:
        yield from _check_retention(route)
    elif route.is_retained or route.retention_ms:
        yield 'has a retention, but only turns on streaming routes are stored'


def _check_retention(route: Route) -> Iterator[str]:
    if route.is_retained and not route.retention_ms:
        yield 'stores turns for no time'
    if route.retention_ms and not route.is_retained:
        yield 'has a retention, but stores no turns'


def _check_services(table: RoutingTable) -> Iterator[Finding]:
    used = {
        target.service
        for route in table.routes
        for target in route.targets
        if target.weight > 0
    }
    for service in table.services:
        place = f'service "{service.name}"'
        if service.name not in used:
            yield Finding(place, 'no route sends requests to it')
        if service.most_connections < 0:
            yield Finding(place, 'the number of connections is negative')
        if service.tokens_per_event < 0:
            yield Finding(place, 'the tokens in an event are negative')
    for name in duplicates(item.name for item in table.services):
        yield Finding(
            f'service "{name}"', 'is described twice; the last one counts'
        )


def _check_workspaces(
    workspaces: Iterable[WorkspacePolicy],
) -> Iterator[Finding]:
    for workspace in workspaces:
        yield from (
            Finding(f'workspace "{workspace.name}"', text)
            for text in (*_check_keys(workspace), *_check_rate(workspace))
        )


def _check_keys(workspace: WorkspacePolicy) -> Iterator[str]:
    if not any(workspace.keys):
        yield 'has no keys, so that no request is its own'
    elif not all(workspace.keys):
        yield 'has an empty key, which no request has'


def _check_rate(workspace: WorkspacePolicy) -> Iterator[str]:
    rate = workspace.rate_per_s
    if rate < 0 or workspace.burst < 0:
        yield 'has a negative rate or burst'
    if rate > 0 and not workspace.burst:
        yield f'has a rate of {rate:g}/s with a burst of 0'
    if workspace.burst > 0 and not rate:
        yield 'has a burst without a rate, so that nothing limits it'


def _check_limits(limits: TrafficLimits) -> Iterator[Finding]:
    if limits.idle_ms < limits.header_ms:
        yield Finding(
            'limits',
            f'the idle timeout of {limits.idle_ms} ms is below the time for '
            f'headers of {limits.header_ms} ms',
        )
    for field, bound in _fields(limits).items():
        if bound <= 0:
            yield Finding(
                'limits', f'{field} is {bound}, which no request fits'
            )


def _fields(entry: Any) -> dict[str, Any]:
    """Return the fields of an entry, with nested ones as plain values."""
    fields: dict[str, Any] = msgspec.to_builtins(entry)
    return fields
