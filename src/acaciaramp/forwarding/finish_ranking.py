"""Ranks endpoints by when each is expected to finish a request.

Used for services whose endpoints state how long work takes there. The expected
finish is the time on the network, the wait and the processing at the endpoint;
paths to other zones and regions cost more than their time.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any, NamedTuple

from acaciaramp.ids import EndpointId
from acaciaramp.scheduling.expected_finish import (
    EndpointTerms,
    Path,
    ServiceLoad,
    endpoint_terms,
    finish_times_ms,
    memory_wait_ms,
)
from acaciaramp.scheduling.load_board import USUAL_DURATION_PERCENT
from acaciaramp.scheduling.prefixes import PrefixCaches
from acaciaramp.scheduling.speeds import ResponseTiming, ServiceSpeeds

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.selector import EndpointQuery
    from acaciaramp.ids import AvailabilityZone, ServiceName
    from acaciaramp.scheduling.load_board import LoadBoard

# Round trips, from the known deployments (one way 0.9 to 1.4 ms between zones and
# 8 ms between regions).
_ZONE_ROUND_TRIP_MS = 3
_REGION_ROUND_TRIP_MS = 16
# Bytes between zones are expensive, the link between regions is narrow, and what is
# known of endpoints there is older. A request leaves its zone or region only if that
# spares the caller more than this share of the objective. In plays of uneven demand,
# 0.1 for a zone sent 20 to 28 in 100 requests to others, 0.2 sends 10 to 15, and 0.4
# makes more of them late (tests/forwarding/test_uneven_load.py).
_ZONE_COST_SHARE = 0.2
_REGION_COST_SHARE = 0.5
# For routes without an objective; the objectives of the known ones are 250 to
# 500 ms.
_DEFAULT_OBJECTIVE_MS = 250
# Another version than the recorded one takes a commit (12 to 26 ms).
_OTHER_VERSION_MS = 20
# Share of the prompt that is new in a later turn of a program: the ledger names
# the endpoint of its last turn, but not how long that was.
_NEW_PROMPT_SHARE = 0.25
# Share of a request without token counts that is spared where an earlier request
# for the same object ran.
_STICKY_SHARE = 0.3
# Mean of a random number from 0 to 1, for logs.
_MEAN_DRAW = 0.5
# The weight of a report falls by 10 in 100 within this time.
_TERMS_AGE_MS = 200
# The usual duration at a service is computed again after this time.
_USUAL_AGE_MS = 1_000


_OWN_ZONE = Path(0, 0)
_OTHER_ZONE = Path(_ZONE_ROUND_TRIP_MS, _ZONE_COST_SHARE)
_OTHER_REGION = Path(_REGION_ROUND_TRIP_MS, _REGION_COST_SHARE)


class _Work(NamedTuple):
    """Time that a request takes at usual speed, and where it takes less.

    Attributes:
        total_ms: The time at an endpoint that has none of its prompt.
        context_tokens: Cache memory that it takes.
        spared_ms: Time that is spared, by endpoint.
    """

    total_ms: float
    context_tokens: int
    spared_ms: Mapping[EndpointId, float]


class FinishRanking:
    """Expected finish of requests at the endpoints of all services."""

    def __init__(
        self,
        board: LoadBoard,
        zone: AvailabilityZone,
        regions: Mapping[AvailabilityZone, str],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create the ranking with initial speeds.

        Args:
            board: Load of the endpoints.
            zone: Availability zone of this instance.
            regions: Region of each availability zone.
            clock: Source of time.
            rng: Chooses among endpoints of nearly equal finish.
        """
        self._board = board
        self._paths = {
            name: _path_to(name, zone, regions) for name in (*regions, zone)
        }
        self._clock = clock
        self._rng = rng
        self._prefixes = PrefixCaches(clock)
        self._speeds: dict[ServiceName, ServiceSpeeds] = (
            collections.defaultdict(ServiceSpeeds)
        )
        # Terms of each endpoint and when they were computed.
        self._terms: dict[str, tuple[int, EndpointTerms]] = {}
        self._usual: dict[ServiceName, tuple[int, float]] = {}

    def applies_to(self, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether any of a service's endpoints states a duration."""
        return any(
            self._board.load_of(endpoint.id).duration_percent is not None
            for endpoint in endpoints
        )

    def rank(
        self,
        endpoints: Sequence[Endpoint],
        query: EndpointQuery,
        warm_id: str | None,
    ) -> list[Endpoint]:
        """Return endpoints of a service, the one that finishes first first."""
        service = self._service_load(query, endpoints)
        terms = self._terms_of(endpoints, service)
        work = self._work(query, warm_id)
        costs = finish_times_ms(
            terms,
            work.total_ms,
            _cost_base_ms(query, service),
            self._rng.random,
        )
        if query.version is not None:
            _add_version_costs(costs, endpoints, query.version)
        ids = [endpoint.id for endpoint in endpoints]
        for endpoint_id, spared_ms in work.spared_ms.items():
            if endpoint_id in ids:
                index = ids.index(endpoint_id)
                costs[index] -= terms[index].duration * spared_ms
        _add_memory_waits(costs, terms, work.context_tokens, service)
        order = sorted(range(len(costs)), key=costs.__getitem__)
        return [endpoints[number] for number in order]

    def explain(
        self,
        endpoint: Endpoint,
        endpoints: Sequence[Endpoint],
        query: EndpointQuery,
        warm_id: str | None,
    ) -> dict[str, Any]:
        """Return the terms of an endpoint's expected finish as log fields."""
        service = self._service_load(query, endpoints)
        term = self._terms_of([endpoint], service)[0]
        work = self._work(query, warm_id)
        work_ms = work.total_ms - work.spared_ms.get(endpoint.id, 0)
        memory_ms = memory_wait_ms(term, work.context_tokens, service)
        finish_ms = finish_times_ms(
            [term],
            work_ms,
            _cost_base_ms(query, service),
            lambda: _MEAN_DRAW,
        )
        return {
            'finish_ms': round(finish_ms[0]),
            'memory_wait_ms': round(memory_ms),
            'excess': round(term.excess, 1),
            'duration': round(term.duration, 2),
            'prompt_tokens': query.work.prompt_tokens,
            'output_tokens': query.work.output_tokens,
        }

    def record_start(
        self, endpoint: Endpoint, query: EndpointQuery, warm_id: str | None
    ) -> ResponseTiming:
        """Record that a request is sent to an endpoint.

        Returns:
            Learns from the times of its response.
        """
        speeds = self._speeds[endpoint.service]
        cached_tokens = self._cached_tokens(query, warm_id).get(endpoint.id, 0)
        speeds.record_request(query.work, cached_tokens)
        self._prefixes.record(
            endpoint.id, query.work.parts, query.work.output_tokens
        )
        uncached_tokens: float | None = None
        if query.work.has_tokens:
            uncached_tokens = query.work.prompt_tokens - cached_tokens
        return ResponseTiming(
            speeds,
            self._board.load_of(endpoint.id),
            self._clock,
            uncached_tokens,
            network_ms=self._path(endpoint.availability_zone).round_trip_ms,
        )

    def _path(self, zone: AvailabilityZone) -> Path:
        return self._paths.get(zone, _OTHER_ZONE)

    def _work(self, query: EndpointQuery, warm_id: str | None) -> _Work:
        """Return the time of a request's work, and where it takes less."""
        speeds = self._speeds[query.service]
        total_ms = speeds.work_ms(query.work)
        spared_ms: dict[EndpointId, float] = {}
        if query.work.has_tokens:
            cached = self._cached_tokens(query, warm_id)
            for endpoint_id, tokens in cached.items():
                spared_ms[EndpointId(endpoint_id)] = (
                    tokens * speeds.ms_per_prompt_token
                )
        elif warm_id is not None:
            spared_ms[EndpointId(warm_id)] = _STICKY_SHARE * total_ms
        return _Work(total_ms, query.work.context_tokens, spared_ms)

    def _cached_tokens(
        self, query: EndpointQuery, warm_id: str | None
    ) -> dict[str, float]:
        """Return how much of a prompt each endpoint need not process."""
        cached = self._prefixes.cached_tokens(query.work.parts)
        if warm_id is not None:
            tokens = (1 - _NEW_PROMPT_SHARE) * query.work.prompt_tokens
            cached[warm_id] = max(tokens, cached.get(warm_id, 0))
        return cached

    def _terms_of(
        self, endpoints: Sequence[Endpoint], service: ServiceLoad
    ) -> list[EndpointTerms]:
        """Return the terms of endpoints of one service.

        They are kept until the state of the endpoint changes, and at most for
        the time in which the weight of its report hardly does.
        """
        known = self._terms
        for endpoint_id in self._board.take_changed():
            known.pop(endpoint_id, None)
        load_of = self._board.load_of
        oldest_ms = service.now_ms - _TERMS_AGE_MS
        terms = []
        for endpoint in endpoints:
            entry = known.get(endpoint.id)
            if entry is None or entry[0] <= oldest_ms:
                term = endpoint_terms(
                    load_of(endpoint.id),
                    endpoint.slots or 1,
                    self._path(endpoint.availability_zone),
                    service,
                )
                entry = (service.now_ms, term)
                known[endpoint.id] = entry
            terms.append(entry[1])
        return terms

    def _service_load(
        self, query: EndpointQuery, endpoints: Sequence[Endpoint]
    ) -> ServiceLoad:
        speeds = self._speeds[query.service]
        work = query.work
        now_ms = self._clock.now_ms()
        return ServiceLoad(
            now_ms=now_ms,
            request_ms=speeds.request_ms or speeds.work_ms(work),
            context_tokens=speeds.context_tokens or work.context_tokens,
            cache_tokens=query.cache_tokens,
            duration_percent=self._usual_duration(
                query.service, endpoints, now_ms
            ),
        )

    def _usual_duration(
        self,
        service: ServiceName,
        endpoints: Sequence[Endpoint],
        now_ms: int,
    ) -> float:
        """Return the median duration of the endpoints that state one."""
        computed_ms, usual = self._usual.get(
            service, (-_USUAL_AGE_MS, USUAL_DURATION_PERCENT)
        )
        if now_ms - computed_ms < _USUAL_AGE_MS:
            return usual
        states = [self._board.load_of(item.id) for item in endpoints]
        stated = sorted(
            state.mean_duration_percent
            for state in states
            if state.duration_percent is not None
        )
        if stated:
            usual = stated[len(stated) // 2]
        self._usual[service] = (now_ms, usual)
        return usual


def _cost_base_ms(query: EndpointQuery, service: ServiceLoad) -> float:
    """Return the time of which paths cost a share."""
    objective_ms = query.objective_ms or _DEFAULT_OBJECTIVE_MS
    return max(objective_ms, service.request_ms)


def _add_version_costs(
    costs: list[float], endpoints: Sequence[Endpoint], version: str
) -> None:
    for number, endpoint in enumerate(endpoints):
        if endpoint.version != version:
            costs[number] += _OTHER_VERSION_MS


def _add_memory_waits(
    costs: list[float],
    terms: Sequence[EndpointTerms],
    context_tokens: int,
    service: ServiceLoad,
) -> None:
    for number, term in enumerate(terms):
        if term.free_tokens < context_tokens:
            costs[number] += memory_wait_ms(term, context_tokens, service)


def _path_to(
    name: AvailabilityZone,
    zone: AvailabilityZone,
    regions: Mapping[AvailabilityZone, str],
) -> Path:
    """Return the path from a zone to another one.

    A zone whose region is unknown counts as one of the own region.
    """
    if name == zone:
        return _OWN_ZONE
    own_region = regions.get(zone)
    return _OTHER_ZONE if regions.get(name) == own_region else _OTHER_REGION
