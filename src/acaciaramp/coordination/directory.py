"""Directory of the instances that report to the leader of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import (
        FollowRequest,
        LedgerReplicaStatus,
        Node,
    )
    from acaciaramp.ids import InstanceId
    from acaciaramp.settings.node import RoleName

# An instance may lose four consecutive reports before it expires.
REPORT_EXPIRY_MS = 2_500


class Directory:
    """The instances that have reported recently, by address."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty directory.

        Args:
            clock: Measures the age of reports.
        """
        self._clock = clock
        self._nodes: dict[str, Node] = {}
        self._last_contact_ms: dict[str, int] = {}
        self._ledger_statuses: dict[str, LedgerReplicaStatus] = {}
        self._home_statuses: dict[str, LedgerReplicaStatus] = {}
        self._commands: dict[str, int] = {}

    def record_report(self, report: FollowRequest) -> bool:
        """Record the report of an instance.

        Returns:
            Whether the instance is new, has restarted or has changed.
        """
        instance = report.node.instance
        is_new = self._nodes.get(instance) != report.node
        self._nodes[instance] = report.node
        self._last_contact_ms[instance] = self._clock.now_ms()
        if report.ledger is not None:
            self._ledger_statuses[instance] = report.ledger
        if report.home_ledger is not None:
            self._home_statuses[instance] = report.home_ledger
        self._commands[instance] = report.commands
        return is_new

    def remove_expired(self) -> list[Node]:
        """Remove and return instances without a recent report.

        The age limit is ``REPORT_EXPIRY_MS``.
        """
        oldest_ms = self._clock.now_ms() - REPORT_EXPIRY_MS
        expired = [
            instance
            for instance, contact_ms in self._last_contact_ms.items()
            if contact_ms < oldest_ms
        ]
        return [self._remove(instance) for instance in expired]

    def clear(self) -> None:
        """Remove all instances."""
        self._nodes.clear()
        self._last_contact_ms.clear()
        self._ledger_statuses.clear()
        self._home_statuses.clear()
        self._commands.clear()

    def nodes_with_role(self, role: RoleName) -> tuple[Node, ...]:
        """Return the instances of a role, sorted by address."""
        found = [node for node in self._nodes.values() if node.role is role]
        return tuple(sorted(found, key=lambda node: node.instance))

    def find_by_name(self, name: str) -> Node | None:
        """Return the instance that operators call ``name``, if any."""
        found = [node for node in self._nodes.values() if node.name == name]
        return found[0] if found else None

    def ledger_status(self, instance: str) -> LedgerReplicaStatus | None:
        """Return the last reported status of an instance's ledger replica.

        None if it reported none.
        """
        return self._ledger_statuses.get(instance)

    def ledger_voters(self) -> tuple[InstanceId, ...] | None:
        """Return the ledger's voters as its leader reports them.

        None if no instance reports that it leads the ledger.
        """
        leaders = [
            status
            for status in self._ledger_statuses.values()
            if status.is_leader
        ]
        return leaders[0].voters if leaders else None

    def home_status(self, instance: str) -> LedgerReplicaStatus | None:
        """Return the last reported status of a replica of a region's ledger.

        None if the instance reported none.
        """
        return self._home_statuses.get(instance)

    def home_voters(self, region: str) -> tuple[InstanceId, ...]:
        """Return the voters of a region's ledger as its leader reports them.

        Empty if no instance reports that it leads it.
        """
        for instance, status in self._home_statuses.items():
            if status.is_leader and self._nodes[instance].region == region:
                return status.voters
        return ()

    def lowest_commands(self, role: RoleName) -> int | None:
        """Return the lowest generation of commands that a role can apply.

        None if no instance of the role has reported.
        """
        nodes = self.nodes_with_role(role)
        return min(
            (self._commands[node.instance] for node in nodes), default=None
        )

    def _remove(self, instance: str) -> Node:
        self._last_contact_ms.pop(instance)
        self._ledger_statuses.pop(instance, None)
        self._home_statuses.pop(instance, None)
        self._commands.pop(instance, None)
        return self._nodes.pop(instance)
