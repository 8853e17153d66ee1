"""Play of uneven demand on uneven endpoints through selectors, without a network.

24 endpoints in six zones of two regions, of which four are 2.5 times slower. Eight
entry instances in each zone send requests; some zones have many more callers than
others. Entry instances learn of loads by the heads of responses, which endpoints send
when they begin to work, and by each other's news, as late as messages bring them.
"""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import Endpoint
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.scheduling.expected_finish import RequestWork
from acaciaramp.scheduling.load_board import LoadReport, RequestStart
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Sequence

ZONES = tuple(AvailabilityZone(f'z-{number}') for number in range(6))
REGIONS = {zone: f'r-{number // 3}' for number, zone in enumerate(ZONES)}
SHARES = (0.35, 0.2, 0.1, 0.2, 0.1, 0.05)
ENDPOINTS = [
    build.listed_endpoint(f'e-{number}', availability_zone=zone, slots=8)
    for number, zone in enumerate(ZONES * 4)
]
SLOW_PERCENT = 250
ENTRIES = 8
SLOW_COUNT = 4
ZONE_NEWS_MS = 100
REGION_NEWS_MS = 500
MS_PER_TOKEN = 3.1
PROMPT_TOKENS_PER_MS = 62


class Job(msgspec.Struct, eq=False):
    """A request on its way.

    Attributes:
        work: What its caller says of it.
        usual_ms: Time of its work at usual speed.
        entry: The entry instance that sent it.
        endpoint: Its endpoint.
        sent_ms: When it was sent.
        latency_ms: Way to its endpoint.
    """

    work: RequestWork
    usual_ms: float
    entry: EndpointSelector
    endpoint: Endpoint
    sent_ms: int
    latency_ms: int


class News(msgspec.Struct):
    """What an entry instance has seen and sent since its last news."""

    reports: list[LoadReport]
    starts: list[RequestStart]

    def tell(self, receiver: EndpointSelector) -> None:
        """Record the news at another instance."""
        for report in self.reports:
            receiver.board.record(report, is_own=False)
        for start in self.starts:
            receiver.board.record_foreign_start(start)


class Outcome(msgspec.Struct):
    """What callers and links got.

    Attributes:
        late: Requests beyond 1.3 times their usual time and 250 ms.
        total: All requests.
        took_ms: Sum of their times.
        zone_crossings: Requests that left their zone.
        region_crossings: Requests that left their region.
        longest_queue: Longest queue at an endpoint.
    """

    late: int = 0
    total: int = 0
    took_ms: float = 0
    zone_crossings: int = 0
    region_crossings: int = 0
    longest_queue: int = 0

    @property
    def on_time(self) -> float:
        """Share of the requests that were not late."""
        return 1 - self.late / self.total

    @property
    def mean_ms(self) -> float:
        """Mean time of a request."""
        return self.took_ms / self.total


def merge(outcomes: Sequence[Outcome]) -> Outcome:
    """Return the outcome of several plays together."""
    return Outcome(
        late=sum(item.late for item in outcomes),
        total=sum(item.total for item in outcomes),
        took_ms=sum(item.took_ms for item in outcomes),
        zone_crossings=sum(item.zone_crossings for item in outcomes),
        region_crossings=sum(item.region_crossings for item in outcomes),
        longest_queue=max(item.longest_queue for item in outcomes),
    )


class UnevenLoad:
    """The play; ``run`` returns its outcome."""

    def __init__(
        self, seed: int, *, slow_ms: int, states_duration: bool
    ) -> None:
        """Create entry instances and idle endpoints.

        Args:
            seed: Seed of arrivals, lengths and slow endpoints.
            slow_ms: Time after which other endpoints are slow.
            states_duration: Whether load reports have the fourth figure.
        """
        self.clock = ManualClock(10_000)
        self.rng = random.Random(seed)
        self.slow_ms = slow_ms
        self.states_duration = states_duration
        self.outcome = Outcome()
        self.pending: dict[AvailabilityZone, list[News]] = (
            collections.defaultdict(list)
        )
        self.entries = {
            zone: [self._entry(zone, number) for number in range(ENTRIES)]
            for zone in ZONES
        }
        self.running: collections.Counter[str] = collections.Counter()
        self.queues: dict[str, collections.deque[Job]] = (
            collections.defaultdict(collections.deque)
        )
        self.slow = [self.rng.sample(ENDPOINTS, SLOW_COUNT) for _ in range(100)]

    def run(self, per_s: float, duration_ms: int) -> Outcome:
        """Play arrivals at a mean rate, until the last request has ended."""
        self._push_news()
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self._pass(round(self.rng.expovariate(per_s) * 1e3))
            zone = self.rng.choices(ZONES, SHARES)[0]
            self._arrive(zone)
        self._pass(10_000)
        return self.outcome

    def _pass(self, duration_ms: int) -> None:
        """Let time pass in steps, so that each callback sees its own time."""
        for _ in range(duration_ms):
            self.clock.advance(1)

    def _entry(self, zone: AvailabilityZone, number: int) -> EndpointSelector:
        selector = EndpointSelector(
            zone, REGIONS[zone], REGIONS, self.clock, random.Random(number)
        )
        selector.replace_endpoints(ENDPOINTS)
        return selector

    def _push_news(self) -> None:
        """Share the news of all entry instances with their zones.

        Those of some pushes are shared with the other zones as well.
        """
        for zone, entries in self.entries.items():
            for entry in entries:
                news = News(entry.board.take_news(), entry.board.take_starts())
                self.pending[zone].append(news)
                for receiver in entries:
                    if receiver is not entry:
                        news.tell(receiver)
        if self.clock.now_ms() % REGION_NEWS_MS < ZONE_NEWS_MS:
            for zone, pending in self.pending.items():
                self._push_digest(zone, pending)
            self.pending.clear()
        self.clock.schedule(ZONE_NEWS_MS, self._push_news)

    def _push_digest(self, zone: AvailabilityZone, pending: list[News]) -> None:
        for other, receivers in self.entries.items():
            if other != zone:
                for receiver in receivers:
                    for news in pending:
                        news.tell(receiver)

    def _arrive(self, zone: AvailabilityZone) -> None:
        prompt, output = (
            self.rng.randint(300, 3_000),
            self.rng.randint(150, 600),
        )
        work = RequestWork(prompt_tokens=prompt, output_tokens=output)
        actual = output * self.rng.uniform(0.6, 1.4)
        entry = self.rng.choice(self.entries[zone])
        query = EndpointQuery(service=build.MODEL, work=work, objective_ms=250)
        endpoint = entry.rank(query)[0]
        entry.start_timing(endpoint, query)
        entry.record_start(endpoint, '', work.context_tokens)
        job = Job(
            work=work,
            usual_ms=prompt / PROMPT_TOKENS_PER_MS + actual * MS_PER_TOKEN,
            entry=entry,
            endpoint=endpoint,
            sent_ms=self.clock.now_ms(),
            latency_ms=self._latency_ms(zone, endpoint),
        )
        self.clock.schedule(job.latency_ms, lambda: self._reach(job))

    def _latency_ms(self, zone: AvailabilityZone, endpoint: Endpoint) -> int:
        target = endpoint.availability_zone
        if target == zone:
            return 0
        self.outcome.zone_crossings += 1
        if REGIONS[target] == REGIONS[zone]:
            return 1
        self.outcome.region_crossings += 1
        return 8

    def _reach(self, job: Job) -> None:
        queue = self.queues[job.endpoint.id]
        queue.append(job)
        self._start_next(job.endpoint)
        self.outcome.longest_queue = max(self.outcome.longest_queue, len(queue))

    def _start_next(self, endpoint: Endpoint) -> None:
        queue = self.queues[endpoint.id]
        if not queue or self.running[endpoint.id] == endpoint.slots:
            return
        job = queue.popleft()
        self.running[endpoint.id] += 1
        percent = self._percent(endpoint, self.clock.now_ms())
        load = EndpointLoad(
            self.running[endpoint.id],
            len(queue),
            endpoint.slots,
            percent if self.states_duration else None,
        )
        self.clock.schedule(
            job.latency_ms, lambda: job.entry.record_load(endpoint, load)
        )
        work_ms = self._work_ms(endpoint, job.usual_ms)
        self.clock.schedule(work_ms, lambda: self._end(job))

    def _percent(self, endpoint: Endpoint, at_ms: int) -> int:
        slow = self.slow[at_ms // self.slow_ms]
        return SLOW_PERCENT if endpoint in slow else 100

    def _work_ms(self, endpoint: Endpoint, usual_ms: float) -> int:
        """Return how long work that begins now takes, as speeds change."""
        now_ms = self.clock.now_ms()
        end_ms = now_ms
        while usual_ms > 0:
            usual_ms -= 100 / self._percent(endpoint, end_ms)
            end_ms += 1
        return end_ms - now_ms

    def _end(self, job: Job) -> None:
        self.running[job.endpoint.id] -= 1
        self._start_next(job.endpoint)
        self.clock.schedule(job.latency_ms, lambda: self._answer(job))

    def _answer(self, job: Job) -> None:
        job.entry.record_end(job.endpoint, job.work.context_tokens)
        took_ms = self.clock.now_ms() - job.sent_ms
        self.outcome.total += 1
        self.outcome.took_ms += took_ms
        self.outcome.late += took_ms > 1.3 * job.usual_ms + 250
