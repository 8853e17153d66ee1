"""EndpointSelector chooses by load, locality, affinity and backoff."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.metrics.client import Metrics
from acaciaramp.roles.entry_parts import make_selector
from acaciaramp.scheduling.expected_finish import PromptPart, RequestWork
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


# Guards against a late response of an earlier lifetime that takes the requests from
# the present one until the next list.
def test_the_word_of_an_earlier_lifetime_says_nothing_of_the_present_one() -> (
    None
):
    old, new = endpoint('a', born_ms=1), endpoint('a', born_ms=2)
    selector = selector_with(old, endpoint('b', 'south'), clock=ManualClock())
    selector.replace_endpoints((new, endpoint('b', 'south')))
    selector.record_leaving(old)
    assert chosen(selector) == 'a'
    selector.record_leaving(new)
    assert chosen(selector) == 'b'


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
    selector = make_selector(cfg, ManualClock(), random.Random(1), Metrics())
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


WORK = RequestWork(
    prompt_tokens=2_000,
    output_tokens=100,
    parts=(PromptPart('shared', 1_500), PromptPart('session', 500)),
)
WORK_QUERY = EndpointQuery(
    service=build.MODEL, work=WORK, objective_ms=250, cache_tokens=20_000
)


def record_speed(
    selector: EndpointSelector,
    item: Endpoint,
    percent: int = 100,
    *,
    running: int = 0,
    waiting: int = 0,
) -> None:
    load = EndpointLoad(running, waiting, item.slots, percent)
    selector.record_load(item, load)


def first(selector: EndpointSelector, query: EndpointQuery = WORK_QUERY) -> str:
    """Return the endpoint of a request; it must not be a matter of chance."""
    names = {selector.rank(query)[0].id for _ in range(20)}
    assert len(names) == 1
    return names.pop()


def test_a_slow_endpoint_is_avoided_though_it_is_less_busy() -> None:
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    record_speed(selector, a, 250)
    record_speed(selector, b, running=1)
    assert first(selector) == 'b'


def test_another_zone_is_used_only_for_a_gain_over_the_cost_of_its_path() -> (
    None
):
    near, south, far = (
        endpoint('n'),
        endpoint('s', 'south'),
        endpoint('f', 'far'),
    )
    selector = selector_with(near, south, far, clock=ManualClock())
    for item in (near, south, far):
        record_speed(selector, item)
    order = [item.id for item in selector.rank(WORK_QUERY)]
    assert order == ['n', 's', 'f']
    record_speed(selector, near, running=4, waiting=4)
    assert first(selector) == 's'
    record_speed(selector, south, running=4, waiting=12)
    record_speed(selector, near, running=3)
    assert first(selector) == 'n'
    record_speed(selector, near, running=4, waiting=12)
    assert first(selector) == 'f'


def test_a_program_keeps_its_warm_endpoint_unless_another_finishes_sooner() -> (
    None
):
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    query = EndpointQuery(
        service=build.MODEL, work=WORK, objective_ms=250, warm_endpoint='b'
    )
    record_speed(selector, a)
    record_speed(selector, b)
    assert first(selector, query) == 'b'
    record_speed(selector, b, running=4, waiting=4)
    assert first(selector, query) == 'a'


def test_a_caller_in_another_zone_comes_back_for_a_long_warm_prompt() -> None:
    """Guards against a fixed rule: the same sum decides for both lengths."""
    near, south = endpoint('n'), endpoint('s', 'south')
    selector = selector_with(near, south, clock=ManualClock())
    record_speed(selector, near)
    record_speed(selector, south)
    for prompt_tokens, name in ((1_000, 'n'), (20_000, 's')):
        query = EndpointQuery(
            service=build.MODEL,
            work=RequestWork(prompt_tokens=prompt_tokens, output_tokens=10),
            objective_ms=250,
            warm_endpoint='s',
        )
        assert first(selector, query) == name


def test_a_shared_part_of_a_prompt_draws_requests_to_its_endpoint() -> None:
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    record_speed(selector, a)
    record_speed(selector, b)
    selector.start_timing(b, WORK_QUERY)
    other = msgspec.structs.replace(
        WORK, parts=(WORK.parts[0], PromptPart('other', 500))
    )
    query = msgspec.structs.replace(WORK_QUERY, work=other)
    assert first(selector, query) == 'b'


def test_requests_that_exceed_the_cache_memory_go_elsewhere() -> None:
    a, b = endpoint('a'), endpoint('b', 'south')
    selector = selector_with(a, b, clock=ManualClock())
    record_speed(selector, a)
    record_speed(selector, b)
    assert first(selector) == 'a'
    selector.record_start(a, '', 18_000)
    assert first(selector) == 'b'
    selector.record_end(a, 18_000)
    assert first(selector) == 'a'


def test_failed_and_excluded_endpoints_are_left_out_of_the_ranking() -> None:
    a, b, c = endpoint('a'), endpoint('b'), endpoint('c')
    selector = selector_with(a, b, c, clock=ManualClock())
    for item in (a, b, c):
        record_speed(selector, item)
    selector.record_failure(a, 'cut')
    assert [item.id for item in selector.rank(WORK_QUERY, ('b',))] == ['c']
    assert [item.id for item in selector.rank(WORK_QUERY, ('b', 'c'))] == ['a']


def test_requests_without_token_counts_go_to_the_endpoint_of_their_object() -> (
    None
):
    a, b = endpoint('a'), endpoint('b')
    selector = selector_with(a, b, clock=ManualClock())
    record_speed(selector, a)
    record_speed(selector, b)
    query = EndpointQuery(service=build.MODEL, affinity_key='object')
    selector.record_start(b, 'object')
    assert first(selector, query) == 'b'


def test_the_terms_of_a_choice_are_logged() -> None:
    a = endpoint('a', 'south')
    selector = selector_with(a, clock=ManualClock())
    fields = selector.explain(a, WORK_QUERY)
    assert 'finish_ms' not in fields
    record_speed(selector, a, 200)
    fields = selector.explain(a, WORK_QUERY)
    assert fields['finish_ms'] > 600
    assert fields['duration'] == 2
    assert fields['prompt_tokens'] == 2_000
