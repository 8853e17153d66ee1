"""Load of services and endpoints as admission control asks for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.ids import ServiceName
    from acaciaramp.scheduling.pressure import Pressure


# Requests for each slot of a service from which an endpoint without a report is
# taken to be full.
_FULL_SHARE = 1
# So many endpoints without a report get a request while the others are full. With
# one, an endpoint that never answers would keep the others from being tried.
_MAX_ASKED = 2
# A request asks about several endpoints, and the sum over all takes longer than that.
_FULL_AGE_MS = 25


class SelectorLoad:
    """The load that a selector's board holds."""

    def __init__(self, selector: EndpointSelector, clock: Clock) -> None:
        """Create it.

        Args:
            selector: Knows the endpoints and their load.
            clock: Source of time.
        """
        self._selector = selector
        self._clock = clock
        # Whether each service is full, and when that was found out.
        self._full: dict[ServiceName, tuple[int, bool]] = {}

    def pressure_of(self, service: ServiceName) -> Pressure:
        """Return the load of a service's endpoints, as far as it is known."""
        listed = self._selector.staying(service)
        return self._selector.board.pressure([item.id for item in listed])

    def has_capacity(self, endpoint: Endpoint, claimed: int) -> bool:
        """Return whether an endpoint can take one more request.

        One request beyond the slots is sent, so that a slot that comes free is
        taken at once. Of an endpoint with an old report only this instance's
        own requests count, unless the others are surely full: then it is
        taken to be full as well, and gets one request at a time, whose response
        tells its load, if not too many others are asked that way.

        Args:
            endpoint: The endpoint.
            claimed: Number of requests that are about to be sent to it.
        """
        state = self._selector.board.load_of(endpoint.id)
        if not endpoint.slots:
            return True
        if state.is_known(self._clock.now_ms()):
            return state.busy + claimed <= endpoint.slots
        if self._is_full(endpoint.service):
            is_asked = claimed or state.in_flight
            return not is_asked and self._asked(endpoint.service) < _MAX_ASKED
        return state.in_flight + claimed <= endpoint.slots

    def _is_full(self, service: ServiceName) -> bool:
        now_ms = self._clock.now_ms()
        found_ms, is_full = self._full.get(service, (-_FULL_AGE_MS, False))
        if now_ms - found_ms >= _FULL_AGE_MS:
            pressure = self.pressure_of(service)
            is_sure = pressure.least_taken_share >= _FULL_SHARE
            is_full = pressure.is_known and is_sure
            self._full[service] = now_ms, is_full
        return is_full

    def _asked(self, service: ServiceName) -> int:
        """Return how many endpoints with old reports have requests from here."""
        now_ms = self._clock.now_ms()
        states = map(
            self._selector.board.load_of,
            [item.id for item in self._selector.staying(service)],
        )
        return sum(
            state.in_flight > 0 and not state.is_known(now_ms)
            for state in states
        )
