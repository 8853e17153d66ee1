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
from acaciaramp.scheduling.pressure import (
    EndpointSample,
    Pressure,
    pressure_of,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.clock import Clock
    from acaciaramp.metrics.client import Metrics

# The weight of a report falls linearly to zero at this age. Within this time a
# full queue of an endpoint is drained, so that an older report says little.
REPORT_MAX_AGE_MS = 2_000
# Stands for the time of a report that has never come.
_NEVER_MS = -REPORT_MAX_AGE_MS
# Figures outside these ranges are errors of the endpoint or of the peer.
_MAX_FIGURE = 100_000
_MIN_DURATION_PERCENT = 10
_MAX_DURATION_PERCENT = 10_000
USUAL_DURATION_PERCENT = 100
# The speed of a machine changes about every 600 ms. A report replaces this share
# of the smoothed duration at least, and all of it after the time below.
_MIN_SMOOTHING = 0.4
_SMOOTHING_MS = 400
# Some machines are slow for good; over this time a mean tells them from those
# that are slow at times.
_MEAN_DURATION_MS = 5_000
# Requests that may be remembered as sent since the last report of an endpoint.
_MAX_STARTS = 256
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


class RequestStart(NamedTuple):
    """A request that was sent to an endpoint.

    Attributes:
        endpoint: Id of the endpoint.
        started_ms: When it was sent, on the clock of this process.
        origin: Number of the instance that sent it, as the exchange of loads
            assigns it; 0 for none.
    """

    endpoint: EndpointId
    started_ms: int
    origin: int = 0


class EndpointState(msgspec.Struct):
    """What is known of one endpoint; only the board changes it.

    Attributes:
        in_flight: Requests of this instance at the endpoint.
        foreign: Requests of other instances at the last report.
        running: Requests that it was executing at the last report.
        waiting: Requests in its queue at the last report.
        slots: Requests that it can execute at once; 0 if unknown.
        sent_since: Requests that are known to be sent to it since the last
            report, minus earlier ones of this instance that have ended since.
        duration_percent: Smoothed duration of work there in percent of the
            usual time; None if the endpoint has not stated any.
        mean_duration_percent: Mean of what it has stated for a longer time.
        context_tokens: Cache memory that the requests of this instance take
            there.
        reported_ms: When the last report was observed; if there is none yet,
            long before any time of the clock.
    """

    in_flight: int = 0
    foreign: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    sent_since: int = 0
    duration_percent: float | None = None
    mean_duration_percent: float = USUAL_DURATION_PERCENT
    context_tokens: int = 0
    reported_ms: int = _NEVER_MS

    @property
    def busy(self) -> int:
        """Requests at the endpoint: those of the last report and later ones."""
        return max(
            self.in_flight, self.running + self.waiting + self.sent_since
        )

    def report_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the last report, milliseconds; None without one."""
        if self.reported_ms == _NEVER_MS:
            return None
        return now_ms - self.reported_ms

    def weight(self, now_ms: int) -> float:
        """Return the weight of the last report, from 1 (new) to 0 (too old)."""
        return max(0, 1 - (now_ms - self.reported_ms) / REPORT_MAX_AGE_MS)

    def is_known(self, now_ms: int) -> bool:
        """Return whether a report that is not too old tells its load."""
        return self.slots > 0 and self.weight(now_ms) > 0

    def sample(self, now_ms: int, most_slots: int) -> EndpointSample:
        """Return its bounded load for the load of a group."""
        slots = min(self.slots, most_slots)
        running = min(self.busy, slots)
        queued = min(self.busy - running, _MAX_WAITING_PER_SLOT * slots)
        return EndpointSample(self.weight(now_ms), running, queued, slots)


class LoadBoard:
    """Load of all endpoints as far as this instance knows it."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        assumed_duration_percent: int | None = None,
    ) -> None:
        """Create the board without any report.

        Args:
            clock: Source of time.
            metrics: Counts reports that are discarded as implausible.
            assumed_duration_percent: Duration of work at endpoints that state
                none; None to leave it open.
        """
        self._assumed_duration_percent = assumed_duration_percent
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
        # Requests of this instance that its peers do not know of, and start times
        # of those of its peers, oldest first.
        self._sent: collections.deque[RequestStart] = collections.deque(
            maxlen=_MAX_STARTS
        )
        self._foreign_starts: dict[str, collections.deque[int]] = {}
        self._changed: set[str] = set()

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
        self._apply(state, self._with_duration(report))
        self._changed.add(report.endpoint)
        starts = self._foreign_starts.get(report.endpoint, ())
        if is_own:
            # Only endpoints that state their speed are worth the messages.
            if state.duration_percent is not None:
                self._news[report.endpoint] = report
        else:
            starts = (*starts, *self._starts[report.endpoint])
        state.sent_since = sum(
            started_ms > report.observed_ms for started_ms in starts
        )
        return True

    def record_foreign_start(self, start: RequestStart) -> None:
        """Record that another instance has sent a request to an endpoint.

        It counts until the endpoint has reported, which it does when it begins
        to answer.
        """
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - REPORT_MAX_AGE_MS
        if not oldest_ms < start.started_ms <= now_ms:
            return
        starts = self._foreign_starts.setdefault(
            start.endpoint, collections.deque(maxlen=_MAX_STARTS)
        )
        while starts and starts[0] <= oldest_ms:
            starts.popleft()
        starts.append(start.started_ms)
        state = self._states[start.endpoint]
        if start.started_ms > state.reported_ms:
            state.sent_since += 1
            self._changed.add(start.endpoint)

    def record_start(self, endpoint_id: str, context_tokens: int = 0) -> None:
        """Record that this instance sends a request to an endpoint.

        Args:
            endpoint_id: The endpoint.
            context_tokens: Cache memory that the request takes there.
        """
        state = self._states[endpoint_id]
        self._changed.add(endpoint_id)
        state.context_tokens += context_tokens
        state.in_flight += 1
        state.sent_since += 1
        now_ms = self._clock.now_ms()
        self._starts[endpoint_id].append(now_ms)
        if state.duration_percent is not None:
            self._sent.append(RequestStart(EndpointId(endpoint_id), now_ms))

    def record_end(self, endpoint_id: str, context_tokens: int = 0) -> None:
        """Record that a request of this instance at an endpoint has ended."""
        state = self._states[endpoint_id]
        self._changed.add(endpoint_id)
        state.context_tokens -= context_tokens
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
                self._foreign_starts.pop(endpoint_id, None)
                self._news.pop(endpoint_id, None)
                self._changed.add(endpoint_id)

    def take_news(self) -> list[LoadReport]:
        """Return the own observations since the last call, newest only.

        Observations of endpoints that state no duration are left out.
        """
        news = list(self._news.values())
        self._news = {}
        return news

    def take_starts(self) -> list[RequestStart]:
        """Return the requests that were sent since the last call.

        Those to endpoints that state no duration are left out.
        """
        starts = list(self._sent)
        self._sent.clear()
        return starts

    def take_changed(self) -> set[str]:
        """Return the endpoints whose state has changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def pressure(self, endpoint_ids: Collection[str]) -> Pressure:
        """Return the load of a group of endpoints as the known ones tell it."""
        now_ms = self._clock.now_ms()
        states = filter(None, map(self._states.get, endpoint_ids))
        known = [state for state in states if state.is_known(now_ms)]
        if not known:
            return Pressure()
        median = statistics.median_low([state.slots for state in known])
        age_ms = sum(now_ms - state.reported_ms for state in known)
        return pressure_of(
            [
                state.sample(now_ms, _MAX_SLOTS_RATIO * median)
                for state in known
            ],
            len(endpoint_ids),
            age_ms // len(known),
        )

    def _with_duration(self, report: LoadReport) -> LoadReport:
        """Return a report with the assumed duration if it states none."""
        if report.duration_percent is not None:
            return report
        return msgspec.structs.replace(
            report, duration_percent=self._assumed_duration_percent
        )

    def _apply(self, state: EndpointState, report: LoadReport) -> None:
        if report.duration_percent is not None:
            elapsed_ms = report.observed_ms - state.reported_ms
            state.mean_duration_percent = _smoothed(
                state.mean_duration_percent,
                report.duration_percent,
                elapsed_ms / _MEAN_DURATION_MS,
            )
            share = max(_MIN_SMOOTHING, elapsed_ms / _SMOOTHING_MS)
            if state.duration_percent is None:
                share = 1
            state.duration_percent = _smoothed(
                state.duration_percent or 0, report.duration_percent, share
            )
        state.running = report.running
        state.waiting = report.waiting
        state.slots = report.slots
        state.foreign = max(
            0, report.running + report.waiting - state.in_flight
        )
        state.reported_ms = report.observed_ms


def _smoothed(before: float, stated: int, share: float) -> float:
    return before + min(1, share) * (stated - before)
