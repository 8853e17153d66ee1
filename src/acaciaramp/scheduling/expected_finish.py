"""Expected time until a request is finished at an endpoint.

Answers uneven demand on uneven endpoints: a count of requests does not tell a
slow machine from a fast one, nor a long prompt from a short one, so endpoints are
compared by the time in which each would finish this request.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from acaciaramp.scheduling.load_board import (
    REPORT_MAX_AGE_MS,
    USUAL_DURATION_PERCENT,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from acaciaramp.scheduling.load_board import EndpointState

# Work of a generated token in units of prompt tokens.
OUTPUT_TOKEN_WORK = 10
# Requests for each slot of an endpoint whose load is unknown: it is neither idle
# nor full.
_UNKNOWN_LOAD_PER_SLOT = 0.5
# Instances choose by the same reports. Each adds a random number of requests up to
# this one to the load of each endpoint, so that they do not all choose the one that
# was idle last: in a play of changing speeds, 0.94 of the requests were on time
# instead of 0.87 without it (tests/forwarding/test_uneven_load.py).
_LOAD_SPREAD = 2
# Differences below this time are chance.
_TIE_MS = 4
# The speed of a machine changes about every 600 ms: a difference from its mean is
# expected to be over at twice that age. That the present speed also ends within long
# requests is left out, as it gained nothing in plays.
_DURATION_MAX_AGE_MS = 1_200
# A machine that was slow is tried again: its mean counts less and less, since an
# endpoint that gets no requests reports nothing.
_MEAN_MAX_AGE_MS = 8_000


class PromptPart(NamedTuple):
    """One part of a prompt, in the order in which they are joined.

    Attributes:
        id: Equal for equal parts.
        tokens: Its length.
    """

    id: str
    tokens: int


class RequestWork(msgspec.Struct, frozen=True, kw_only=True):
    """Work of a request as its caller describes it.

    Attributes:
        prompt_tokens: Length of the prompt; 0 if it has none.
        output_tokens: Number of tokens that it is expected to generate.
        parts: Parts of the prompt; the last one is specific to the request or
            its session. Empty if they are unknown.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def context_tokens(self) -> int:
        """Tokens that it takes of an engine's cache memory at its end."""
        return self.prompt_tokens + self.output_tokens

    @property
    def has_tokens(self) -> bool:
        """Whether the request is for an engine and says how long it is."""
        return self.context_tokens > 0


class ServiceLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What the wait at every endpoint of a service depends on.

    Attributes:
        now_ms: The current time.
        request_ms: Time that a mean request takes at usual speed.
        context_tokens: Cache memory that a mean request takes.
        cache_tokens: Cache memory of an endpoint; 0 if it is unknown.
        duration_percent: Duration of work that is assumed of an endpoint that
            states none.
    """

    now_ms: int
    request_ms: float
    context_tokens: float = 0
    cache_tokens: int = 0
    duration_percent: float = USUAL_DURATION_PERCENT


class Path(NamedTuple):
    """What the way to an endpoint costs.

    Attributes:
        round_trip_ms: Time there and back.
        share: Share of the objective, or of the time of a mean request if that
            is longer, that a request must be spared to use the path.
    """

    round_trip_ms: float
    share: float


class EndpointTerms(NamedTuple):
    """What the expected finish at an endpoint depends on, for any request.

    Attributes:
        slot_ms: Time between two ends of requests there while it is full.
        excess: Requests that must end before one more can run; negative if
            slots are free.
        duration: Expected duration of work now, relative to the usual one.
        free_tokens: Cache memory that is expected to be free; negative if it
            is exceeded, infinite if its size is unknown.
        round_trip_ms: Time of the way to it and back.
        path_share: Share of the objective that the path costs.
    """

    slot_ms: float
    excess: float
    duration: float
    round_trip_ms: float
    path_share: float
    free_tokens: float


def work_units(uncached_tokens: int, output_tokens: int) -> int:
    """Return the work of a request, in units of a prompt token."""
    return uncached_tokens + OUTPUT_TOKEN_WORK * output_tokens


def finish_times_ms(
    terms: Iterable[EndpointTerms],
    work_ms: float,
    objective_ms: float,
    draw: Callable[[], float],
) -> list[float]:
    """Return the expected time until each endpoint has finished a request.

    The wait for cache memory is left out. All endpoints are gone through here,
    as a call for each takes too long.

    Args:
        terms: Load, speed and path of the endpoints.
        work_ms: Time that the request takes at usual speed.
        objective_ms: Objective of the request.
        draw: Returns random numbers from 0 to 1.
    """
    times_ms = []
    for slot_ms, excess, duration, round_trip_ms, path_share, _ in terms:
        drawn = draw()
        finish_ms = work_ms * duration + round_trip_ms + _TIE_MS * drawn
        if path_share:
            finish_ms += path_share * objective_ms
        ahead = excess + _LOAD_SPREAD * drawn
        if ahead > 0:
            finish_ms += slot_ms * ahead
        times_ms.append(finish_ms)
    return times_ms


def endpoint_terms(
    state: EndpointState, slots: int, path: Path, service: ServiceLoad
) -> EndpointTerms:
    """Return the expected load, speed and free memory of an endpoint.

    Args:
        state: What is known of the endpoint.
        slots: Requests that it runs at once.
        path: The way to it.
        service: Load of the service, for what is not known.
    """
    busy = expected_busy(state, slots, service)
    mean, deviation = expected_duration(state, service)
    free_tokens = math.inf
    if service.cache_tokens:
        foreign = min(busy, slots) - state.in_flight
        free_tokens = service.cache_tokens - state.context_tokens
        if foreign > 0:
            free_tokens -= foreign * service.context_tokens
    return EndpointTerms(
        mean * service.request_ms / slots,
        busy + 1 - slots,
        mean + deviation,
        path.round_trip_ms,
        path.share,
        free_tokens,
    )


def expected_busy(
    state: EndpointState, slots: int, service: ServiceLoad
) -> float:
    """Return the expected number of requests at an endpoint.

    The older its last report, the more it is assumed to be neither idle nor
    full. The load of the other endpoints says little about it: those that are
    reported are those that get requests.
    """
    unknown = _UNKNOWN_LOAD_PER_SLOT * slots + state.in_flight
    age_ms = service.now_ms - state.reported_ms
    if age_ms >= REPORT_MAX_AGE_MS:
        return unknown
    reported = state.running + state.waiting + state.sent_since
    busy = reported + age_ms * (unknown - reported) / REPORT_MAX_AGE_MS
    return busy if busy > state.in_flight else state.in_flight


def expected_duration(
    state: EndpointState, service: ServiceLoad
) -> tuple[float, float]:
    """Return the mean duration of work, and by how much it differs from that now.

    Both are relative to the usual duration.
    """
    percent = state.duration_percent
    usual = service.duration_percent
    if percent is None:
        return usual / USUAL_DURATION_PERCENT, 0
    age_ms = service.now_ms - state.reported_ms
    mean = usual
    if age_ms < _MEAN_MAX_AGE_MS:
        difference = state.mean_duration_percent - usual
        mean += difference * (1 - age_ms / _MEAN_MAX_AGE_MS)
    deviation: float = 0
    if age_ms < _DURATION_MAX_AGE_MS:
        deviation = percent - state.mean_duration_percent
        deviation *= 1 - age_ms / _DURATION_MAX_AGE_MS
    return mean / USUAL_DURATION_PERCENT, deviation / USUAL_DURATION_PERCENT


def memory_wait_ms(
    terms: EndpointTerms, context_tokens: int, service: ServiceLoad
) -> float:
    """Return the wait for cache memory.

    A request that does not fit waits for another one to end, or preempts one,
    which then has to be processed again.
    """
    excess = context_tokens - terms.free_tokens
    if excess <= 0:
        return 0
    requests = 1 + excess / service.cache_tokens
    return requests * terms.duration * service.request_ms
