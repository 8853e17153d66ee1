"""Placement: two replicas in the home zone, the third in another zone."""

from __future__ import annotations

from acaciaramp.cells.placement import Location, placement_order, rank_spares
from acaciaramp.ids import AvailabilityZone, InstanceId

_ZONES = ('nord', 'nord', 'sud', 'sud', 'sousse', 'sousse')
_REGIONS = ('medina', 'medina', 'medina', 'medina', 'sahel', 'sahel')
_ALL = [
    Location(InstanceId(f'e{number}'), AvailabilityZone(zone), region)
    for number, (zone, region) in enumerate(
        zip(_ZONES, _REGIONS, strict=True), 1
    )
]
_ZONE = {item.instance: item.zone for item in _ALL}
_REGION = {item.instance: item.region for item in _ALL}


def test_cell_has_two_replicas_in_home_zone_and_one_outside() -> None:
    for cell in _ZONE:
        first, second, third = placement_order(cell, _ALL)[:3]
        assert first == cell
        assert _ZONE[second] == _ZONE[cell]
        assert _ZONE[third] != _ZONE[cell]
        if _REGION[cell] == 'medina':
            assert _REGION[third] == 'medina'


def test_spare_that_restores_zone_placement_comes_first() -> None:
    e1, e2, e3, e4, e5 = (InstanceId(f'e{number}') for number in range(1, 6))
    spares = [e2, e4, e5]
    assert rank_spares(e1, [e1, e3], spares, _ALL)[0] == e2
    assert rank_spares(e1, [e1, e2], [e4, e5], _ALL)[0] == e4


def test_single_instance_is_its_only_placement() -> None:
    assert placement_order(InstanceId('e1'), _ALL[:1]) == ['e1']
