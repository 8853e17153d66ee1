"""Consistency checks of a routing table."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from collections.abc import Iterable

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
    services = {service.name for service in table.services}
    mistakes = [
        mistake
        for route in table.routes
        for mistake in _check_route(route, services)
    ]
    mistakes += [
        f'two routes serve {location}'
        for location in _duplicates(
            f'{item.host}{item.prefix}' for item in table.routes
        )
    ]
    if _duplicates(key for item in table.workspaces for key in item.keys):
        mistakes.append('a key belongs to more than one workspace')
    mistakes += [
        f'the workspace "{name}" is described twice'
        for name in _duplicates(item.name for item in table.workspaces)
    ]
    if mistakes:
        raise InvalidTableError(mistakes)


def _check_route(route: Route, services: set[ServiceName]) -> list[str]:
    mistakes = [
        f'route "{route.name}": there is no service "{target.service}"'
        for target in route.targets
        if target.service not in services
    ]
    weights = [target.weight for target in route.targets]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        mistakes.append(f'route "{route.name}": its weights are not positive')
    if route.timeout_ms <= 0:
        mistakes.append(f'route "{route.name}": its timeout is not positive')
    return mistakes


def _duplicates(keys: Iterable[str]) -> list[str]:
    counts = collections.Counter(keys)
    return [key for key, count in counts.items() if count > 1]
