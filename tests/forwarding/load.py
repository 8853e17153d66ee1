"""A load of closed programs on a fleet of fakes, on a manual clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.conversations.messages import TurnKey
from acaciaramp.conversations.turns import OpenedTurn, TurnPlan
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError
from acaciaramp.forwarding.call import Call
from acaciaramp.forwarding.messages import TurnParams
from acaciaramp.forwarding.overload import OverloadControl
from acaciaramp.ids import ProgramId, WorkspaceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.scheduling.pressure import Pressure
from acaciaramp.verdicts import Verdict
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import ServiceName

TICK_MS = 5
ENTRIES = 12
REPORT_MS = 200
ENDPOINTS, SLOTS, QUEUE = 23, 8, 24
TURN_MS = 500
LIMIT_MS = 3_000
# The reports of an endpoint reach an entry this many ticks apart.
_PHASES = REPORT_MS // TICK_MS
PLAN = TurnPlan(
    key=TurnKey(build.WORKSPACE, 'a'),
    program=None,
    budget=None,
    most_tokens=0,
    previous=None,
    content=b'',
    retention_ms=0,
)


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of programs.

    Attributes:
        priority: Priority of its requests.
        rate: Programs per second.
        turns: Turns of each program.
        factor: Share of its time on idle endpoints that it may take.
        slack_ms: Time that it may take beyond that, milliseconds.
        workspace: Workspace of its requests.
        burst: Factor of its rate during the burst.
    """

    priority: int
    rate: float
    turns: int
    factor: float
    slack_ms: int
    workspace: str = 'medina'
    burst: float = 2.4

    @property
    def target_ms(self) -> int:
        """Time within which a program should end."""
        return int(self.factor * self.turns * TURN_MS) + self.slack_ms


class Record(msgspec.Struct, kw_only=True):
    """What happened to one program.

    Attributes:
        kind: Its kind.
        started_ms: When it began.
        ended_ms: When its last turn ended; None if it was lost.
        refused_ms: For each refusal, how long the request had waited.
        turns: Turns that were served.
    """

    kind: Kind
    started_ms: int
    ended_ms: int | None = None
    refused_ms: list[int] = []
    turns: int = 0

    @property
    def is_in_time(self) -> bool:
        """Whether it ended within its target."""
        if self.ended_ms is None:
            return False
        return self.ended_ms - self.started_ms <= self.kind.target_ms


class FakeServer:
    """An endpoint that serves its queue in order of arrival."""

    def __init__(self, clock: ManualClock) -> None:
        self.running = 0
        self.queue: list[anyio.Event] = []
        self._clock = clock

    async def run(
        self, duration_ms: int, on_started: Callable[[], None]
    ) -> bool:
        """Serve one request; return False if the queue is full."""
        if self.running == SLOTS:
            if len(self.queue) == QUEUE:
                return False
            await self._wait()
        else:
            self.running += 1
        try:
            on_started()
            await self._clock.sleep_ms(duration_ms)
        finally:
            self._pass_on()
        return True

    async def _wait(self) -> None:
        turn = anyio.Event()
        self.queue.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn in self.queue:
                self.queue.remove(turn)
            else:
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        if self.queue:
            self.queue.pop(0).set()
        else:
            self.running -= 1


class Board:
    """The load of the fleet as one entry knows it: reports and its own work."""

    def __init__(
        self, servers: dict[str, FakeServer], known: int, offset: int
    ) -> None:
        self._servers = servers
        self._known = sorted(servers)[:known]
        self._offset = offset
        self._reports: dict[str, tuple[int, int]] = {}
        self._sent = dict.fromkeys(servers, 0)
        self._own = dict.fromkeys(servers, 0)

    def report(self, now_ms: int) -> None:
        """Take over the state of the endpoints whose report is due."""
        phase = now_ms // TICK_MS + self._offset
        for name in self._known[phase % _PHASES :: _PHASES]:
            server = self._servers[name]
            self._reports[name] = (server.running, len(server.queue))
            self._sent[name] = 0

    def busy(self, name: str) -> int:
        """Return the requests that an endpoint is thought to have."""
        report = self._reports.get(name)
        if report is None:
            return self._own[name]
        return sum(report) + self._sent[name]

    def record_start(self, name: str) -> None:
        """Record a request that is sent."""
        self._sent[name] += 1
        self._own[name] += 1

    def record_end(self, name: str) -> None:
        """Record its end."""
        self._own[name] -= 1

    def pressure_of(self, service: ServiceName) -> Pressure:
        """Return the sum of the reports."""
        reports = self._reports.values()
        return Pressure(
            running=sum(running for running, _ in reports),
            waiting=sum(waiting for _, waiting in reports),
            slots=SLOTS * len(reports),
            known_share=len(reports) / ENDPOINTS,
        )

    def has_capacity(self, endpoint: Endpoint, claimed: int) -> bool:
        """Return whether an endpoint is below its slots and one more."""
        return self.busy(endpoint.id) + claimed < SLOTS + 1


class Fleet:
    """Endpoints, entries and callers.

    Attributes:
        clock: Moved by ``run``.
        records: All programs, in order of their start.
        overloads: Admission control of the entries.
    """

    def __init__(
        self, *, has_control: bool, known: int = ENDPOINTS, seed: int = 1
    ) -> None:
        """Create an idle fleet.

        Args:
            has_control: Whether entries decide as they do under pressure;
                otherwise in order of arrival, as they did before.
            known: Number of endpoints whose load entries know.
            seed: Of the arrivals and of what is chosen at random.
        """
        self.clock = ManualClock()
        self.records: list[Record] = []
        self._rng = random.Random(seed)
        self._has_control = has_control
        self._endpoints = [
            build.listed_endpoint(f'e-{number:02}', slots=SLOTS)
            for number in range(ENDPOINTS)
        ]
        self._servers = {
            str(item.id): FakeServer(self.clock) for item in self._endpoints
        }
        self._boards = [
            Board(self._servers, known, 7 * number) for number in range(ENTRIES)
        ]
        self.overloads = [
            OverloadControl(
                board, lambda _: None, self.clock, Metrics(), self._rng
            )
            for board in self._boards
        ]

    def run(
        self, kinds: list[Kind], burst_s: tuple[float, float], total_s: float
    ) -> list[Record]:
        """Play a load and return what happened to its programs."""
        anyio.run(self._run, kinds, burst_s, total_s)
        return self.records

    async def _run(
        self, kinds: list[Kind], burst_s: tuple[float, float], total_s: float
    ) -> None:
        arrivals = sorted(
            (at_ms, number)
            for number, kind in enumerate(kinds)
            for at_ms in self._arrivals(kind, burst_s, total_s)
        )
        async with anyio.create_task_group() as tasks:
            for overload in self.overloads:
                tasks.start_soon(overload.run)
            while self.clock.now_ms() < 1_000 * total_s:
                while arrivals and arrivals[0][0] <= self.clock.now_ms():
                    kind = kinds[arrivals.pop(0)[1]]
                    tasks.start_soon(self._play, kind, len(self.records))
                    self.records.append(
                        Record(kind=kind, started_ms=self.clock.now_ms())
                    )
                for board in self._boards:
                    board.report(self.clock.now_ms())
                for _ in range(4):
                    await anyio.lowlevel.checkpoint()
                self.clock.advance(TICK_MS)
            tasks.cancel_scope.cancel()

    def _arrivals(
        self, kind: Kind, burst_s: tuple[float, float], total_s: float
    ) -> Iterator[float]:
        at_s = self._rng.expovariate(kind.rate)
        while at_s < total_s:
            yield 1_000 * at_s
            is_burst = burst_s[0] <= at_s < burst_s[1]
            factor = kind.burst if is_burst else 1
            at_s += self._rng.expovariate(kind.rate * factor)

    async def _play(self, kind: Kind, number: int) -> None:
        """Send the turns of one program, each up to three times."""
        record = self.records[number]
        record.refused_ms = []
        for turn in range(kind.turns):
            if not await self._send_turn(record, number, is_new=not turn):
                return
            record.turns += 1
        record.ended_ms = self.clock.now_ms()

    async def _send_turn(
        self, record: Record, number: int, *, is_new: bool
    ) -> bool:
        due_ms = self.clock.now_ms() + LIMIT_MS
        for _ in range(3):
            started_ms = self.clock.now_ms()
            call = self._call(record, number, due_ms, is_new=is_new)
            pause_ms = self._rng.randint(100, 400)
            try:
                with self.clock.timeout(max(0, due_ms - started_ms)):
                    await self._serve(self._rng.randrange(ENTRIES), call)
            except TimeoutError:
                due_ms = self.clock.now_ms() + LIMIT_MS
            except CallError as exc:
                record.refused_ms.append(self.clock.now_ms() - started_ms)
                pause_ms = exc.refusal.retry_after_ms or pause_ms
                if 3 * pause_ms > due_ms - self.clock.now_ms():
                    return False
            else:
                return True
            await self.clock.sleep_ms(pause_ms)
        return False

    def _call(
        self, record: Record, number: int, due_ms: int, *, is_new: bool
    ) -> Call:
        kind = record.kind
        left_ms = record.started_ms + kind.target_ms - self.clock.now_ms()
        turn = TurnParams(
            program=ProgramId(f'p-{number}'),
            budget=1_000,
            program_left_ms=max(0, left_ms),
        )
        return Call(
            inbound=build.inbound(turn=turn, started_ms=self.clock.now_ms()),
            route=build.route(
                priority=kind.priority, objective_ms=1_000, timeout_ms=LIMIT_MS
            ),
            service=build.MODEL,
            services={},
            workspace=WorkspaceId(kind.workspace),
            deadline_ms=due_ms,
            turn=OpenedTurn(PLAN, b'', is_new=is_new),
        )

    async def _serve(self, entry: int, call: Call) -> None:
        """Serve a request as an entry does, without a network."""
        board, overload = self._boards[entry], self.overloads[entry]
        excluded: set[Any] = set()

        # Reports are too old to tell which of several with free slots is the
        # least busy, and all entries would choose the same one.
        def rank() -> list[Endpoint]:
            return sorted(
                (item for item in self._endpoints if item.id not in excluded),
                key=lambda item: (
                    max(SLOTS - 2, board.busy(item.id)),
                    self._rng.random(),
                ),
            )

        if self._has_control:
            overload.check(call)
        while True:
            endpoint = None
            if self._has_control:
                endpoint = await overload.claim(call, rank(), rank)
            endpoint = endpoint or rank()[0]
            if await self._send(entry, call, endpoint):
                return
            if self._has_control:
                exc = EndpointError(Failure.REFUSED, Verdict.NOT_RUN, 'full')
                overload.record_failure(call, exc)
                overload.check_retry(call, exc)
            excluded.add(endpoint.id)
            if len(excluded) == ENDPOINTS:
                await self.clock.sleep_ms(40)
                excluded.clear()

    async def _send(self, entry: int, call: Call, endpoint: Endpoint) -> bool:
        """Send a request to an endpoint; return False if it refuses it."""
        board, overload = self._boards[entry], self.overloads[entry]
        started_ms = self.clock.now_ms()

        def on_started() -> None:
            overload.record_response(call, self.clock.now_ms() - started_ms)

        board.record_start(endpoint.id)
        overload.release(call)
        try:
            is_served = await self._servers[endpoint.id].run(
                int(TURN_MS * self._rng.uniform(0.5, 1.5)), on_started
            )
        finally:
            board.record_end(endpoint.id)
            overload.wake(build.MODEL)
        if is_served:
            overload.record_served(call, self.clock.now_ms() - started_ms)
        return is_served
