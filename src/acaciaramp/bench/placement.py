"""Time that the choice of an endpoint takes, without a network."""

from __future__ import annotations

import random
import statistics
import time

import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import Endpoint
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone, EndpointId, ServiceName
from acaciaramp.scheduling.expected_finish import PromptPart, RequestWork

_ZONE_COUNT = 6
_SERVICE = ServiceName('model')
_SLOTS = 8
_ENDPOINT_COUNT = 48
_PROMPT_TOKENS = 1_460
_OUTPUT_TOKENS = 80
_OBJECTIVE_MS = 300
_CACHE_TOKENS = 72_000
_ROUNDS = 2_000
_STEP_MS = 20
_SLOW_PERCENT = 250
_NS_PER_US = 1_000
_HUNDRED = 100


class PlacementCost(msgspec.Struct, frozen=True):
    """Time of one ranking of all endpoints of a service.

    Attributes:
        endpoints: Number of endpoints.
        states_duration: Whether they state how long work takes there.
        median_us: Median time, microseconds.
        p99_us: 99th percentile, microseconds.
    """

    endpoints: int
    states_duration: bool
    median_us: float
    p99_us: float


def measure_placement(*, states_duration: bool) -> PlacementCost:
    """Measure rankings of an instance, each after a new report of an endpoint.

    Args:
        states_duration: Whether the endpoints state how long work takes there,
            so that the expected finish decides.
    """
    rng = random.Random(1)
    clock = ManualClock()
    selector = _selector(clock, rng)
    endpoints = selector.staying()
    query = _query()
    times_us = []
    for _ in range(_ROUNDS):
        clock.advance(_STEP_MS)
        reporting = rng.choice(endpoints)
        percent: int | None = None
        if states_duration:
            percent = rng.choice((_HUNDRED, _SLOW_PERCENT))
        selector.record_load(
            reporting,
            EndpointLoad(rng.randrange(_SLOTS), 0, _SLOTS, percent),
        )
        started_ns = time.perf_counter_ns()
        selector.rank(query)
        times_us.append((time.perf_counter_ns() - started_ns) / _NS_PER_US)
    return PlacementCost(
        endpoints=len(endpoints),
        states_duration=states_duration,
        median_us=round(statistics.median(times_us), 1),
        p99_us=round(statistics.quantiles(times_us, n=_HUNDRED)[-1], 1),
    )


def _selector(clock: ManualClock, rng: random.Random) -> EndpointSelector:
    regions = {
        _zone(number): f'r-{number % 2}' for number in range(_ZONE_COUNT)
    }
    selector = EndpointSelector(_zone(0), 'r-0', regions, clock, rng)
    selector.replace_endpoints(
        [_endpoint(number) for number in range(_ENDPOINT_COUNT)]
    )
    return selector


def _zone(number: int) -> AvailabilityZone:
    return AvailabilityZone(f'z-{number % _ZONE_COUNT}')


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        id=EndpointId(f'e-{number}'),
        service=_SERVICE,
        host='127.0.0.1',
        port=1,
        availability_zone=_zone(number),
        slots=_SLOTS,
    )


def _query() -> EndpointQuery:
    parts = (
        PromptPart('shared', _PROMPT_TOKENS // 2),
        PromptPart('session', _PROMPT_TOKENS // 2),
    )
    return EndpointQuery(
        service=_SERVICE,
        affinity_key='session',
        warm_endpoint='e-1',
        work=RequestWork(
            prompt_tokens=_PROMPT_TOKENS,
            output_tokens=_OUTPUT_TOKENS,
            parts=parts,
        ),
        objective_ms=_OBJECTIVE_MS,
        cache_tokens=_CACHE_TOKENS,
    )
