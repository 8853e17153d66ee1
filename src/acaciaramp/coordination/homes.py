"""Ledgers of single regions, for turns that are bound to home regions.

The ledger of all regions holds budgets and origins of streams, whose messages
carry no bodies, and the stored turns that are not bound. A region that a routing
table names as a home region gets a ledger of its own, replicated on the storage
instances of that region only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member
from acaciaramp.settings.node import RoleName

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.messages import Node


class HomeSeed(msgspec.Struct, frozen=True):
    """How the ledger of a region was bootstrapped.

    Attributes:
        member: The replica that bootstraps it.
        tolerated_losses: Number of its disks that may be lost at once, with
            which it accepts commands. Fixed at the start, as replicas must agree
            on it: a region may have fewer storage instances than the
            deployment's tolerance needs. Replicas are added beyond it.
    """

    member: Member
    tolerated_losses: int


class HomeLedger(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger of one region, as the leader publishes it.

    Attributes:
        region: The region.
        storages: Its storage instances, in the order in which they are
            preferred as replicas.
        voters: Instances of the voters, as the ledger's leader reports them;
            empty while none does.
        seed: How it was bootstrapped; None before.
    """

    region: str
    storages: tuple[InstanceId, ...] = ()
    voters: tuple[InstanceId, ...] = ()
    seed: HomeSeed | None = None


def list_home_ledgers(
    regions: Collection[str],
    seeds: dict[str, HomeSeed],
    directory: Directory,
    storages: Collection[InstanceId],
) -> tuple[HomeLedger, ...]:
    """Return the ledgers of all home regions that are or were named.

    Args:
        regions: Home regions that the routing table names.
        seeds: Seeds by region; a ledger that exists is published for good.
        directory: Instances that have reported.
        storages: Storage instances, preferred replicas first.
    """
    return tuple(
        HomeLedger(
            region=region,
            storages=tuple(
                name
                for name in storages
                if name in _instances_in(region, directory)
            ),
            voters=directory.home_voters(region),
            seed=seeds.get(region),
        )
        for region in sorted({*regions, *seeds})
    )


def choose_seed(
    home: HomeLedger,
    directory: Directory,
    tolerated_losses: int,
    *,
    is_settled: bool,
) -> HomeSeed | None:
    """Return how the ledger of a region is to be bootstrapped, None to wait.

    Args:
        home: The ledger; it has no seed.
        directory: Instances that have reported.
        tolerated_losses: Number of disks that the deployment may lose at once.
        is_settled: Whether all live instances have reported, so that a region
            with few storage instances has no more of them.
    """
    ready = [
        status.replica
        for status in map(directory.home_status, home.storages)
        if status is not None
    ]
    count = len(ready)
    is_complete = count > 2 * tolerated_losses or (
        is_settled and count == len(home.storages)
    )
    if not ready or not is_complete:
        return None
    # A majority of the replicas must outnumber the disks that may be lost.
    return HomeSeed(ready[0], min(tolerated_losses, count // 2))


def is_needed_at_home(
    node: Node,
    seeds: dict[str, HomeSeed],
    directory: Directory,
    retiring: Collection[str],
) -> bool:
    """Return whether a region's ledger needs a storage instance to stay.

    Args:
        node: The storage instance.
        seeds: Seeds by region.
        directory: Instances that have reported.
        retiring: Names of storage instances that are being retired.
    """
    seed = seeds.get(node.region)
    if seed is None:
        return False
    staying = [
        other
        for other in directory.nodes_with_role(RoleName.STORAGE)
        if other.region == node.region
        and other.name not in {*retiring, node.name}
    ]
    return len(staying) < 2 * seed.tolerated_losses + 1


def _instances_in(region: str, directory: Directory) -> set[InstanceId]:
    return {
        node.instance
        for node in directory.nodes_with_role(RoleName.STORAGE)
        if node.region == region
    }
