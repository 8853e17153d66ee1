"""Selects the endpoint of each request by load, locality and affinity.

Answers the load of many entry instances of which each sends few requests: such
an instance often knows no endpoint's load, so what costs the same is chosen at
random, and the endpoint that ran a program's last turn is known by the ledger's
word. Where the endpoints of a service state how long work takes there, the expected
finish of the request decides instead (``finish_ranking``).
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.endpoints.failures import Failure
from acaciaramp.errors import ErrorCode
from acaciaramp.forwarding.finish_ranking import FinishRanking
from acaciaramp.forwarding.leaving import LeavingEndpoints, is_same_start
from acaciaramp.forwarding.region_reach import RegionReach
from acaciaramp.ids import ServiceName
from acaciaramp.metrics.client import Metrics
from acaciaramp.scheduling.expected_finish import RequestWork
from acaciaramp.scheduling.load_board import LoadBoard, LoadReport
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.leaving import LeavingEndpoint
    from acaciaramp.forwarding.messages import EndpointLoad
    from acaciaramp.ids import AvailabilityZone, EndpointId
    from acaciaramp.scheduling.speeds import ResponseTiming

logger = get_logger('placement')

# The weight of a reported load falls linearly to zero at this age.
_LOAD_MAX_AGE_MS = 1_000
# Exponential backoff of an endpoint after consecutive failures; an endpoint that
# is replaced is used again sooner.
_MIN_BACKOFF_MS = 500
_MAX_BACKOFF_MS = 4_000
# Costs of another availability zone, another region, and a prompt that is not in
# the endpoint's cache. One request that the endpoint is running costs 1, each one
# beyond its slots 2.
_CROSS_ZONE_COST = 0.25
_CROSS_REGION_COST = 4
_CACHE_MISS_COST = 1.5
# Cost of another version than the recorded one, which takes a commit to change.
_OTHER_VERSION_COST = 0.5
_MAX_AFFINITY_KEYS = 4_096


class _EndpointState(msgspec.Struct):
    """Failures of one endpoint as seen by this instance.

    Attributes:
        failures: Number of consecutive failures.
        paused_until_ms: End of the backoff; until then the endpoint is used
            only if all others are backed off as well.
    """

    failures: int = 0
    paused_until_ms: int = 0


class EndpointQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What a request needs of its endpoint, and what it prefers.

    Attributes:
        service: Service of the request.
        affinity_key: Shared by related requests; empty for none.
        warm_endpoint: Endpoint whose cache is known to hold the beginning of
            the prompt; empty if it is unknown.
        version: Preferred version of the endpoint's software; None for any.
        requires_version: Whether no other version will do.
        regions: Regions in which the endpoint may be; None for all.
        work: Its prompt and output, as far as its caller says.
        objective_ms: Latency objective of its route; 0 for none.
        cache_tokens: Cache memory of an endpoint of the service; 0 if unknown.
    """

    service: ServiceName
    affinity_key: str = ''
    warm_endpoint: str = ''
    version: str | None = None
    requires_version: bool = False
    regions: frozenset[str] | None = None
    work: RequestWork = RequestWork()
    objective_ms: int = 0
    cache_tokens: int = 0

    def allows(self, endpoint: Endpoint, region: str | None) -> bool:
        """Return whether an endpoint of the service may get the request.

        Args:
            endpoint: The endpoint.
            region: Its region; None if it is not known.
        """
        if self.regions is not None and region not in self.regions:
            return False
        return not self.requires_version or endpoint.version == self.version


class EndpointSelector:
    """Selects endpoints by a cost of load, locality and affinity.

    Attributes:
        board: Load of the endpoints.
        leaving: The endpoints that are leaving.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        region: str,
        regions: Mapping[AvailabilityZone, str],
        clock: Clock,
        rng: random.Random,
        leaving_grace_ms: int = 0,
        board: LoadBoard | None = None,
    ) -> None:
        """Create the selector without endpoints.

        Args:
            zone: Availability zone of this instance.
            region: Region of this instance.
            regions: Region of each availability zone.
            clock: Source of time.
            rng: Chooses among endpoints of equal cost.
            leaving_grace_ms: How long a leaving endpoint may still get requests
                that no other one can serve, milliseconds.
            board: Load of the endpoints; None for a board of its own.
        """
        self.board = LoadBoard(clock, Metrics()) if board is None else board
        self._finish = FinishRanking(self.board, zone, regions, clock, rng)
        self._leaving_grace_ms = leaving_grace_ms
        self._rng = rng
        self._zone = zone
        self._region = region
        self._regions = regions
        self._region_reach = RegionReach(clock)
        self._evacuated: frozenset[str] = frozenset()
        self._clock = clock
        self._by_service: dict[ServiceName, list[Endpoint]] = {}
        self._by_id: dict[EndpointId, Endpoint] = {}
        self.leaving = LeavingEndpoints(clock)
        # Endpoints that have failed since their last response.
        self._states: dict[str, _EndpointState] = {}
        self._endpoint_by_affinity: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def replace_endpoints(self, endpoints: Collection[Endpoint]) -> None:
        """Replace the list of endpoints.

        Those that are leaving get only requests that no other one can serve, and
        for a short time.

        The state of an endpoint that is not listed any more is discarded by the
        first call after its last request has ended.
        """
        by_service: dict[ServiceName, list[Endpoint]] = {}
        for item in self.leaving.replace_endpoints(endpoints):
            by_service.setdefault(item.service, []).append(item)
        self._log_changes(by_service)
        self._by_service = by_service
        self._by_id = {endpoint.id: endpoint for endpoint in endpoints}
        self._region_reach.replace_zones(
            {each.availability_zone for each in self.staying()}, self._regions
        )
        for endpoint_id in self._states.keys() - self._by_id.keys():
            if not self.board.load_of(endpoint_id).in_flight:
                self._states.pop(endpoint_id)
        self.board.retain(self._by_id.keys())

    def replace_evacuated(self, zones: Collection[str]) -> None:
        """Replace the availability zones to which nothing is sent.

        They stay until the next call, also if the leader is lost meanwhile.
        """
        if self._evacuated != frozenset(zones):
            logger.info(
                'The evacuated zones have changed.',
                zones=sorted(zones),
                before=sorted(self._evacuated),
            )
        self._evacuated = frozenset(zones)

    def is_evacuated(self, endpoint: Endpoint) -> bool:
        """Return whether nothing is sent to the zone of an endpoint."""
        return endpoint.availability_zone in self._evacuated

    @property
    def has_endpoints(self) -> bool:
        """Whether any service has an endpoint that is not leaving."""
        return bool(self._by_service)

    def find(self, endpoint_id: EndpointId) -> Endpoint | None:
        """Return the listed endpoint with an id that peers may be led to.

        None if there is none, or its zone is evacuated.
        """
        found = self._by_id.get(endpoint_id)
        if found is None or found.availability_zone in self._evacuated:
            return None
        return found

    def staying(self, service: ServiceName | None = None) -> list[Endpoint]:
        """Return the listed endpoints that are not leaving.

        Args:
            service: Their service; None for all services.
        """
        if service is not None:
            return self._by_service.get(service, [])
        return [item for group in self._by_service.values() for item in group]

    def rank(
        self, query: EndpointQuery, excluded: Collection[str] = ()
    ) -> list[Endpoint]:
        """Return the endpoints for a request, that with the lowest cost first.

        Endpoints in backoff are returned only if all others are excluded or
        in backoff as well.

        Args:
            query: What the request needs and prefers.
            excluded: Ids of endpoints that must not be selected.

        Returns:
            The endpoints; empty if there are none but the excluded ones.
        """
        now_ms = self._clock.now_ms()
        usable = self._candidates(query)
        if excluded:
            usable = [item for item in usable if item.id not in excluded]
        active = usable
        if self._states:
            active = [
                endpoint
                for endpoint in usable
                if not _is_paused(self._states.get(endpoint.id), now_ms)
            ]
        warm_id = self._warm_id(query)
        if self._finish.applies_to(usable):
            return self._finish.rank(active or usable, query, warm_id)

        def rank(item: Endpoint) -> tuple[float, float]:
            cost = self._cost(item, warm_id, now_ms)
            if query.version not in {None, item.version}:
                cost += _OTHER_VERSION_COST
            # Instances that know nothing must not all choose the same endpoint.
            return cost, self._rng.random()

        return sorted(active or usable, key=rank)

    def is_candidate(self, endpoint: Endpoint, query: EndpointQuery) -> bool:
        """Return whether a request may be sent to an endpoint."""
        return endpoint in self._candidates(query)

    def lacks_version(self, query: EndpointQuery) -> bool:
        """Return whether no listed endpoint of a service has the version.

        An instance that knows no endpoint of the service cannot say so.
        """
        is_known = bool(self._by_service.get(query.service))
        if not is_known or self._candidates(query):
            return False
        return not self._evacuated or not self._candidates(
            query, ignores_evacuation=True
        )

    def place_problem(self, query: EndpointQuery) -> ErrorCode | None:
        """Return why a request cannot be placed for now; None if it may be.

        Only evacuations and the regions that requests are bound to are checked,
        and only once some endpoint is known: an instance that has just started
        cannot say.
        """
        if not self._by_id or (query.regions is None and not self._evacuated):
            return None
        zones = {item.availability_zone for item in self._candidates(query)}
        if not zones and self._candidates(query, ignores_evacuation=True):
            return ErrorCode.ZONE_EVACUATED
        if query.regions is None or not all(
            map(self._region_reach.is_lost, zones)
        ):
            return None
        return ErrorCode.HOME_REGION_UNAVAILABLE

    def explain(
        self, endpoint: Endpoint, query: EndpointQuery
    ) -> dict[str, Any]:
        """Return the inputs of a selection as log fields."""
        state = self.board.load_of(endpoint.id)
        warm_id = self._warm_id(query)
        usable = self._candidates(query)
        finish = {}
        if self._finish.applies_to(usable):
            finish = self._finish.explain(endpoint, usable, query, warm_id)
        return finish | {
            'endpoint': endpoint.id,
            'version': endpoint.version,
            'zone': endpoint.availability_zone,
            'in_flight': state.in_flight,
            'foreign': state.foreign,
            'load_age_ms': state.report_age_ms(self._clock.now_ms()),
            'is_warm': warm_id == endpoint.id,
        }

    def start_timing(
        self, endpoint: Endpoint, query: EndpointQuery
    ) -> ResponseTiming:
        """Return what learns from the response to a request.

        To be called before ``record_start``.
        """
        return self._finish.record_start(endpoint, query, self._warm_id(query))

    def record_start(
        self, endpoint: Endpoint, affinity_key: str, context_tokens: int = 0
    ) -> None:
        """Record that a request is sent to an endpoint.

        Args:
            endpoint: The endpoint.
            affinity_key: Shared by related requests; empty for none.
            context_tokens: Cache memory that the request takes there.
        """
        self.board.record_start(endpoint.id, context_tokens)
        if affinity_key:
            self._endpoint_by_affinity[affinity_key] = endpoint.id
            self._endpoint_by_affinity.move_to_end(affinity_key)
            if len(self._endpoint_by_affinity) > _MAX_AFFINITY_KEYS:
                self._endpoint_by_affinity.popitem(last=False)

    def record_end(self, endpoint: Endpoint, context_tokens: int = 0) -> None:
        """Record that a request at an endpoint has ended."""
        self.board.record_end(endpoint.id, context_tokens)

    def record_load(self, endpoint: Endpoint, load: EndpointLoad) -> None:
        """Record the load that an endpoint reported in a response."""
        self.board.record(
            LoadReport(
                endpoint=endpoint.id,
                running=load.running,
                waiting=load.waiting,
                slots=load.slots,
                duration_percent=load.duration_percent,
                observed_ms=self._clock.now_ms(),
            )
        )

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has said in a response that it is leaving.

        A late response of an earlier lifetime is ignored.
        """
        listed = self._by_id.get(endpoint.id)
        if listed is not None and not is_same_start(listed, endpoint):
            return
        known = self.leaving.record_statement(listed or endpoint)
        if known is not None and known.stated_ms is not None:
            return
        logger.info(
            'An endpoint says that it is leaving; sending it no new requests.',
            endpoint=endpoint.id,
            is_listed_as_leaving=known is not None,
        )
        group = self._by_service.get(endpoint.service, [])
        self._by_service[endpoint.service] = [
            item for item in group if item.id != endpoint.id
        ]
        if not self._by_service[endpoint.service]:
            self._by_service.pop(endpoint.service)

    def record_return(self, entry: LeavingEndpoint) -> bool:
        """Record that an endpoint which has said that it is leaving serves again.

        Args:
            entry: The endpoint as ``leaving.self_reported`` returned it.

        Returns:
            Whether it gets requests from now on.
        """
        if not self.leaving.end(entry):
            return False
        endpoint = entry.endpoint
        self._by_service.setdefault(endpoint.service, []).append(endpoint)
        self._region_reach.replace_zones(
            {each.availability_zone for each in self.staying()}, self._regions
        )
        return True

    def record_success(self, endpoint: Endpoint) -> None:
        """Record a response of an endpoint; this ends its backoff."""
        self._states.pop(endpoint.id, None)
        self._region_reach.record_success(endpoint)

    def record_failure(self, endpoint: Endpoint, reason: str) -> None:
        """Record a failure of an endpoint and back it off.

        Args:
            endpoint: The endpoint.
            reason: Value of the :class:`~acaciaramp.endpoints.failures.Failure`,
                for the log.
        """
        state = self._states.setdefault(endpoint.id, _EndpointState())
        state.failures += 1
        if reason == Failure.CONNECT.value:
            self._region_reach.record_failure(endpoint)
        backoff_ms = min(
            _MIN_BACKOFF_MS * 2 ** (state.failures - 1), _MAX_BACKOFF_MS
        )
        state.paused_until_ms = self._clock.now_ms() + backoff_ms
        logger.warning(
            'An endpoint failed; backing off from it.',
            endpoint=endpoint.id,
            reason=reason,
            failures=state.failures,
            pause_ms=backoff_ms,
        )

    def _candidates(
        self, query: EndpointQuery, *, ignores_evacuation: bool = False
    ) -> list[Endpoint]:
        """Return the endpoints that a request may be sent to.

        If a required version has only leaving ones, these are returned while
        their grace lasts.

        Args:
            query: What the request needs.
            ignores_evacuation: Whether those of evacuated zones are returned.
        """
        closed = frozenset() if ignores_evacuation else self._evacuated
        listed = self._by_service.get(query.service, ())
        staying = [item for item in listed if self._allows(query, item, closed)]
        if staying or not query.requires_version:
            return staying
        oldest_ms = self._clock.now_ms() - self._leaving_grace_ms
        return [
            entry.endpoint
            for entry in self.leaving.of_service(query.service)
            if self._allows(query, entry.endpoint, closed)
            and entry.since_ms > oldest_ms
        ]

    def _allows(
        self, query: EndpointQuery, endpoint: Endpoint, closed: frozenset[str]
    ) -> bool:
        if endpoint.availability_zone in closed:
            return False
        region = self._regions.get(endpoint.availability_zone)
        return query.allows(endpoint, region)

    def _warm_id(self, query: EndpointQuery) -> str | None:
        """Return the endpoint that is expected to be warm for a request."""
        known = self._endpoint_by_affinity.get(query.affinity_key)
        return query.warm_endpoint or known

    def _is_in_region(self, endpoint: Endpoint) -> bool:
        region = self._regions.get(endpoint.availability_zone, self._region)
        return region == self._region

    def _cost(
        self, endpoint: Endpoint, warm_id: str | None, now_ms: int
    ) -> float:
        state = self.board.load_of(endpoint.id)
        age_ms = now_ms - state.reported_ms
        weight = max(0, 1 - age_ms / _LOAD_MAX_AGE_MS)
        busy = state.in_flight + weight * state.foreign
        cost = busy + max(0, busy - endpoint.slots)
        if endpoint.availability_zone != self._zone:
            cost += _CROSS_ZONE_COST
        if not self._is_in_region(endpoint):
            cost += _CROSS_REGION_COST
        if warm_id is not None and warm_id != endpoint.id:
            cost += _CACHE_MISS_COST
        return cost

    def _log_changes(
        self, by_service: dict[ServiceName, list[Endpoint]]
    ) -> None:
        before = _ids(self._by_service)
        after = _ids(by_service)
        if before != after:
            logger.info(
                'The list of usable endpoints has changed.',
                new=sorted(after - before),
                out=sorted(before - after),
                count=len(after),
            )


def _is_paused(state: _EndpointState | None, now_ms: int) -> bool:
    return state is not None and state.paused_until_ms > now_ms


def _ids(by_service: dict[ServiceName, list[Endpoint]]) -> set[str]:
    return {item.id for group in by_service.values() for item in group}
