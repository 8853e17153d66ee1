"""Load of services and endpoints as admission control asks for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.ids import ServiceName
    from acaciaramp.scheduling.pressure import Pressure


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

    def pressure_of(self, service: ServiceName) -> Pressure:
        """Return the load of a service's endpoints, as far as it is known."""
        listed = self._selector.staying(service)
        return self._selector.board.pressure([item.id for item in listed])

    def has_capacity(self, endpoint: Endpoint, claimed: int) -> bool:
        """Return whether an endpoint can take one more request.

        One request beyond the slots is sent, so that a slot that comes free is
        taken at once. Of an endpoint with an old report only this instance's
        own requests count.

        Args:
            endpoint: The endpoint.
            claimed: Number of requests that are about to be sent to it.
        """
        state = self._selector.board.load_of(endpoint.id)
        is_known = state.is_known(self._clock.now_ms())
        busy = state.busy if is_known else state.in_flight
        return not endpoint.slots or busy + claimed <= endpoint.slots
