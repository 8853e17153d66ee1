"""Looks up routes, services and workspaces in the active routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.routing.model import TrafficLimits

if TYPE_CHECKING:
    import random

    from acaciaramp.ids import ServiceName
    from acaciaramp.routing.model import (
        Route,
        RoutingTable,
        Service,
        WorkspacePolicy,
    )


class Router:
    """The active routing table, indexed by host and by API key.

    The version of the active table only increases.

    Attributes:
        table: The active table; None until the first one is installed.
        table_ready: Event that is set when the first table is installed.
        services: Services of the active table by name.
        workspaces: Workspaces of the active table by name.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create the router without a table.

        Args:
            rng: Selects among the services of a route by weight.
        """
        self.table: RoutingTable | None = None
        self.table_ready = anyio.Event()
        self.services: dict[ServiceName, Service] = {}
        self.workspaces: dict[str, WorkspacePolicy] = {}
        self._rng = rng
        self._routes_by_host: dict[str, list[Route]] = {}
        self._workspace_by_key: dict[str, WorkspacePolicy] = {}

    @property
    def version(self) -> int:
        """Version of the active table; 0 until one is installed."""
        return 0 if self.table is None else self.table.version

    @property
    def limits(self) -> TrafficLimits:
        """Limits on callers' requests; the defaults until a table is active."""
        return TrafficLimits() if self.table is None else self.table.limits

    def install_table(self, table: RoutingTable) -> bool:
        """Make a table the active one if its version is higher.

        Returns:
            Whether the table was installed.
        """
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.table_ready.set()
        self.services = {item.name: item for item in table.services}
        self.workspaces = {item.name: item for item in table.workspaces}
        self._workspace_by_key = {
            key: item for item in table.workspaces for key in item.keys
        }
        self._routes_by_host = {}
        longest_first = sorted(
            table.routes, key=lambda item: len(item.prefix), reverse=True
        )
        for route in longest_first:
            self._routes_by_host.setdefault(route.host, []).append(route)
        return True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_for_key(self, key: str) -> WorkspacePolicy | None:
        """Return the workspace that an API key belongs to, if any."""
        return self._workspace_by_key.get(key)

    @property
    def requires_key(self) -> bool:
        """Whether requests to routes that are not public need a key."""
        return bool(self._workspace_by_key) or bool(self.workspaces)

    def pick_service(self, route: Route) -> ServiceName:
        """Return the service for one request of a route, by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service
