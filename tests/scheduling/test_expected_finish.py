"""Expected finish: waits, speeds, memory, and what is assumed without reports."""

from __future__ import annotations

import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.scheduling.expected_finish import (
    Path,
    PromptPart,
    RequestWork,
    ServiceLoad,
    endpoint_terms,
    expected_busy,
    expected_duration,
    finish_times_ms,
    memory_wait_ms,
    work_units,
)
from acaciaramp.scheduling.load_board import EndpointState
from acaciaramp.scheduling.prefixes import PrefixCaches
from acaciaramp.scheduling.speeds import ResponseTiming, ServiceSpeeds

SLOTS = 8
WORK_MS = 300
SERVICE = ServiceLoad(now_ms=0, request_ms=WORK_MS)
NEAR, FAR = Path(0, 0), Path(3, 0.2)
SHARED = PromptPart('shared', 800)
SESSION = PromptPart('session', 200)


def lowest() -> float:
    return 0


def highest() -> float:
    return 1


def state(busy: int, percent: float = 100, age_ms: int = 0) -> EndpointState:
    """Return what is known of an endpoint that has had this speed for long."""
    return EndpointState(
        running=min(busy, SLOTS),
        waiting=max(0, busy - SLOTS),
        slots=SLOTS,
        duration_percent=percent,
        mean_duration_percent=percent,
        reported_ms=-age_ms,
    )


def finish(
    known: EndpointState, context: int = 0, service: ServiceLoad = SERVICE
) -> float:
    terms = endpoint_terms(known, SLOTS, NEAR, service)
    return finish_times_ms([terms], WORK_MS, 250, lowest)[0] + memory_wait_ms(
        terms, context, service
    )


def test_the_wait_is_the_queue_over_the_slots() -> None:
    idle, queued = finish(state(0)), finish(state(SLOTS + 15))
    assert idle == WORK_MS
    assert queued - idle == 16 * WORK_MS / SLOTS


def test_work_and_waits_take_longer_on_a_slow_machine() -> None:
    for busy in (0, SLOTS + 15):
        slow = finish(state(busy, 250))
        assert slow == pytest.approx(2.5 * finish(state(busy)))


def test_a_path_costs_its_time_and_a_share_of_the_objective() -> None:
    terms = [
        endpoint_terms(state(0), SLOTS, path, SERVICE) for path in (NEAR, FAR)
    ]
    near_ms, far_ms = finish_times_ms(terms, WORK_MS, 250, lowest)
    assert far_ms - near_ms == pytest.approx(3 + 50)


def test_the_random_load_counts_only_near_a_full_endpoint() -> None:
    """Guards against spreading over zones while slots are free."""
    terms = [
        endpoint_terms(state(busy), SLOTS, NEAR, SERVICE)
        for busy in (0, SLOTS - 3, SLOTS - 1)
    ]
    times_ms = finish_times_ms(terms, WORK_MS, 250, highest)
    assert times_ms[1] == times_ms[0]
    assert times_ms[2] > times_ms[0]


def test_an_unknown_endpoint_is_neither_idle_nor_full() -> None:
    assert expected_busy(EndpointState(), SLOTS, SERVICE) == SLOTS / 2
    assert expected_duration(EndpointState(), SERVICE) == (1, 0)


def test_an_old_report_gives_way_to_what_is_assumed_without_one() -> None:
    busy = [
        expected_busy(state(16, age_ms=age_ms), SLOTS, SERVICE)
        for age_ms in (0, 1_000, 2_000, 9_000)
    ]
    assert busy == [16, 10, 4, 4]


def test_an_old_speed_gives_way_to_the_mean_of_the_endpoint() -> None:
    slow = state(0, 250)
    slow.mean_duration_percent = 150
    assert expected_duration(slow, SERVICE) == (1.5, 1)
    slow.reported_ms = -600
    assert expected_duration(slow, SERVICE)[1] == 0.5
    slow.reported_ms = -1_200
    assert expected_duration(slow, SERVICE)[1] == 0


def test_a_machine_that_was_slow_is_tried_again() -> None:
    """Guards against slow endpoints that never get a request again."""
    slow = state(0, 250, age_ms=4_000)
    assert expected_duration(slow, SERVICE) == (1.75, 0)
    slow.reported_ms = -8_000
    assert expected_duration(slow, SERVICE) == (1, 0)


def test_work_takes_its_present_duration_and_waits_the_mean_one() -> None:
    slow = state(SLOTS + 7, 250)
    slow.mean_duration_percent = 100
    waits_ms = 8 * WORK_MS / SLOTS
    assert finish(slow) == pytest.approx(2.5 * WORK_MS + waits_ms)


def test_requests_sent_since_a_report_count_until_it_is_replaced() -> None:
    known = state(4)
    known.in_flight = 3
    known.sent_since = 3
    assert expected_busy(known, SLOTS, SERVICE) == 7
    known.reported_ms = -9_000
    assert expected_busy(known, SLOTS, SERVICE) == SLOTS / 2 + 3


def test_a_request_that_exceeds_the_cache_memory_waits() -> None:
    service = ServiceLoad(
        now_ms=0, request_ms=300, context_tokens=1_000, cache_tokens=10_000
    )
    known = state(4)
    known.context_tokens = 5_000
    known.in_flight = 1
    fits = finish(known, 2_000, service)
    assert finish(known, 2_001, service) > fits + 300
    assert finish(known, 2_001) == finish(known, 2_000)


def test_work_counts_output_tokens_ten_times() -> None:
    assert work_units(400, 80) == 1_200


def test_only_the_beginning_of_a_prompt_is_reused() -> None:
    clock = ManualClock()
    caches = PrefixCaches(clock)
    caches.record('a', (SHARED, SESSION), 50)
    caches.record('b', (SHARED, PromptPart('other', 100)), 0)
    caches.record('c', (SESSION,), 0)
    longer = PromptPart('session', 400)
    assert caches.cached_tokens((SHARED, longer)) == {'a': 1_050, 'b': 800}
    assert caches.cached_tokens((longer,)) == {'a': 250, 'c': 200}
    clock.advance(20_000)
    assert caches.cached_tokens((SHARED,)) == {}


def test_prefixes_of_many_callers_are_bounded() -> None:
    caches = PrefixCaches(ManualClock())
    for number in range(3_000):
        caches.record('a', (PromptPart(f'p-{number}', 10),), 0)
        caches.record(f'e-{number}', (SHARED,), 0)
    assert len(caches._by_part) == 2_048
    assert len(caches.cached_tokens((SHARED,))) == 16


def test_the_speed_of_prompts_is_learned_from_times_to_the_first_part() -> None:
    speeds = ServiceSpeeds()
    for number in range(40):
        tokens = 500 + 100 * (number % 20)
        speeds.record_first_part(tokens, 30 + tokens / 100)
    assert speeds.ms_per_prompt_token == pytest.approx(1 / 100)


def test_prompts_of_one_length_teach_no_speed() -> None:
    speeds = ServiceSpeeds()
    before = speeds.ms_per_prompt_token
    for number in range(40):
        speeds.record_first_part(1_000, 10 + number % 9)
    assert speeds.ms_per_prompt_token == before


def test_outliers_move_a_learned_speed_little() -> None:
    speeds = ServiceSpeeds()
    speeds.record_parts(10, 100_000)
    assert speeds.ms_per_token < 2 * 3
    speeds.record_parts(0, 100_000)
    for _ in range(60):
        speeds.record_parts(10, 20)
    assert speeds.ms_per_token == pytest.approx(2, rel=0.1)
    for _ in range(200):
        speeds.record_first_part(10, 10_000_000)
        speeds.record_first_part(1_000, 0)
    assert speeds.ms_per_prompt_token == pytest.approx(1 / 480)


def timing(
    speeds: ServiceSpeeds, clock: ManualClock, known: EndpointState
) -> ResponseTiming:
    return ResponseTiming(speeds, known, clock, 1_000, network_ms=4)


def test_a_stream_teaches_the_time_per_token_at_usual_speed() -> None:
    clock, speeds = ManualClock(), ServiceSpeeds()
    for _ in range(80):
        observed = timing(speeds, clock, state(0, 200))
        observed.record_sent()
        clock.advance(50)
        observed.record_part(1)
        clock.advance(160)
        observed.record_part(5)
        observed.record_end(tokens_per_event=10)
    assert speeds.ms_per_token == pytest.approx(2, rel=0.05)


def test_requests_without_token_counts_teach_a_mean_time() -> None:
    clock, speeds = ManualClock(), ServiceSpeeds()
    for _ in range(80):
        observed = ResponseTiming(speeds, state(0), clock, None, network_ms=4)
        observed.record_sent()
        clock.advance(124)
        observed.record_part(0)
        observed.record_end(tokens_per_event=0)
    assert speeds.plain_ms == pytest.approx(120, rel=0.05)
    assert speeds.work_ms(RequestWork()) == speeds.plain_ms


def test_a_request_that_waited_or_was_not_sent_directly_teaches_nothing() -> (
    None
):
    clock, speeds = ManualClock(), ServiceSpeeds()
    waited = ResponseTiming(speeds, state(9), clock, None, network_ms=0)
    waited.record_sent()
    tunnelled = ResponseTiming(speeds, state(0), clock, None, network_ms=0)
    clock.advance(900)
    for observed in (waited, tunnelled):
        observed.record_part(0)
        observed.record_end(tokens_per_event=0)
    assert speeds.plain_ms == 50
