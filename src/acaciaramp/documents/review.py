"""Warnings about a document that is valid, and differences of two."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from acaciaramp.documents.model import ServiceKind
from acaciaramp.util.findings import (
    Finding,
    compare_entries,
    compare_fields,
    duplicates,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from acaciaramp.documents.model import Document, Service, Workspace

_LISTS = frozenset(('services', 'workspaces', 'routes'))


def review_document(document: Document) -> list[Finding]:
    """Return the entries that have no effect or contradict others."""
    return [
        *_check_services(document),
        *_check_workspaces(document),
        *_check_routes(document),
    ]


def compare_documents(old: Document, new: Document) -> list[Finding]:
    """Return the differences between a document and an earlier one."""
    findings = []
    if new.revision != old.revision + 1:
        findings.append(
            Finding(
                'revision',
                f'{new.revision} is not the one after {old.revision}, so that '
                'it cannot be applied',
            )
        )
    old_fields = old.model_dump(mode='json')
    new_fields = new.model_dump(mode='json')
    findings += compare_fields(
        'document', _without_lists(old_fields), _without_lists(new_fields)
    )
    findings += [
        finding
        for kind in ('service', 'workspace')
        for finding in compare_entries(
            kind,
            {item['name']: item for item in old_fields[f'{kind}s']},
            {item['name']: item for item in new_fields[f'{kind}s']},
        )
    ]
    # The first route that matches is taken, so that their order counts.
    findings += compare_fields(
        'routes', {'list': old_fields['routes']}, {'list': new_fields['routes']}
    )
    return findings


def _check_services(document: Document) -> Iterator[Finding]:
    yield from (
        Finding(f'service "{service.name}"', text)
        for service in document.services
        for text in _check_service(service, document.workspaces)
    )
    addresses = [
        endpoint.address
        for item in document.services
        for endpoint in item.endpoints
    ]
    for address in duplicates(addresses):
        yield Finding('services', f'two endpoints have the address {address}')


def _check_service(
    service: Service, workspaces: Iterable[Workspace]
) -> Iterator[str]:
    yield from (
        f'the repeatable path {path} never decides'
        for path in _shadowed_paths(service)
    )
    if service.kind is not ServiceKind.ENGINE:
        return
    if service.repeatable:
        yield 'has repeatable paths, which only plain services use'
    for workspace in workspaces:
        if service.max_tokens > workspace.programs.tokens:
            yield (
                f'a call without a limit takes {service.max_tokens} tokens, '
                f'above the {workspace.programs.tokens} of a program of '
                f'"{workspace.name}"'
            )


def _shadowed_paths(service: Service) -> Iterator[str]:
    """Yield the repeatable paths that another one covers."""
    for index, path in enumerate(service.repeatable):
        others = [*service.repeatable[:index], *service.repeatable[index + 1 :]]
        if any(
            other.method == path.method
            and path.prefix.startswith(other.prefix)
            and other != path
            for other in others
        ):
            yield f'{path.method} {path.prefix}'


def _check_workspaces(document: Document) -> Iterator[Finding]:
    public = {route.workspace for route in document.routes}
    for workspace in document.workspaces:
        place = f'workspace "{workspace.name}"'
        if not workspace.keys and workspace.name not in public:
            yield Finding(place, 'has no keys, and no route names it')
        limits = workspace.programs
        if limits.idle_s > limits.deadline_s:
            yield Finding(
                place,
                f'programs may be idle for {limits.idle_s} s, but last '
                f'{limits.deadline_s} s at most',
            )


def _check_routes(document: Document) -> Iterator[Finding]:
    for index, route in enumerate(document.routes):
        methods = set(route.methods)
        for earlier in document.routes[:index]:
            is_covered = route.prefix.startswith(earlier.prefix)
            if earlier.service == route.service and is_covered:
                methods.difference_update(earlier.methods)
        if not methods:
            yield Finding(
                f'routes[{index}] at {route.service} {route.prefix}',
                'earlier routes take all its requests',
            )


def _without_lists(fields: dict[str, Any]) -> dict[str, Any]:
    return {name: fields[name] for name in fields if name not in _LISTS}
