"""Where the replicas of a cell should run."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from acaciaramp.ids import AvailabilityZone, InstanceId


class Location(NamedTuple):
    """Where an instance runs.

    Attributes:
        instance: The instance.
        zone: Its availability zone.
        region: Its region.
    """

    instance: InstanceId
    zone: AvailabilityZone
    region: str


def preferred(cell: InstanceId, locations: list[Location]) -> list[InstanceId]:
    """Return all instances, the best places for replicas of a cell first.

    Two replicas belong into the home zone, so that a zone that is cut off
    keeps its majority; the third into another zone, of the same region where
    there is one, so that the loss of a zone loses nothing.

    Args:
        cell: The cell, named after its home instance.
        locations: Every instance.
    """
    home = next(item for item in locations if item.instance == cell)
    others = [item for item in locations if item.instance != cell]
    near = _ranked(cell, [item for item in others if item.zone == home.zone])
    far = _ranked(cell, [item for item in others if item.zone != home.zone])
    far.sort(key=lambda item: item.region != home.region)
    best = [home, *near[:1], *far[:1]]
    ordered = best + near[1:] + far[1:]
    return [item.instance for item in ordered]


def best_spares(
    cell: InstanceId,
    present: list[InstanceId],
    spares: list[InstanceId],
    locations: list[Location],
) -> list[InstanceId]:
    """Return the spares, those first that restore the wanted spread.

    Args:
        cell: The cell.
        present: Instances that take part now.
        spares: Instances that could.
        locations: Every instance.
    """
    zone_of = {item.instance: item.zone for item in locations}
    home_zone = zone_of[cell]
    at_home = sum(zone_of.get(item) == home_zone for item in present)
    wants_home = at_home < 2
    order = preferred(cell, locations)

    def rank(spare: InstanceId) -> tuple[bool, int]:
        is_home = zone_of[spare] == home_zone
        return is_home != wants_home, order.index(spare)

    return sorted(spares, key=rank)


def _ranked(cell: InstanceId, locations: list[Location]) -> list[Location]:
    """Spread the cells evenly by a hash of both names."""

    def weight(item: Location) -> str:
        text = f'{cell}\n{item.instance}'
        return hashlib.sha256(text.encode()).hexdigest()

    return sorted(locations, key=weight)
