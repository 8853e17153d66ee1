"""Endpoints are chosen by load, place and what they know."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.roles.entry import make_selector
from acaciaramp.settings.node import InstanceList, NodeSettings, RoleName
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint

REGIONS = {
    AvailabilityZone('north'): 'east',
    AvailabilityZone('south'): 'east',
    AvailabilityZone('far'): 'west',
}


def placement(*endpoints: Endpoint, clock: ManualClock) -> EndpointSelector:
    found = EndpointSelector(AvailabilityZone('north'), 'east', REGIONS, clock)
    found.replace_endpoints(endpoints)
    return found


def endpoint(name: str, zone: str = 'north', **changes: Any) -> Endpoint:
    return build.listed_endpoint(
        name, availability_zone=AvailabilityZone(zone), **changes
    )


def chosen(
    found: EndpointSelector, line: str = '', *excluded: str
) -> str | None:
    endpoint = found.choose(build.MODEL, line, excluded)
    return None if endpoint is None else endpoint.id


def test_the_least_busy_endpoint_is_chosen() -> None:
    a, b = endpoint('a'), endpoint('b')
    found = placement(a, b, clock=ManualClock())
    found.begin(a, '')
    assert chosen(found) == 'b'
    found.end(a)
    found.begin(b, '')
    assert chosen(found) == 'a'


def test_requests_of_others_count_while_their_report_is_new() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b')
    found = placement(a, b, clock=clock)
    found.begin(b, '')
    found.take_load(a, EndpointLoad(3, 1, 4))
    assert chosen(found) == 'b'
    clock.advance(1_000)
    assert chosen(found) == 'a'


def test_the_own_zone_and_region_come_first() -> None:
    near, beside, far = (
        endpoint('n'),
        endpoint('s', 'south'),
        endpoint('f', 'far'),
    )
    found = placement(far, beside, near, clock=ManualClock())
    order: list[str] = []
    for _ in range(3):
        name = chosen(found, '', *order)
        assert name is not None
        order.append(name)
    assert order == ['n', 's', 'f']


def test_a_busy_region_overflows_into_another() -> None:
    near, far = endpoint('n'), endpoint('f', 'far')
    found = placement(near, far, clock=ManualClock())
    for _ in range(5):
        found.begin(near, '')
    assert chosen(found) == 'f'


def test_a_line_goes_where_its_prompt_is_warm() -> None:
    a, b = endpoint('a'), endpoint('b')
    found = placement(a, b, clock=ManualClock())
    found.begin(b, 'line')
    assert chosen(found, 'line') == 'b'
    assert chosen(found, 'other') == 'a'


def test_leaving_and_excluded_endpoints_are_not_chosen() -> None:
    found = placement(
        endpoint('a', is_leaving=True), endpoint('b'), clock=ManualClock()
    )
    assert chosen(found) == 'b'
    assert chosen(found, '', 'b') is None


def test_an_endpoint_that_failed_is_left_for_a_time() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b', 'south')
    found = placement(a, b, clock=clock)
    found.take_failure(a, 'cut')
    assert chosen(found) == 'b'
    assert chosen(found, '', 'b') == 'a'
    clock.advance(500)
    assert chosen(found) == 'a'


def test_pauses_grow_until_a_success() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b', 'south')
    found = placement(a, b, clock=clock)
    found.take_failure(a, 'cut')
    found.take_failure(a, 'cut')
    clock.advance(500)
    assert chosen(found) == 'b'
    found.take_success(a)
    assert chosen(found) == 'a'


def test_an_entry_knows_the_regions_of_its_settings() -> None:
    cfg = NodeSettings(
        instance='entry-1',
        role=RoleName.ENTRY,
        host='127.0.0.1',
        availability_zone=AvailabilityZone('north'),
        region='east',
        regions=REGIONS,
        inner_port=1,
        seeds=(),
        instance_list=InstanceList(address='127.0.0.1:1'),
    )
    found = make_selector(cfg, ManualClock())
    near, far = endpoint('n', 'south'), endpoint('f', 'far')
    found.replace_endpoints((far, near))
    found.begin(near, '')
    assert chosen(found) == 'n'
