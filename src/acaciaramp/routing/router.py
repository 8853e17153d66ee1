"""Lookups in the routing table that is in force."""

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
    """The table in force, indexed by host and by key.

    It never goes back to an older version.

    Attributes:
        table: The table in force; None before the first one.
        in_force: Set once there is a table.
        services: Its services by name.
        workspaces: Its workspaces by name.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create the router without a table.

        Args:
            rng: Splits requests between the services of a route.
        """
        self.table: RoutingTable | None = None
        self.in_force = anyio.Event()
        self.services: dict[ServiceName, Service] = {}
        self.workspaces: dict[str, WorkspacePolicy] = {}
        self._rng = rng
        self._routes_by_host: dict[str, list[Route]] = {}
        self._workspace_by_key: dict[str, WorkspacePolicy] = {}

    @property
    def version(self) -> int:
        """Version of the table in force; 0 before the first one."""
        return 0 if self.table is None else self.table.version

    @property
    def limits(self) -> TrafficLimits:
        """Bounds on what callers send."""
        return TrafficLimits() if self.table is None else self.table.limits

    def install_table(self, table: RoutingTable) -> bool:
        """Put a table into force; return whether it was newer."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.in_force.set()
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

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def workspace_for_key(self, key: str) -> WorkspacePolicy | None:
        """Return the workspace that a key acts for, if any."""
        return self._workspace_by_key.get(key)

    @property
    def needs_key(self) -> bool:
        """Whether requests of routes that are not public need a key."""
        return bool(self._workspace_by_key) or bool(self.workspaces)

    def pick_service(self, route: Route) -> ServiceName:
        """Return the service that takes the next request of a route."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._rng.choices(route.targets, weights)[0].service
