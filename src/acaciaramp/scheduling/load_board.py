"""Newest known load and speed of each endpoint, from all sources.

Answers the load of many entry instances of which each hears an endpoint rarely:
what one of them observes is recorded by the others as well. Requests that this
instance sends after the last report of an endpoint count on top of that report.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from acaciaramp.ids import EndpointId
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.scheduling.pressure import Pressure

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics

# The weight of a report falls linearly to zero at this age. Within this time a
# full queue of an endpoint is drained, so that an older report says little.
REPORT_MAX_AGE_MS = 2_000
# Figures outside these ranges are errors of the endpoint or of the peer.
_MAX_FIGURE = 100_000
_MIN_DURATION_PERCENT = 10
_MAX_DURATION_PERCENT = 10_000
USUAL_DURATION_PERCENT = 100
# The speed of a machine changes about every 600 ms. A report replaces this share
# of the smoothed duration at least, and all of it after the time below.
_MIN_SMOOTHING = 0.4
_SMOOTHING_MS = 400
# Bound of what one endpoint adds to a sum, as a multiple of its slots: a false
# report must not decide for the whole service. Endpoints queue up to four times
# their slots.
_MAX_WAITING_PER_SLOT = 8
# A report may state this multiple of the median number of slots of a service.
_MAX_SLOTS_RATIO = 4


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an endpoint at one time.

    Attributes:
        endpoint: Id of the endpoint.
        running: Number of requests that it was executing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can execute at once.
        duration_percent: How long work took there, in percent of the usual
            time; None if the endpoint does not say.
        observed_ms: When it was observed, on the clock of this process.
    """

    endpoint: EndpointId
    running: int
    waiting: int
    slots: int
    duration_percent: int | None
    observed_ms: int

    @property
    def is_plausible(self) -> bool:
        """Whether every figure is within its range."""
        figures = (self.running, self.waiting, self.slots)
        if min(figures) < 0 or max(figures) > _MAX_FIGURE:
            return False
        duration = self.duration_percent
        return (
            duration is None
            or _MIN_DURATION_PERCENT <= duration <= _MAX_DURATION_PERCENT
        )


class _BoundedLoad(NamedTuple):
    """What one endpoint adds to the load of a service."""

    weight: float
    running: int
    waiting: int
    slots: int


class EndpointState(msgspec.Struct):
    """What is known of one endpoint; only the board changes it.

    Attributes:
        in_flight: Requests of this instance at the endpoint.
        foreign: Requests of other instances at the last report.
        running: Requests that it was executing at the last report.
        waiting: Requests in its queue at the last report.
        slots: Requests that it can execute at once; 0 if unknown.
        sent_since: Requests that this instance has sent to it since the last
            report, minus its earlier ones that have ended since.
        duration_percent: Smoothed duration of work there in percent of the
            usual time; None if the endpoint has not stated any.
        reported_ms: When the last report was observed.
    """

    in_flight: int = 0
    foreign: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    sent_since: int = 0
    duration_percent: float | None = None
    reported_ms: int = -REPORT_MAX_AGE_MS

    @property
    def busy(self) -> int:
        """Requests at the endpoint: those of the last report and later ones."""
        return max(
            self.in_flight, self.running + self.waiting + self.sent_since
        )

    def weight(self, now_ms: int) -> float:
        """Return the weight of the last report, from 1 (new) to 0 (too old)."""
        return max(0, 1 - (now_ms - self.reported_ms) / REPORT_MAX_AGE_MS)

    def is_known(self, now_ms: int) -> bool:
        """Return whether a report that is not too old tells its load."""
        return self.slots > 0 and self.weight(now_ms) > 0

    def bounded_load(self, now_ms: int, most_slots: int) -> _BoundedLoad:
        """Return its load for a sum over endpoints."""
        slots = min(self.slots, most_slots)
        running = min(self.busy, slots)
        queued = min(self.busy - running, _MAX_WAITING_PER_SLOT * slots)
        return _BoundedLoad(self.weight(now_ms), running, queued, slots)


class LoadBoard:
    """Load of all endpoints as far as this instance knows it."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Create the board without any report.

        Args:
            clock: Source of time.
            metrics: Counts reports that are discarded as implausible.
        """
        self._clock = clock
        self._metrics = metrics
        self._states: dict[str, EndpointState] = collections.defaultdict(
            EndpointState
        )
        # Start times of this instance's requests in flight, oldest first.
        self._starts: dict[str, collections.deque[int]] = (
            collections.defaultdict(collections.deque)
        )
        self._news: dict[str, LoadReport] = {}

    def load_of(self, endpoint_id: str) -> EndpointState:
        """Return what is known of an endpoint; it is not to be changed."""
        return self._states[endpoint_id]

    def record(self, report: LoadReport, *, is_own: bool = True) -> bool:
        """Record a report unless a newer one of the endpoint is known.

        Args:
            report: The report.
            is_own: Whether this instance has observed it itself.

        Returns:
            Whether the report is in use now.
        """
        now_ms = self._clock.now_ms()
        if not report.is_plausible or report.observed_ms > now_ms:
            self._metrics.count(Counter.BAD_INPUT, BadInput.LOAD)
            return False
        state = self._states[report.endpoint]
        if report.observed_ms < state.reported_ms:
            return False
        if not is_own and report.observed_ms == state.reported_ms:
            return False
        if now_ms - report.observed_ms >= REPORT_MAX_AGE_MS:
            return False
        self._apply(state, report)
        state.sent_since = 0
        if is_own:
            # Only endpoints that state their speed are worth the messages.
            if state.duration_percent is not None:
                self._news[report.endpoint] = report
        else:
            state.sent_since = sum(
                started_ms > report.observed_ms
                for started_ms in self._starts[report.endpoint]
            )
        return True

    def record_start(self, endpoint_id: str) -> None:
        """Record that this instance sends a request to an endpoint."""
        state = self._states[endpoint_id]
        state.in_flight += 1
        state.sent_since += 1
        self._starts[endpoint_id].append(self._clock.now_ms())

    def record_end(self, endpoint_id: str) -> None:
        """Record that a request of this instance at an endpoint has ended."""
        state = self._states[endpoint_id]
        state.in_flight -= 1
        state.sent_since -= 1
        # Which of them has ended is not known; most often it is the oldest.
        self._starts[endpoint_id].popleft()

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Discard the state of other endpoints that run no request from here."""
        for endpoint_id in self._states.keys() - set(endpoint_ids):
            if not self._states[endpoint_id].in_flight:
                self._states.pop(endpoint_id)
                self._starts.pop(endpoint_id, None)
                self._news.pop(endpoint_id, None)

    def take_news(self) -> list[LoadReport]:
        """Return the own observations since the last call, newest only.

        Observations of endpoints that state no duration are left out.
        """
        news = list(self._news.values())
        self._news = {}
        return news

    def pressure(self, endpoint_ids: Collection[str]) -> Pressure:
        """Return the load of a group of endpoints.

        It is the mean load of each slot, newer reports weighing more, times the
        slots of all endpoints that are known.
        """
        now_ms = self._clock.now_ms()
        states = filter(None, map(self._states.get, endpoint_ids))
        known = [state for state in states if state.is_known(now_ms)]
        if not known:
            return Pressure()
        median = statistics.median_low([state.slots for state in known])
        loads = [
            state.bounded_load(now_ms, _MAX_SLOTS_RATIO * median)
            for state in known
        ]
        slots = sum(load.slots for load in loads)
        scale = slots / sum(load.weight * load.slots for load in loads)
        return Pressure(
            running=scale * sum(load.weight * load.running for load in loads),
            waiting=scale * sum(load.weight * load.waiting for load in loads),
            slots=slots,
            known_share=len(known) / len(endpoint_ids),
        )

    def _apply(self, state: EndpointState, report: LoadReport) -> None:
        if report.duration_percent is not None:
            elapsed_ms = report.observed_ms - state.reported_ms
            state.duration_percent = _smoothed(
                state.duration_percent, report.duration_percent, elapsed_ms
            )
        state.running = report.running
        state.waiting = report.waiting
        state.slots = report.slots
        state.foreign = max(
            0, report.running + report.waiting - state.in_flight
        )
        state.reported_ms = report.observed_ms


def _smoothed(before: float | None, stated: int, elapsed_ms: int) -> float:
    """Return the smoothed duration after a report."""
    if before is None:
        return stated
    share = min(1, max(_MIN_SMOOTHING, elapsed_ms / _SMOOTHING_MS))
    return before + share * (stated - before)
