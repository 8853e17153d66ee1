"""Handles requests to a control instance and does the leader's work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.coordination.codec import encode, pack_view
from acaciaramp.coordination.evacuations import check_evacuation
from acaciaramp.coordination.home_seeds import seed_home_ledgers
from acaciaramp.coordination.homes import list_home_ledgers
from acaciaramp.coordination.locality import order_as_replicas
from acaciaramp.coordination.messages import (
    Command,
    ControlReply,
    ControlRequest,
    CrashReport,
    Done,
    Endpoint,
    Evacuate,
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
    RetireOrder,
    ReturnToken,
    SeedLedger,
    SlotReply,
    SlotRequest,
    StateReply,
    StoreTable,
    View,
    ViewNumber,
)
from acaciaramp.coordination.quarantine import Quarantine
from acaciaramp.coordination.rates import RateOwner
from acaciaramp.coordination.retiring import (
    decide_retirement,
    retirement_progress,
)
from acaciaramp.coordination.slots import SlotOwner
from acaciaramp.coordination.tables import TableHistory
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter, GrantOutcome
from acaciaramp.settings.node import RoleName
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.state_machine import ControlStateMachine
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.replication.group import Group
    from acaciaramp.routing.model import RoutingTable

    ReadEndpoints = Callable[[], Awaitable[tuple[Endpoint, ...]]]
    DecodeTable = Callable[[bytes], RoutingTable]

logger = get_logger('coordination')

# Longest time that a long poll waits for an update. Several polls fit into the
# time after which a silent instance expires from the directory.
LONG_POLL_MS = 500
# Longest wait for an election before a report is refused. An election takes
# less time once most instances run.
_ELECTION_WAIT_MS = 400
_LEADER_TICK_MS = 200
_LIST_TICK_MS = 100
# Number of periods after which a list that could not be read again is withdrawn
# from the view, so that entry instances read it themselves.
_LIST_MAX_AGE_PERIODS = 2
# All live instances find a new leader within this time.
_SETTLE_MS = 3_000
# Storage instances start within a second of each other. Once this instance has
# led for this long, a majority of the ledger's replicas is enough to bootstrap
# it.
_SEED_WAIT_MS = 4_000


class Coordinator:
    """Service of one control instance to all other instances."""

    def __init__(
        self,
        *,
        group: Group,
        state_machine: ControlStateMachine,
        directory: Directory,
        clock: Clock,
        read_endpoints: ReadEndpoints,
        decode_table: DecodeTable,
        target_voters: int,
        rate_window_ms: int,
        list_period_ms: int,
        metrics: Metrics,
    ) -> None:
        """Create the service; ``run`` starts it.

        Args:
            group: This instance's replica of the control group.
            state_machine: The replicated state.
            directory: Instances that report to this one while it leads.
            clock: Source of time.
            read_endpoints: Reads the platform's instance list; raises
                ``CallError``.
            decode_table: Decodes a routing table as operators send it.
            target_voters: Number of voters that the ledger needs.
            rate_window_ms: Window over which rates are limited, milliseconds.
            list_period_ms: Time between two reads of the instance list.
            metrics: Counts requests for tokens by outcome.
        """
        self._group = group
        self._state_machine = state_machine
        self._directory = directory
        self._clock = clock
        self._read_endpoints = read_endpoints
        self._target_voters = target_voters
        self._metrics = metrics
        self._rates = RateOwner(
            lambda: state_machine.state,
            clock,
            decode_table,
            self._propose,
            rate_window_ms,
        )
        self._slots = SlotOwner(clock)
        self._list_period_ms = list_period_ms
        self._quarantine = Quarantine(clock)
        self._endpoints: tuple[Endpoint, ...] | None = None
        self._endpoints_read_ms = 0
        self._ledger_voters: tuple[InstanceId, ...] = ()
        self._tables = TableHistory()
        self._updated = anyio.Event()
        self._view = View()
        self._packed_view = b''
        self._number = ViewNumber()
        self._leader_since_ms: int | None = None

    async def run(self) -> None:
        """Do the leader's periodic work until cancelled.

        Nothing is done while this instance does not lead.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_endpoints)
            tasks.start_soon(self._rates.run)
            while True:
                await self._clock.sleep_ms(_LEADER_TICK_MS)
                self._update_leadership()
                if self._leader_since_ms is not None:
                    await self._run_leader_tick()

    async def handle(self, req: ControlRequest) -> ControlReply:
        """Handle a request of another instance or of an operator.

        Raises:
            CallError: This instance does not lead, or a command could not be
                committed.
            OSError: The disk failed.
        """
        if isinstance(req, ReplicaMessage):
            return ReplicaMessageReply(await self._group.handle(req.body))
        if isinstance(req, FollowRequest):
            return await self._handle_follow(req)
        self._require_leadership()
        return await self._handle_as_leader(req)

    def on_rates_applied(self, workspaces: Iterable[str]) -> None:
        """Record that rate checkpoints have been applied here."""
        self._rates.on_checkpoints_applied(workspaces)

    def on_state_change(self) -> None:
        """Record a new table and wake the long polls that wait for one."""
        state = self._state_machine.state
        self._tables.record(state.version, state.body)
        self.notify_followers()

    def notify_followers(self) -> None:
        """Wake the long polls that wait for an update."""
        updated = self._updated
        self._updated = anyio.Event()
        updated.set()

    async def _handle_as_leader(self, req: ControlRequest) -> ControlReply:
        match req:
            case GrantRequest() | SlotRequest():
                return self._grant(req)
            case ReturnToken():
                self._rates.take_back(req)
                return Done()
            case CrashReport():
                self._quarantine.record_crash(req)
                return Done()
            case StoreTable() | ReadState() | Evacuate():
                return await self._propose(req)
            case RetireOrder():
                return OrderReply(await self._retire_storage(req.name))
            case QueryRetirement():
                return OrderReply(
                    retirement_progress(
                        req.name,
                        self._state_machine.state,
                        self._directory,
                        self._target_voters,
                    )
                )
            case _:
                raise CallError(ErrorCode.BAD_REQUEST, 'no leader answers it')

    def _grant(self, req: GrantRequest | SlotRequest) -> ControlReply:
        """Grant or refuse a token or a slot."""
        reply: GrantReply | SlotReply
        if isinstance(req, GrantRequest):
            reply = self._rates.grant(req)
            counter, is_granted = Counter.RATE_REQUESTED, reply.granted > 0
        else:
            reply = self._slots.reserve(req)
            counter = Counter.SLOT_REQUESTED
            is_granted = reply.endpoint is not None
        outcome = GrantOutcome.GRANTED if is_granted else GrantOutcome.NONE
        self._metrics.count(counter, outcome)
        return reply

    async def _handle_follow(self, req: FollowRequest) -> FollowReply:
        await self._wait_for_leader()
        self._update_leadership()
        if self._group.replica.is_ready and self._directory.record_report(req):
            logger.info(
                'An instance reports for the first time or has changed; '
                'updating the view.',
                instance=req.node.instance,
                name=req.node.name,
                run=req.node.run,
            )
            self._refresh_view()
        self._require_leadership()
        if req.version == 0:
            # A new instance must not start with the stale table of a deposed
            # leader; the read goes through the log.
            await self._propose(ReadState())
        self._refresh_view()
        await self._wait_for_update(req)
        self._require_leadership()
        return self._make_follow_reply(req)

    async def _wait_for_leader(self) -> None:
        """Wait up to ``_ELECTION_WAIT_MS`` for a leader.

        If this instance leads, wait until it is ready.
        """
        replica = self._group.replica
        unknown_or_self = {None, self._group.me.instance}
        try:
            with self._clock.timeout(_ELECTION_WAIT_MS):
                while (
                    replica.leader in unknown_or_self and not replica.is_ready
                ):
                    await replica.wait_change()
        except TimeoutError:
            return

    async def _wait_for_update(self, req: FollowRequest) -> None:
        """Wait up to ``LONG_POLL_MS`` for a newer table or view."""
        until_ms = self._clock.now_ms() + LONG_POLL_MS
        while not self._has_update(req):
            remaining_ms = until_ms - self._clock.now_ms()
            try:
                with self._clock.timeout(max(0, remaining_ms)):
                    await self._updated.wait()
            except TimeoutError:
                return

    def _has_update(self, req: FollowRequest) -> bool:
        is_table_newer = self._state_machine.state.version > req.version
        return is_table_newer or self._number > req.number

    def _make_follow_reply(self, req: FollowRequest) -> FollowReply:
        state = self._state_machine.state
        reply = FollowReply(
            version=state.version,
            number=self._number,
            view=self._packed_view if self._number > req.number else None,
        )
        if state.version <= req.version:
            return reply
        self._tables.record(state.version, state.body)
        delta = self._tables.delta_from(req.version)
        if delta is not None:
            return msgspec.structs.replace(reply, delta=delta)
        return msgspec.structs.replace(reply, table=state.body)

    def _require_leadership(self) -> None:
        """Check that this instance leads and holds a lease.

        Raises:
            CallError: It does not; carries the leader if it is known.
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
        command: Command,
    ) -> StateReply:
        if isinstance(command, Evacuate):
            check_evacuation(command, self._directory)
        reply = await self._group.propose_for_caller(encode(command))
        if not isinstance(reply, StateReply):
            raise CallError(ErrorCode.INTERNAL, 'a command gave no state')
        if isinstance(command, Evacuate):
            # Published at once instead of at the next tick.
            self._refresh_view()
        return reply

    def _update_leadership(self) -> None:
        """Start or stop leading if the replica has gained or lost leadership.

        A new leader starts with an empty directory, its predecessor's rate
        checkpoints and view numbers of its own term.
        """
        is_leader = self._group.replica.is_ready
        if is_leader and self._leader_since_ms is None:
            self._leader_since_ms = self._clock.now_ms()
            self._directory.clear()
            self._rates.start()
            self._slots.start()
            self._number = ViewNumber(self._group.replica.term, 0)
        elif not is_leader:
            self._leader_since_ms = None
            self._rates.stop()

    async def _run_leader_tick(self) -> None:
        for node in self._directory.remove_expired():
            logger.warning(
                'An instance no longer reports; removing it from the view.',
                instance=node.instance,
                name=node.name,
            )
        self._refresh_view()
        if not self._group.is_serving:
            return
        if self._state_machine.state.ledger_seed is None:
            await self._seed_ledger()
        await seed_home_ledgers(
            self._view.home_ledgers,
            self._directory,
            self._target_voters // 2,
            self._propose,
            is_settled=self._leading_for_ms() > _SEED_WAIT_MS,
        )

    async def _seed_ledger(self) -> None:
        """Choose the replica that bootstraps the ledger, if enough report.

        All ``target_voters`` must report; a majority of them is enough once
        this instance has led for ``_SEED_WAIT_MS``.
        """
        nodes = [
            node
            for node in self._directory.nodes_with_role(RoleName.STORAGE)
            if self._directory.ledger_status(node.instance) is not None
        ]
        needed = self._target_voters
        if self._leading_for_ms() > _SEED_WAIT_MS:
            needed = self._target_voters // 2 + 1
        if len(nodes) < needed:
            return
        best = order_as_replicas(nodes, region=None)[0]
        status = self._directory.ledger_status(best.instance)
        if status is not None:
            logger.info(
                'Selecting the instance that bootstraps the ledger.',
                instance=best.instance,
            )
            try:
                await self._propose(SeedLedger(status.replica))
            except CallError as exc:
                logger.warning(
                    'Could not commit the choice of the instance that '
                    'bootstraps the ledger; retrying.',
                    reason=exc,
                )

    def _refresh_view(self) -> None:
        """Publish a new view if anything in it has changed."""
        if self._leader_since_ms is None:
            return
        state = self._state_machine.state
        entries = self._directory.nodes_with_role(RoleName.ENTRY)
        storages = self._ordered_storages()
        view = View(
            controls=self._instances_with_role(RoleName.CONTROL),
            entries=tuple(node.instance for node in entries),
            entry_zones=tuple(node.availability_zone for node in entries),
            storages=storages,
            ledger_voters=self._update_ledger_voters(),
            ledger_seed=state.ledger_seed,
            retiring=tuple(node.instance for node in state.retiring.values()),
            endpoints=self._endpoints,
            quarantined=self._quarantine.active_digests(),
            is_settled=self._leading_for_ms() > _SETTLE_MS,
            evacuated=tuple(sorted(state.evacuated)),
            home_ledgers=list_home_ledgers(
                self._rates.home_regions,
                state.home_seeds,
                self._directory,
                storages,
            ),
        )
        if view != self._view or self._number.count == 0:
            self._view = view
            self._packed_view = pack_view(view)
            self._rates.entries = len(view.entries)
            term = self._group.replica.term
            self._number = ViewNumber(term, self._number.count + 1)
            self.notify_followers()

    def _ordered_storages(self) -> tuple[InstanceId, ...]:
        """Return the storage instances, preferred replicas first.

        Replicas are preferred in the region in which the ledger began.
        """
        nodes = self._directory.nodes_with_role(RoleName.STORAGE)
        seed = self._state_machine.state.ledger_seed
        regions = [
            node.region
            for node in nodes
            if seed is not None and node.instance == seed.instance
        ]
        region = regions[0] if regions else None
        return tuple(node.instance for node in order_as_replicas(nodes, region))

    def _update_ledger_voters(self) -> tuple[InstanceId, ...]:
        """Return the ledger's voters, the last known ones without a leader."""
        voters = self._directory.ledger_voters()
        if voters is not None:
            self._ledger_voters = voters
        return self._ledger_voters

    def _instances_with_role(self, role: RoleName) -> tuple[InstanceId, ...]:
        return tuple(
            node.instance for node in self._directory.nodes_with_role(role)
        )

    def _leading_for_ms(self) -> int:
        since_ms = self._leader_since_ms
        return 0 if since_ms is None else self._clock.now_ms() - since_ms

    async def _retire_storage(self, name: str) -> OrderOutcome:
        """Handle an operator's order to retire a storage instance.

        Raises:
            CallError: This instance has led for less than ``_SETTLE_MS``, so
                that live instances may not have reported yet, or the command
                could not be committed.
        """
        if self._leading_for_ms() < _SETTLE_MS:
            raise CallError(ErrorCode.NOT_LEADER, 'not every instance reported')
        outcome, command = decide_retirement(
            name,
            self._state_machine.state,
            self._directory,
            self._target_voters,
        )
        if command is not None:
            await self._propose(command)
            self._refresh_view()
        return outcome

    async def _poll_endpoints(self) -> None:
        """Read the platform's instance list while this instance leads.

        A new leader reads it at once.
        """
        due_ms = 0
        while True:
            await self._clock.sleep_ms(_LIST_TICK_MS)
            if not self._group.is_serving:
                self._endpoints = None
                due_ms = 0
                continue
            if self._clock.now_ms() < due_ms:
                continue
            due_ms = self._clock.now_ms() + self._list_period_ms
            try:
                self._endpoints = await self._read_endpoints()
            except CallError as exc:
                self._on_read_failure(exc)
            else:
                self._endpoints_read_ms = self._clock.now_ms()
            self._refresh_view()

    def _on_read_failure(self, exc: CallError) -> None:
        """Withdraw the endpoints once the last list is too old."""
        age_ms = self._clock.now_ms() - self._endpoints_read_ms
        logger.warning(
            'Could not read the instance list; using the last one until it expires.',
            reason=exc,
            age_ms=age_ms,
        )
        if age_ms > _LIST_MAX_AGE_PERIODS * self._list_period_ms:
            self._endpoints = None
