"""Placement of a cell's replicas on instances."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from acaciaramp.ids import AvailabilityZone, InstanceId


class Location(NamedTuple):
    """The location of an instance.

    Attributes:
        instance: The instance.
        zone: Availability zone that it runs in.
        region: Region of the availability zone.
    """

    instance: InstanceId
    zone: AvailabilityZone
    region: str


def placement_order(
    cell: InstanceId, locations: list[Location]
) -> list[InstanceId]:
    """Return all instances in order of preference for a cell's replicas.

    The home zone is the zone of the instance that the cell is named after. Two
    replicas belong there, so that the cell keeps its majority when the zone is
    cut off from the others. The third belongs in another zone, in the same
    region if there is one, so that no data is lost when a zone fails.

    Args:
        cell: The cell, named after the instance that bootstraps it.
        locations: Locations of all instances.
    """
    home = next(item for item in locations if item.instance == cell)
    others = [item for item in locations if item.instance != cell]
    same_zone = _sort_by_hash(
        cell, [item for item in others if item.zone == home.zone]
    )
    other_zones = _sort_by_hash(
        cell, [item for item in others if item.zone != home.zone]
    )
    other_zones.sort(key=lambda item: item.region != home.region)
    preferred = [home, *same_zone[:1], *other_zones[:1]]
    ordered = preferred + same_zone[1:] + other_zones[1:]
    return [item.instance for item in ordered]


def rank_spares(
    cell: InstanceId,
    members: list[InstanceId],
    spares: list[InstanceId],
    locations: list[Location],
) -> list[InstanceId]:
    """Return the spares, those first that restore the placement over zones.

    Args:
        cell: The cell, named after the instance that bootstraps it.
        members: Instances that run a replica of the cell now.
        spares: Instances that could run a replica.
        locations: Locations of all instances.
    """
    zone_of = {item.instance: item.zone for item in locations}
    home_zone = zone_of[cell]
    in_home_zone = sum(zone_of.get(item) == home_zone for item in members)
    needs_home_zone = in_home_zone < 2
    order = placement_order(cell, locations)

    def rank(spare: InstanceId) -> tuple[bool, int]:
        is_home = zone_of[spare] == home_zone
        return is_home != needs_home_zone, order.index(spare)

    return sorted(spares, key=rank)


def _sort_by_hash(
    cell: InstanceId, locations: list[Location]
) -> list[Location]:
    """Order locations by a hash of both names, to spread cells evenly."""

    def hash_key(item: Location) -> str:
        text = f'{cell}\n{item.instance}'
        return hashlib.sha256(text.encode()).hexdigest()

    return sorted(locations, key=hash_key)
