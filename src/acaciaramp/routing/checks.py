"""Consistency checks of a routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError
from acaciaramp.util.findings import Finding, Severity, duplicates

if TYPE_CHECKING:
    from acaciaramp.ids import ServiceName
    from acaciaramp.routing.model import Route, RoutingTable


class InvalidTableError(AcaciarampError):
    """A routing table is inconsistent and cannot be installed.

    Attributes:
        mistakes: One message for each error in the table.
    """

    def __init__(self, mistakes: list[str]) -> None:
        """Join the messages of all errors that were found."""
        super().__init__('; '.join(mistakes))
        self.mistakes = mistakes


def check_table(table: RoutingTable) -> None:
    """Check that a table refers only to what it defines.

    Raises:
        InvalidTableError: The table has errors; it lists all of them.
    """
    mistakes = [str(finding) for finding in find_errors(table)]
    if mistakes:
        raise InvalidTableError(mistakes)


def find_errors(table: RoutingTable) -> list[Finding]:
    """Return what makes a table invalid."""
    services = {service.name for service in table.services}
    findings = [
        _error(f'route "{route.name}"', text)
        for route in table.routes
        for text in _check_route(route, services)
    ]
    findings += [
        _error('routes', f'two routes serve {location}')
        for location in duplicates(
            f'{item.host}{item.prefix}' for item in table.routes
        )
    ]
    if duplicates(key for item in table.workspaces for key in item.keys):
        findings.append(
            _error('workspaces', 'a key belongs to more than one workspace')
        )
    findings += [
        _error('workspaces', f'the workspace "{name}" is described twice')
        for name in duplicates(item.name for item in table.workspaces)
    ]
    return findings


def _check_route(route: Route, services: set[ServiceName]) -> list[str]:
    texts = [
        f'there is no service "{target.service}"'
        for target in route.targets
        if target.service not in services
    ]
    weights = [target.weight for target in route.targets]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        texts.append('its weights are not positive')
    if route.timeout_ms <= 0:
        texts.append('its timeout is not positive')
    return texts


def _error(place: str, text: str) -> Finding:
    return Finding(place, text, Severity.ERROR)
