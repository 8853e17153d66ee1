"""What a control instance answers, above all while it leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.coordination.codec import encode
from acaciaramp.coordination.messages import (
    ControlReply,
    ControlRequest,
    CrashReport,
    Done,
    Endpoint,
    FollowReply,
    FollowRequest,
    GrantReply,
    GrantRequest,
    OrderOutcome,
    OrderReply,
    QueryRetirement,
    ReadState,
    ReplicaMessage,
    ReplicaMessageReply,
    Retire,
    RetireOrder,
    SeedLedger,
    StateReply,
    StoreRates,
    StoreTable,
    View,
    ViewNumber,
)
from acaciaramp.coordination.quarantine import Quarantine
from acaciaramp.coordination.rates import RateOwner
from acaciaramp.coordination.retiring import judge, progress_of
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter, GrantOutcome
from acaciaramp.settings.node import RoleName
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.state_machine import ControlMachine
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.replication.group import Group
    from acaciaramp.routing.model import RoutingTable

    ReadEndpoints = Callable[[], Awaitable[tuple[Endpoint, ...]]]
    DecodeTable = Callable[[bytes], RoutingTable]

logger = get_logger('coordination')

# How long a report waits for news; the time in which instances count as gone
# has room for several reports.
HOLD_MS = 500
# How long a report waits for an election before it is turned away; an election
# takes less once most instances run.
_ELECTION_MS = 400
_PERIOD_MS = 200
# Twice within the shortest time after which a leaving endpoint must be known.
_READ_PERIOD_MS = 700
# A list that is older is left to the entries, which read it themselves.
_STALE_LIST_MS = 1_600
# All instances find a new leader within this time.
_SETTLED_MS = 3_000
# Instances with a disk start within a second of each other.
_SEED_WAIT_MS = 4_000


class Coordinator:
    """One control instance's service to all other instances."""

    def __init__(
        self,
        *,
        group: Group,
        machine: ControlMachine,
        directory: Directory,
        clock: Clock,
        read_endpoints: ReadEndpoints,
        decode_table: DecodeTable,
        strength: int,
        metrics: Metrics,
    ) -> None:
        """Create the service.

        Args:
            group: The replica of the control group.
            machine: Its state.
            directory: Instances that reported here.
            clock: Source of time.
            read_endpoints: Reads the platform's instance list.
            decode_table: Reads a routing table as operators send it.
            strength: Replicas that the ledger needs.
            metrics: Counts granted tokens.
        """
        self._group = group
        self._machine = machine
        self._directory = directory
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._strength = strength
        self._metrics = metrics
        self._rates = RateOwner(
            lambda: machine.state, clock, decode_table, self._propose
        )
        self._quarantine = Quarantine(clock)
        self._endpoints: tuple[Endpoint, ...] | None = None
        self._read_ms = 0
        self._changed = anyio.Event()
        self._view = View()
        self._number = ViewNumber()
        self._leads_since_ms: int | None = None

    async def run(self) -> None:
        """Do what a leader has to do, whenever this instance leads."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_reading)
            tasks.start_soon(self._rates.run)
            while True:
                await self._clock.sleep_ms(_PERIOD_MS)
                self._note_leadership()
                if self._leads_since_ms is not None:
                    await self._lead()

    async def answer(self, req: ControlRequest) -> ControlReply:
        """Answer a request of another instance or of an operator.

        Raises:
            CallError: Another instance leads, or none does.
        """
        if isinstance(req, ReplicaMessage):
            return ReplicaMessageReply(await self._group.handle(req.body))
        if isinstance(req, FollowRequest):
            return await self._follow(req)
        self._require_lead()
        return await self._answer_as_leader(req)

    def note_rates(self) -> None:
        """Take note of when levels of the common rates were learned of."""
        self._rates.note_levels()

    def notify(self) -> None:
        """Wake the reports that wait for news."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def _answer_as_leader(self, req: ControlRequest) -> ControlReply:
        match req:
            case GrantRequest():
                return self._grant(req)
            case CrashReport():
                self._quarantine.take(req)
                return Done()
            case StoreTable() | ReadState():
                return await self._propose(req)
            case RetireOrder():
                return OrderReply(await self._retire(req.name))
            case QueryRetirement():
                return OrderReply(
                    progress_of(
                        req.name,
                        self._machine.state,
                        self._directory,
                        self._strength,
                    )
                )
            case _:
                raise CallError(ErrorCode.BAD_REQUEST, 'no leader answers it')

    def _grant(self, req: GrantRequest) -> GrantReply:
        reply = self._rates.grant(req)
        outcome = GrantOutcome.GRANTED if reply.granted else GrantOutcome.NONE
        self._metrics.count(Counter.RATE_REQUESTED, outcome)
        return reply

    async def _follow(self, req: FollowRequest) -> FollowReply:
        await self._await_leader()
        self._note_leadership()
        if self._group.replica.is_ready and self._directory.take(req):
            logger.info(
                'An instance has joined.',
                instance=req.node.instance,
                name=req.node.name,
                run=req.node.run,
            )
            self._refresh()
        self._require_lead()
        if req.version == 0:
            # A new instance must not begin with what an old leader knows.
            await self._propose(ReadState())
        self._refresh()
        await self._await_news(req)
        self._require_lead()
        return self._news(req)

    async def _await_leader(self) -> None:
        """Wait a bounded time while an election is under way."""
        replica = self._group.replica
        undecided = {None, self._group.me.instance}
        try:
            with self._clock.timeout(_ELECTION_MS):
                while replica.leader in undecided and not replica.is_ready:
                    await replica.wait_change()
        except TimeoutError:
            return

    async def _await_news(self, req: FollowRequest) -> None:
        until_ms = self._clock.now_ms() + HOLD_MS
        while not self._has_news(req):
            left_ms = until_ms - self._clock.now_ms()
            try:
                with self._clock.timeout(max(0, left_ms)):
                    await self._changed.wait()
            except TimeoutError:
                return

    def _has_news(self, req: FollowRequest) -> bool:
        is_newer = self._machine.state.version > req.version
        return is_newer or self._number > req.number

    def _news(self, req: FollowRequest) -> FollowReply:
        state = self._machine.state
        is_newer = state.version > req.version
        return FollowReply(
            version=state.version,
            table=state.body if is_newer else None,
            number=self._number,
            view=self._view if self._number > req.number else None,
        )

    def _require_lead(self) -> None:
        """Refuse unless this instance leads and no other one can.

        Raises:
            CallError: Another instance leads, or none does.
        """
        replica = self._group.replica
        if self._group.is_serving and replica.has_lease():
            return
        leader = replica.leader
        raise CallError(
            ErrorCode.NOT_LEADER,
            'this control instance does not lead',
            leader=None if leader == self._group.me.instance else leader,
        )

    async def _propose(
        self,
        command: StoreTable | ReadState | SeedLedger | Retire | StoreRates,
    ) -> StateReply:
        reply = await self._group.propose_for_caller(encode(command))
        if not isinstance(reply, StateReply):
            raise CallError(ErrorCode.INTERNAL, 'a command gave no state')
        return reply

    def _note_leadership(self) -> None:
        leads = self._group.replica.is_ready
        if leads and self._leads_since_ms is None:
            self._leads_since_ms = self._clock.now_ms()
            self._directory.clear()
            self._rates.start()
            self._number = ViewNumber(self._group.replica.term, 0)
        elif not leads:
            self._leads_since_ms = None
            self._rates.stop()

    async def _lead(self) -> None:
        for node in self._directory.drop_silent():
            logger.warning(
                'An instance is silent.', instance=node.instance, name=node.name
            )
        self._refresh()
        if self._group.is_serving and self._machine.state.ledger_seed is None:
            await self._seed_ledger()

    async def _seed_ledger(self) -> None:
        """Choose where the ledger begins, once its replicas are there."""
        nodes = [
            node
            for node in self._directory.nodes(RoleName.STORAGE)
            if self._directory.standing(node.instance) is not None
        ]
        needed = self._strength
        if self._led_ms() > _SEED_WAIT_MS:
            needed = self._strength // 2 + 1
        if len(nodes) < needed:
            return
        # A leader beside another replica commits without crossing regions.
        regions = [node.region for node in nodes]
        best = max(nodes, key=lambda node: regions.count(node.region))
        standing = self._directory.standing(best.instance)
        if standing is not None:
            logger.info('The ledger is to begin.', instance=best.instance)
            try:
                await self._propose(SeedLedger(standing.replica))
            except CallError as exc:
                logger.warning('The ledger has not begun.', reason=exc)

    def _refresh(self) -> None:
        """Make a new view if anything in it has changed."""
        if self._leads_since_ms is None:
            return
        state = self._machine.state
        view = View(
            controls=self._instances(RoleName.CONTROL),
            entries=self._instances(RoleName.ENTRY),
            storages=self._instances(RoleName.STORAGE),
            ledger_seed=state.ledger_seed,
            retiring=tuple(node.instance for node in state.retiring.values()),
            endpoints=self._endpoints,
            quarantined=self._quarantine.digests(),
            is_settled=self._led_ms() > _SETTLED_MS,
        )
        if view != self._view or self._number.count == 0:
            self._view = view
            self._rates.entries = len(view.entries)
            term = self._group.replica.term
            self._number = ViewNumber(term, self._number.count + 1)
            self.notify()

    def _instances(self, role: RoleName) -> tuple[InstanceId, ...]:
        return tuple(node.instance for node in self._directory.nodes(role))

    def _led_ms(self) -> int:
        since_ms = self._leads_since_ms
        return 0 if since_ms is None else self._clock.now_ms() - since_ms

    async def _retire(self, name: str) -> OrderOutcome:
        if self._led_ms() < _SETTLED_MS:
            raise CallError(ErrorCode.NOT_LEADER, 'not every instance reported')
        outcome, command = judge(
            name, self._machine.state, self._directory, self._strength
        )
        if command is not None:
            await self._propose(command)
            self._refresh()
        return outcome

    async def _keep_reading(self) -> None:
        """Read the platform's list of endpoints while this instance leads."""
        while True:
            await self._clock.sleep_ms(_READ_PERIOD_MS)
            if not self._group.is_serving:
                self._endpoints = None
                continue
            try:
                self._endpoints = await self._read_endpoints()
            except CallError as exc:
                self._note_unread(exc)
            else:
                self._read_ms = self._clock.now_ms()
            self._refresh()

    def _note_unread(self, exc: CallError) -> None:
        """Leave the list to the entries while it cannot be read here."""
        age_ms = self._clock.now_ms() - self._read_ms
        logger.warning(
            'The instance list cannot be read.', reason=exc, age_ms=age_ms
        )
        if age_ms > _STALE_LIST_MS:
            self._endpoints = None
