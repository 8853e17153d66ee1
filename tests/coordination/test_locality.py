"""Replicas are preferred in one region, spread over its zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.locality import order_as_replicas
from acaciaramp.ids import AvailabilityZone
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Node


def node(name: str, zone: str, region: str) -> Node:
    return msgspec.structs.replace(
        build.node(name),
        availability_zone=AvailabilityZone(zone),
        region=region,
    )


NODES = [
    node('a1', 'north', 'east'),
    node('a2', 'north', 'east'),
    node('b1', 'south', 'east'),
    node('b2', 'south', 'east'),
    node('c1', 'far', 'west'),
    node('c2', 'far', 'west'),
    node('c3', 'far', 'west'),
]


def names(region: str | None) -> list[str]:
    return [item.instance for item in order_as_replicas(NODES, region)]


def test_zones_of_the_preferred_region_take_turns() -> None:
    assert names('east') == ['a1', 'b1', 'a2', 'b2', 'c1', 'c2', 'c3']
    assert names('west')[:3] == ['c1', 'c2', 'c3']


def test_largest_region_is_preferred_by_default() -> None:
    assert names(None)[:4] == ['a1', 'b1', 'a2', 'b2']
    assert order_as_replicas([], None) == []


def test_order_does_not_depend_on_that_of_the_nodes() -> None:
    backwards = order_as_replicas(list(reversed(NODES)), 'east')
    assert [item.instance for item in backwards] == names('east')
