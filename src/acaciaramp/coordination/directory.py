"""Which instances have reported to the leader of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import (
        FollowRequest,
        LedgerReplicaStatus,
        Node,
    )
    from acaciaramp.settings.node import RoleName

# Four reports may be lost before an instance counts as gone.
GONE_AFTER_MS = 2_500


class Directory:
    """The instances that reported lately, by their address."""

    def __init__(self, clock: Clock) -> None:
        """Create the directory without instances.

        Args:
            clock: Tells how old a report is.
        """
        self._clock = clock
        self._nodes: dict[str, Node] = {}
        self._heard_ms: dict[str, int] = {}
        self._ledger: dict[str, LedgerReplicaStatus] = {}

    def take(self, report: FollowRequest) -> bool:
        """Take a report; return whether the instance is new."""
        instance = report.node.instance
        is_new = self._nodes.get(instance) != report.node
        self._nodes[instance] = report.node
        self._heard_ms[instance] = self._clock.now_ms()
        if report.ledger is not None:
            self._ledger[instance] = report.ledger
        return is_new

    def drop_silent(self) -> list[Node]:
        """Forget instances that have not reported for long; return them."""
        oldest_ms = self._clock.now_ms() - GONE_AFTER_MS
        silent = [
            instance
            for instance, heard_ms in self._heard_ms.items()
            if heard_ms < oldest_ms
        ]
        return [self._forget(instance) for instance in silent]

    def clear(self) -> None:
        """Forget all instances."""
        self._nodes.clear()
        self._heard_ms.clear()
        self._ledger.clear()

    def nodes(self, role: RoleName) -> tuple[Node, ...]:
        """Return the instances of a role, by address."""
        found = [node for node in self._nodes.values() if node.role is role]
        return tuple(sorted(found, key=lambda node: node.instance))

    def named(self, name: str) -> Node | None:
        """Return the instance that operators know by a name."""
        found = [node for node in self._nodes.values() if node.name == name]
        return found[0] if found else None

    def standing(self, instance: str) -> LedgerReplicaStatus | None:
        """Return what a storage instance said of its replica."""
        return self._ledger.get(instance)

    def ledger_voters(self) -> tuple[str, ...] | None:
        """Return the ledger's voters as its leader says; None if unknown."""
        leaders = [item for item in self._ledger.values() if item.is_leader]
        return leaders[0].voters if leaders else None

    def _forget(self, instance: str) -> Node:
        self._heard_ms.pop(instance)
        self._ledger.pop(instance, None)
        return self._nodes.pop(instance)
