"""Chooses an endpoint for a step among those with a free place."""

from __future__ import annotations

import contextlib
import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from acaciaramp.documents.model import Endpoint
    from acaciaramp.records import Program, Step


class Reason(enum.Enum):
    """Why an endpoint was chosen."""

    WARM = 'warm'
    SAME_ZONE = 'same_zone'
    LEAST_IN_FLIGHT = 'least_in_flight'


class Placement(NamedTuple):
    """The endpoint chosen for one attempt.

    Attributes:
        endpoint: The endpoint.
        reason: Why it was chosen.
        queued_ms: How long the step waited for it, milliseconds.
    """

    endpoint: Endpoint
    reason: Reason
    queued_ms: int


class SlotClaim:
    """A place at an endpoint, held until it is given back.

    Attributes:
        placement: The endpoint.
    """

    def __init__(
        self, placement: Placement, give_back: Callable[[], None]
    ) -> None:
        """Create the claim.

        Args:
            placement: The endpoint.
            give_back: Frees the place.
        """
        self.placement = placement
        self._give_back = give_back
        self._is_held = True

    def release(self) -> None:
        """Free the place, if that has not been done."""
        if self._is_held:
            self._is_held = False
            self._give_back()

    @contextlib.asynccontextmanager
    async def hold(self) -> AsyncIterator[Placement]:
        """Hold the place while the body runs."""
        try:
            yield self.placement
        finally:
            self.release()


class Candidate(NamedTuple):
    """An endpoint with a free place.

    Attributes:
        endpoint: The endpoint.
        in_flight: Requests that this instance has under way there.
        is_local: Whether it is in this instance's availability zone.
    """

    endpoint: Endpoint
    in_flight: int
    is_local: bool


def choose_endpoint(
    candidates: Sequence[Candidate], record: Program, step: Step
) -> tuple[Endpoint, Reason] | None:
    """Choose an endpoint for the next attempt at a step.

    Endpoints that failed the step before come last; then the one that served
    the program's last step, which holds its prefix; then the same availability
    zone; then the least in flight.

    Args:
        candidates: Endpoints with a free place.
        record: The program.
        step: The step.
    """
    if not candidates:
        return None
    tried = {attempt.endpoint for attempt in step.attempts}
    warm = last_endpoint(record)

    def rank(candidate: Candidate) -> tuple[bool, bool, bool, int, str]:
        name = candidate.endpoint.id
        return (
            name in tried,
            name != warm,
            not candidate.is_local,
            candidate.in_flight,
            name,
        )

    best = min(candidates, key=rank)
    if best.endpoint.id == warm:
        return best.endpoint, Reason.WARM
    if best.is_local:
        return best.endpoint, Reason.SAME_ZONE
    return best.endpoint, Reason.LEAST_IN_FLIGHT


def last_endpoint(record: Program) -> str | None:
    """Return the endpoint that served the program's last model call."""
    for number in sorted(record.steps, reverse=True):
        step = record.steps[number]
        if step.answer is not None and step.answer.finish_reason:
            return step.attempts[-1].endpoint
    return None


def local_slots(endpoint: Endpoint, instances: int) -> int:
    """Return this instance's part of an endpoint's places.

    Args:
        endpoint: The endpoint.
        instances: Instances that share it.
    """
    return max(1, endpoint.slots // instances)
