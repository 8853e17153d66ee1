"""SelectorLoad: what admission control learns of services and endpoints."""

from __future__ import annotations

import random

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.forwarding.service_load import SelectorLoad
from acaciaramp.ids import AvailabilityZone
from acaciaramp.scheduling.load_board import REPORT_MAX_AGE_MS
from tests import builders as build

ZONE = AvailabilityZone('north')


def make_load(
    clock: ManualClock, *names: str
) -> tuple[SelectorLoad, EndpointSelector]:
    """Return the load of listed endpoints of four slots and its selector."""
    selector = EndpointSelector(
        ZONE, 'here', {ZONE: 'here'}, clock, random.Random(1)
    )
    selector.replace_endpoints(
        [
            build.listed_endpoint(name, availability_zone=ZONE, slots=4)
            for name in names
        ]
    )
    return SelectorLoad(selector, clock), selector


def test_the_load_of_a_service_is_that_of_recent_reports() -> None:
    """Guards against admission by endpoints that nothing is known of."""
    clock = ManualClock()
    load, selector = make_load(clock, 'a', 'b', 'c', 'd')
    listed = selector.staying()
    service = listed[0].service
    assert not load.pressure_of(service).is_known
    for item, waiting in zip(listed[:2], (0, 3), strict=True):
        selector.record_load(item, EndpointLoad(4, waiting, 4))
    pressure = load.pressure_of(service)
    assert (pressure.running, pressure.waiting, pressure.slots) == (8, 3, 8)
    assert pressure.is_known
    clock.advance(REPORT_MAX_AGE_MS)
    assert not load.pressure_of(service).is_known


def test_an_endpoint_has_capacity_for_one_request_beyond_its_slots() -> None:
    """Guards against filling the queue of an endpoint between two reports."""
    clock = ManualClock()
    load, selector = make_load(clock, 'a')
    item = selector.staying()[0]
    selector.record_load(item, EndpointLoad(3, 0, 4))
    assert load.has_capacity(item, claimed=1)
    assert not load.has_capacity(item, claimed=2)
    selector.record_start(item, '')
    assert not load.has_capacity(item, claimed=1)
    clock.advance(REPORT_MAX_AGE_MS)
    assert load.has_capacity(item, claimed=3)


def test_an_endpoint_without_a_report_is_not_free_while_the_others_are_full() -> (
    None
):
    """Guards against queues at endpoints that no entry has heard of lately."""
    clock = ManualClock()
    load, selector = make_load(clock, 'a', 'b', 'c', 'd', 'e', 'f')
    *heard, silent, mute, other = selector.staying()
    for item in heard:
        selector.record_load(item, EndpointLoad(4, 3, 4))
    assert load.has_capacity(silent, claimed=0)
    assert not load.has_capacity(silent, claimed=1)
    selector.record_start(silent, '')
    assert not load.has_capacity(silent, claimed=0)
    selector.record_start(mute, '')
    assert not load.has_capacity(other, claimed=0)
    clock.advance(25)
    selector.record_load(silent, EndpointLoad(1, 0, 4))
    assert load.has_capacity(silent, claimed=0)
    assert load.has_capacity(other, claimed=0)


def test_an_endpoint_without_a_report_is_free_while_others_have_free_slots() -> (
    None
):
    """Guards against requests that wait while there is room."""
    clock = ManualClock()
    load, selector = make_load(clock, 'a', 'b', 'c', 'd', 'e')
    *heard, silent, _ = selector.staying()
    for item in heard:
        selector.record_load(item, EndpointLoad(3, 0, 4))
    selector.record_start(silent, '')
    assert load.has_capacity(silent, claimed=2)
    clock.advance(REPORT_MAX_AGE_MS)
    assert load.has_capacity(silent, claimed=3)
