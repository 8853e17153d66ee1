"""Choice of an endpoint among those with a free slot."""

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
        queued_ms: Time that the step waited for a slot, milliseconds.
    """

    endpoint: Endpoint
    reason: Reason
    queued_ms: int


class SlotClaim:
    """A slot at an endpoint, occupied until it is released.

    Attributes:
        placement: The endpoint of the slot.
    """

    def __init__(
        self, placement: Placement, free_slot: Callable[[], None]
    ) -> None:
        """Create the claim.

        Args:
            placement: The endpoint of the slot.
            free_slot: Frees the slot.
        """
        self.placement = placement
        self._free_slot = free_slot
        self._is_held = True

    def release(self) -> None:
        """Free the slot; later calls have no effect."""
        if self._is_held:
            self._is_held = False
            self._free_slot()

    @contextlib.asynccontextmanager
    async def occupy(self) -> AsyncIterator[Placement]:
        """Occupy the slot while the body runs, then release it."""
        try:
            yield self.placement
        finally:
            self.release()


class Candidate(NamedTuple):
    """An endpoint with a free slot.

    Attributes:
        endpoint: The endpoint.
        in_flight: Requests of this instance in flight there.
        is_local: Whether it is in this instance's availability zone.
    """

    endpoint: Endpoint
    in_flight: int
    is_local: bool


def choose_endpoint(
    candidates: Sequence[Candidate], record: Program, step: Step
) -> tuple[Endpoint, Reason] | None:
    """Choose an endpoint for the next attempt at a step.

    Endpoints that this step was tried at before rank last. Among the others
    the one that served the program's last model call ranks first, because its
    prefix cache is warm, then those in this instance's availability zone, then
    those with the fewest requests in flight.

    Args:
        candidates: Endpoints with a free slot.
        record: The program.
        step: The step.

    Returns:
        The endpoint and why it was chosen, or None without candidates.
    """
    if not candidates:
        return None
    tried = {attempt.endpoint for attempt in step.attempts}
    warm = last_model_endpoint(record)

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


def last_model_endpoint(record: Program) -> str | None:
    """Return the id of the endpoint that served the last model call."""
    for number in sorted(record.steps, reverse=True):
        step = record.steps[number]
        if step.answer is not None and step.answer.finish_reason:
            return step.attempts[-1].endpoint
    return None


def local_slots(endpoint: Endpoint, instances: int) -> int:
    """Return how many of an endpoint's slots this instance may use.

    Slots are divided evenly among the instances; each has at least one.

    Args:
        endpoint: The endpoint.
        instances: Number of instances that share it.
    """
    return max(1, endpoint.slots // instances)
