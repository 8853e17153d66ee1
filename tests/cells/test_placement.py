"""Two replicas in the home zone, the third in another one."""

from __future__ import annotations

from acaciaramp.cells.placement import Location, best_spares, preferred
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


def test_every_cell_has_two_at_home_and_one_elsewhere() -> None:
    for cell in _ZONE:
        first, second, third = preferred(cell, _ALL)[:3]
        assert first == cell
        assert _ZONE[second] == _ZONE[cell]
        assert _ZONE[third] != _ZONE[cell]
        if _REGION[cell] == 'medina':
            assert _REGION[third] == 'medina'


def test_spare_restores_the_spread() -> None:
    e1, e2, e3, e4, e5 = (InstanceId(f'e{number}') for number in range(1, 6))
    spares = [e2, e4, e5]
    assert best_spares(e1, [e1, e3], spares, _ALL)[0] == e2
    assert best_spares(e1, [e1, e2], [e4, e5], _ALL)[0] == e4


def test_a_lone_instance_is_its_own_place() -> None:
    assert preferred(InstanceId('e1'), _ALL[:1]) == ['e1']
