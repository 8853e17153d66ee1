"""One cell as one instance hosts it: a replica, and its home when it leads."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio

from acaciaramp.cells.placement import best_spares
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.programs.log import (
    CommitError,
    ProgramStateMachine,
    ReplicatedLog,
)
from acaciaramp.replication.errors import LeadershipLostError, NotLeaderError
from acaciaramp.replication.members import Members
from acaciaramp.replication.membership import (
    TARGET_VOTERS,
    next_membership_change,
)
from acaciaramp.replication.replica import Replica
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from acaciaramp.cells.placement import Location
    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.programs import api
    from acaciaramp.programs.home import Home
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.state_machine import Programs
    from acaciaramp.replication.members import Member
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('cells')

MakeHome = Callable[['Programs', 'CommandLog', 'TaskGroup'], 'Home']
Handle = Callable[['Home', 'api.Request'], Awaitable['api.Reply']]

_REPAIR_PERIOD_MS = 500
_DEAD_AFTER_MS = 5_000
_EXPIRY_PERIOD_MS = 1_000


class Cell:
    """One cell on one instance.

    Attributes:
        name: The cell, named after its home instance.
        replica: Its replica here.
        home: The home of its programs while this replica leads.
    """

    def __init__(
        self,
        *,
        name: InstanceId,
        me: Member,
        first: Members,
        store: Store,
        send: Send,
        locations: list[Location],
        make_home: MakeHome,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
    ) -> None:
        """Create the cell's replica on this instance.

        Args:
            name: The cell.
            me: The replica here.
            first: The members where the store holds none.
            store: Keeps what must not be forgotten.
            send: Sends a request to another replica.
            locations: Every instance of the deployment.
            make_home: Makes the home of the programs.
            clock: Source of time.
            rng: Spreads the elections.
            timing: Times of the replicated log.
        """
        self.name = name
        self.home: Home | None = None
        self._machine = ProgramStateMachine()
        self._locations = locations
        self._make_home = make_home
        self._clock = clock
        self.replica = Replica(
            me=me,
            initial_members=first,
            store=store,
            state_machine=self._machine,
            send=send,
            clock=clock,
            rng=rng,
            timing=timing,
        )

    @property
    def has_memory(self) -> bool:
        """Whether this replica remembers anything of the cell."""
        return self.replica.log.last_index > 0

    @property
    def is_serving(self) -> bool:
        """Whether programs can be served here."""
        if self.home is None or not self.replica.has_lease():
            return False
        wanted = min(TARGET_VOTERS - 1, len(self._locations))
        return len(self.replica.members.voters) >= wanted

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            tasks.start_soon(self._repair)
            await self._serve()

    async def handle(self, req: api.Request, handle: Handle) -> api.Reply:
        """Carry out a request, if this instance leads the cell.

        Raises:
            CallError: Another instance leads, or the request was refused.
        """
        home = self.home
        if home is None or not self.is_serving:
            raise self._not_leader()
        try:
            return await handle(home, req)
        except CommitError:
            raise self._not_leader() from None

    async def drain(self, drain_ms: int) -> None:
        """Wait for idle moments; then send new steps elsewhere and wait.

        Args:
            drain_ms: How long new steps are still taken, milliseconds.
        """
        home = self.home
        if home is None:
            return
        try:
            with self._clock.timeout(drain_ms):
                await home.wait_idle()
        except TimeoutError:
            logger.info('New steps go elsewhere now.', cell=self.name)
        home.refuse_new()
        await home.wait_idle()

    def form(self) -> None:
        """Make this replica the only member of a cell that never existed."""
        self.replica.bootstrap(Members((self.replica.me,)))

    def _not_leader(self) -> CallError:
        leader = self.replica.leader
        return CallError(
            ErrorCode.NOT_LEADER,
            f'the cell "{self.name}" is led by {leader}',
            leader=None if leader == self.replica.me.instance else leader,
        )

    async def _serve(self) -> None:
        """Be the home of the cell's programs whenever this replica leads."""
        while True:
            while not self.replica.is_ready:
                await self.replica.wait_change()
            term = self.replica.term
            logger.info('The cell is led here.', cell=self.name, term=term)
            async with anyio.create_task_group() as tasks:
                log = ReplicatedLog(self.replica)
                home = self._make_home(self._machine.state, log, tasks)
                tasks.start_soon(self._expire, home)
                tasks.start_soon(self._recover, home)
                while self.replica.is_ready and self.replica.term == term:
                    await self.replica.wait_change()
                self.home = None
                home.abandon()
                tasks.cancel_scope.cancel()
            logger.info('The cell is led elsewhere.', cell=self.name)

    async def _recover(self, home: Home) -> None:
        try:
            await home.recover()
        except CommitError:
            return
        self.home = home

    async def _expire(self, home: Home) -> None:
        while True:
            await self._clock.sleep_ms(_EXPIRY_PERIOD_MS)
            try:
                await home.expire()
            except CommitError:
                return

    async def _repair(self) -> None:
        """Bring the cell to full strength whenever this replica leads."""
        while True:
            await self._clock.sleep_ms(_REPAIR_PERIOD_MS)
            if not self.replica.is_ready:
                continue
            change = await self._next_change()
            if change is None:
                continue
            logger.info(
                'The members change.',
                cell=self.name,
                voters=','.join(item.instance for item in change.voters),
                learners=','.join(item.instance for item in change.learners),
            )
            with contextlib.suppress(NotLeaderError, LeadershipLostError):
                await self.replica.change_members(change)

    async def _next_change(self) -> Members | None:
        replica = self.replica
        return next_membership_change(
            replica.members,
            replica.progress,
            me=replica.me,
            commit=replica.commit,
            dead_since_ms=self._clock.now_ms() - _DEAD_AFTER_MS,
            spares=await self._spares(),
        )

    async def _spares(self) -> list[Member]:
        """Return replicas outside the members that answer, the best first."""
        members = self.replica.members
        is_whole = len(members.voters) >= TARGET_VOTERS
        if is_whole and not self._has_dead(members):
            return []
        outside = [
            item.instance
            for item in self._locations
            if item.instance not in members.instances
        ]
        ordered = best_spares(
            self.name, members.instances, outside, self._locations
        )
        spares = []
        for instance in ordered:
            found = await self.replica.probe_member(instance)
            if found is not None:
                spares.append(found)
        return spares

    def _has_dead(self, members: Members) -> bool:
        since_ms = self._clock.now_ms() - _DEAD_AFTER_MS
        return any(
            peer.last_contact_ms < since_ms
            for instance, peer in self.replica.progress.peers.items()
            if instance in members.instances
        )
