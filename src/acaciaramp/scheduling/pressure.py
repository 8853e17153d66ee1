"""Load of the endpoints of one service, as a sample of them tells it.

An instance hears some of the endpoints only: those that it sent requests to, or that
others have told it of. What these say about all of them depends on how many they are,
how much they differ and how old their reports are; one of them may be faulty.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

# One endpoint may be faulty, and one more could be the exception.
_LEAST_SAMPLE = 3
# Of a group of four, two are enough.
_SMALL_GROUP_SHARE = 0.5
# Spread of the load that is assumed before there is a sample, in requests for each
# slot. It weighs as much as one endpoint, so that few endpoints which happen to be
# equal are not taken for certainty.
_ASSUMED_SPREAD = 0.5
# A difference of sums below this share of one of them is rounding.
_ROUNDING = 1e-6


class EndpointSample(NamedTuple):
    """Load of one endpoint of a sample.

    Attributes:
        weight: Weight of its report, over 0 (old) to 1 (new).
        running: Number of requests that it is executing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can execute at once; at least 1.
    """

    weight: float
    running: int
    waiting: int
    slots: int


class Pressure(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a group of endpoints.

    Attributes:
        running: Number of requests that the known ones are executing.
        waiting: Number of requests in their queues.
        slots: Number of requests that they can execute at once.
        known_share: Share of the endpoints whose load is known, 0 to 1; the
            other figures are of these only.
        known: Number of endpoints whose load is known.
        age_ms: Mean age of their reports, milliseconds.
        over_estimate: By how much the requests for each slot of all endpoints
            may be fewer than those of the known ones.
        under_estimate: By how much they may be more.
    """

    running: float = 0
    waiting: float = 0
    slots: int = 0
    known_share: float = 0
    known: int = 0
    age_ms: int = 0
    over_estimate: float = 0
    under_estimate: float = 0

    @property
    def is_known(self) -> bool:
        """Whether the known endpoints tell the load of all of them.

        That does not depend on their share: ten endpoints of a thousand tell
        about as much as ten of thirty.
        """
        least = _LEAST_SAMPLE
        if self.known_share >= _SMALL_GROUP_SHARE:
            least -= 1
        is_sample = self.known_share >= 1 or self.known >= least
        return is_sample and self.slots > 0

    @property
    def taken_share(self) -> float:
        """Requests for each slot of the known endpoints; 0 without any."""
        if not self.slots:
            return 0
        return (self.running + self.waiting) / self.slots

    @property
    def least_taken_share(self) -> float:
        """Requests for each slot of all endpoints, at the least."""
        return self.taken_share - self.over_estimate

    @property
    def most_taken_share(self) -> float:
        """Requests for each slot of all endpoints, at the most."""
        return self.taken_share + self.under_estimate

    @property
    def waiting_per_slot(self) -> float:
        """Queued requests for each slot; 0 if no slot is known."""
        return self.waiting / self.slots if self.slots else 0


def pressure_of(
    samples: Sequence[EndpointSample], listed: int, age_ms: int
) -> Pressure:
    """Return the load of a group of endpoints of which some are known.

    It is the mean load of each slot, newer reports weighing more, times the
    slots of the known ones. The bounds leave out the endpoint that would change
    them most, and add one standard error.

    Args:
        samples: The known endpoints; at least one.
        listed: Number of all endpoints.
        age_ms: Mean age of the reports, milliseconds.
    """
    total = _Total(
        sum([item.weight * item.slots for item in samples]),
        sum([item.weight * item.running for item in samples]),
        sum([item.weight * item.waiting for item in samples]),
    )
    shares = [(item.running + item.waiting) / item.slots for item in samples]
    lowest = samples[shares.index(min(shares))]
    highest = samples[shares.index(max(shares))]
    error = _standard_error(samples, shares, total.mean, listed)
    slots = sum([item.slots for item in samples])
    scale = slots / total.slots
    return Pressure(
        running=scale * total.running,
        waiting=scale * total.waiting,
        slots=slots,
        known_share=len(samples) / listed,
        known=len(samples),
        age_ms=age_ms,
        over_estimate=total.mean - total.mean_without(highest) + error,
        under_estimate=total.mean_without(lowest) - total.mean + error,
    )


class _Total(NamedTuple):
    """Sums over a sample, newer reports weighing more.

    Attributes:
        slots: Requests that its endpoints can execute at once.
        running: Requests that they are executing.
        waiting: Requests in their queues.
    """

    slots: float
    running: float
    waiting: float

    @property
    def mean(self) -> float:
        """Requests for each slot."""
        return (self.running + self.waiting) / self.slots

    def mean_without(self, item: EndpointSample) -> float:
        """Return the requests for each slot of the others; of all if it is alone."""
        slots = self.slots - item.weight * item.slots
        if slots < _ROUNDING * self.slots:
            return self.mean
        taken = item.weight * (item.running + item.waiting)
        return (self.running + self.waiting - taken) / slots


def _standard_error(
    samples: Sequence[EndpointSample],
    shares: Sequence[float],
    mean: float,
    listed: int,
) -> float:
    """Return the standard error of the mean load of a slot; 0 if all are known.

    Reports of unequal weight count as the number of equal ones that would be as
    sure (Kish's effective sample size).

    Args:
        samples: The known endpoints.
        shares: Their requests for each slot.
        mean: Mean of those.
        listed: Number of all endpoints.
    """
    known = len(samples)
    squares = sum([(share - mean) ** 2 for share in shares])
    variance = (_ASSUMED_SPREAD**2 + squares) / known
    weights = sum([item.weight for item in samples])
    weight_squares = sum([item.weight**2 for item in samples])
    unknown_share = max(0, 1 - known / listed)
    return math.sqrt(variance * weight_squares * unknown_share) / weights
