"""EndpointSelector chooses by load, locality, affinity and backoff."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING, Any

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
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


def selector_with(
    *endpoints: Endpoint, clock: ManualClock, seed: int = 1, zone: str = 'north'
) -> EndpointSelector:
    selector = EndpointSelector(
        AvailabilityZone(zone), 'east', REGIONS, clock, random.Random(seed)
    )
    selector.replace_endpoints(endpoints)
    return selector


def endpoint(name: str, zone: str = 'north', **changes: Any) -> Endpoint:
    return build.listed_endpoint(
        name, availability_zone=AvailabilityZone(zone), **changes
    )


def chosen(
    selector: EndpointSelector, affinity_key: str = '', *excluded: str
) -> str | None:
    query = EndpointQuery(service=build.MODEL, affinity_key=affinity_key)
    ranked = selector.rank(query, excluded)
    return ranked[0].id if ranked else None


def test_the_least_busy_endpoint_is_chosen() -> None:
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    selector.record_start(a, '')
    assert chosen(selector) == 'b'
    selector.record_end(a)
    selector.record_start(b, '')
    assert chosen(selector) == 'a'


def test_load_of_other_instances_counts_while_its_report_is_recent() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=clock)
    selector.record_start(b, '')
    selector.record_load(a, EndpointLoad(3, 1, 4))
    assert chosen(selector) == 'b'
    clock.advance(1_000)
    assert chosen(selector) == 'a'


def test_the_local_zone_is_preferred_then_the_local_region() -> None:
    same_zone, same_region, far = (
        endpoint('n'),
        endpoint('s', 'south'),
        endpoint('f', 'far'),
    )
    selector = selector_with(far, same_region, same_zone, clock=ManualClock())
    order: list[str] = []
    for _ in range(3):
        name = chosen(selector, '', *order)
        assert name is not None
        order.append(name)
    assert order == ['n', 's', 'f']


def test_a_busy_region_overflows_into_another_one() -> None:
    near, far = endpoint('n'), endpoint('f', 'far')
    selector = selector_with(near, far, clock=ManualClock())
    for _ in range(5):
        selector.record_start(near, '')
    assert chosen(selector) == 'f'


def test_a_session_stays_with_its_endpoint() -> None:
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    selector.record_start(b, 'session')
    assert chosen(selector, 'session') == 'b'


def test_leaving_and_excluded_endpoints_are_not_selected() -> None:
    selector = selector_with(
        endpoint('a', is_leaving=True), endpoint('b'), clock=ManualClock()
    )
    assert chosen(selector) == 'b'
    assert chosen(selector, '', 'b') is None


def test_the_word_of_a_leaving_endpoint_goes_before_a_late_list() -> None:
    a, b = endpoint('a', born_ms=1), endpoint('b', 'south')
    selector = selector_with(a, b, clock=ManualClock())
    assert chosen(selector) == 'a'
    selector.record_leaving(a)
    assert chosen(selector) == 'b'
    selector.replace_endpoints((a, b))
    assert chosen(selector) == 'b'
    assert not selector.is_candidate(a, EndpointQuery(service=build.MODEL))
    selector.replace_endpoints((endpoint('a', born_ms=2), b))
    assert chosen(selector) == 'a'


def test_an_endpoint_that_is_listed_again_after_it_was_gone_is_used() -> None:
    a, b = endpoint('a'), endpoint('b', 'south')
    selector = selector_with(a, b, clock=ManualClock())
    selector.record_leaving(a)
    selector.replace_endpoints((b,))
    selector.replace_endpoints((a, b))
    assert chosen(selector) == 'a'


def test_a_service_whose_last_endpoint_leaves_has_none() -> None:
    only = endpoint('a')
    selector = selector_with(only, clock=ManualClock())
    selector.record_leaving(only)
    assert chosen(selector) is None
    assert not selector.has_endpoints


def test_a_failed_endpoint_is_backed_off() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b', 'south')
    selector = selector_with(a, b, clock=clock)
    selector.record_failure(a, 'cut')
    assert chosen(selector) == 'b'
    assert chosen(selector, '', 'b') == 'a'
    clock.advance(500)
    assert chosen(selector) == 'a'


def test_backoff_grows_until_a_success() -> None:
    clock = ManualClock()
    a, b = endpoint('a'), endpoint('b', 'south')
    selector = selector_with(a, b, clock=clock)
    selector.record_failure(a, 'cut')
    selector.record_failure(a, 'cut')
    clock.advance(500)
    assert chosen(selector) == 'b'
    selector.record_success(a)
    assert chosen(selector) == 'a'


def test_the_selector_of_an_entry_uses_the_regions_of_its_settings() -> None:
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
    selector = make_selector(cfg, ManualClock(), random.Random(1))
    near, far = endpoint('n', 'south'), endpoint('f', 'far')
    selector.replace_endpoints((far, near))
    selector.record_start(near, '')
    assert chosen(selector) == 'n'


ZONES = ('north', 'south')
NEAR = [endpoint(f'e-{number}', ZONES[number % 2]) for number in range(8)]
ENTRIES = 170
LEDGER_QUERY = EndpointQuery(
    service=build.MODEL, affinity_key='session', warm_endpoint='e-3'
)


def entries() -> list[EndpointSelector]:
    """Return the selectors of many entry instances that know no load."""
    return [
        selector_with(
            *NEAR,
            endpoint('f', 'far'),
            clock=ManualClock(),
            seed=number,
            zone=ZONES[number % 2],
        )
        for number in range(ENTRIES)
    ]


def test_first_turns_are_spread_over_the_endpoints_of_the_zone() -> None:
    counts = collections.Counter(
        chosen(item, f'session-{number}')
        for number, item in enumerate(entries())
    )
    assert set(counts) == {item.id for item in NEAR}
    assert max(counts.values()) < 2 * ENTRIES / len(NEAR)


def test_requests_without_a_key_are_spread_over_the_zone() -> None:
    counts = collections.Counter(map(chosen, entries()))
    assert set(counts) == {item.id for item in NEAR}
    assert max(counts.values()) < 2 * ENTRIES / len(NEAR)


def test_a_program_stays_with_the_endpoint_that_the_ledger_names() -> None:
    for selector in entries():
        assert selector.rank(LEDGER_QUERY)[0].id == 'e-3'


def test_a_program_moves_on_from_a_busy_endpoint() -> None:
    selector = entries()[0]
    selector.record_load(NEAR[3], EndpointLoad(6, 4, 6))
    assert selector.rank(LEDGER_QUERY)[0].id != 'e-3'


def test_a_required_version_is_the_only_one_that_is_selected() -> None:
    old, new = endpoint('o', version='v1'), endpoint('n', version='v2')
    selector = selector_with(old, new, clock=ManualClock())
    for _ in range(5):
        selector.record_start(old, '')
    query = EndpointQuery(
        service=build.MODEL, version='v1', requires_version=True
    )
    assert selector.rank(query) == [old]
    assert selector.rank(query, ('o',)) == []
    assert not selector.lacks_version(query)


def test_a_preferred_version_costs_less_than_a_request() -> None:
    old, new = endpoint('o', version='v1'), endpoint('n', version='v2')
    selector = selector_with(old, new, clock=ManualClock())
    query = EndpointQuery(service=build.MODEL, version='v1')
    assert selector.rank(query)[0] == old
    selector.record_start(old, '')
    assert selector.rank(query)[0] == new


def test_the_last_endpoints_of_a_version_serve_its_streams_a_little_longer() -> (
    None
):
    clock = ManualClock()
    old = endpoint('o', version='v1', is_leaving=True)
    new = endpoint('n', version='v2')
    selector = EndpointSelector(
        AvailabilityZone('north'),
        'east',
        REGIONS,
        clock,
        random.Random(1),
        leaving_grace_ms=900,
    )
    query = EndpointQuery(
        service=build.MODEL, version='v1', requires_version=True
    )
    clock.advance(10_000)
    selector.replace_endpoints((old, new))
    assert chosen(selector) == 'n'
    clock.advance(500)
    selector.replace_endpoints((old, new))
    assert selector.rank(query) == [old]
    assert selector.is_candidate(old, query)
    clock.advance(400)
    assert selector.rank(query) == []
    assert not selector.is_candidate(old, query)
    assert selector.lacks_version(query)


def test_an_instance_without_a_list_does_not_say_that_a_version_has_gone() -> (
    None
):
    query = EndpointQuery(
        service=build.MODEL, version='v1', requires_version=True
    )
    assert not selector_with(clock=ManualClock()).lacks_version(query)


def test_the_load_of_a_service_is_that_of_recent_reports() -> None:
    """Guards against admission by endpoints that nothing is known of."""
    clock = ManualClock()
    listed = [endpoint(name, slots=4) for name in 'abcd']
    selector = selector_with(*listed, clock=clock)
    assert not selector.pressure_of(build.MODEL).is_known
    for item, waiting in zip(listed[:2], (0, 3), strict=True):
        selector.record_load(item, EndpointLoad(4, waiting, 4))
    pressure = selector.pressure_of(build.MODEL)
    assert (pressure.running, pressure.waiting, pressure.slots) == (8, 3, 8)
    assert pressure.is_known
    clock.advance(1_000)
    assert not selector.pressure_of(build.MODEL).is_known


def test_an_endpoint_has_capacity_for_one_request_beyond_its_slots() -> None:
    """Guards against filling the queue of an endpoint between two reports."""
    clock = ManualClock()
    item = endpoint('a', slots=4)
    selector = selector_with(item, clock=clock)
    selector.record_load(item, EndpointLoad(3, 0, 4))
    assert selector.has_capacity(item, claimed=1)
    assert not selector.has_capacity(item, claimed=2)
    selector.record_start(item, '')
    assert not selector.has_capacity(item, claimed=1)
    clock.advance(1_000)
    assert selector.has_capacity(item, claimed=3)
