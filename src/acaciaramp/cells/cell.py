"""One cell on one instance: its replica, and its home while that leads."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio

from acaciaramp.cells.placement import rank_spares
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
Handler = Callable[['Home', 'api.Request'], Awaitable['api.Reply']]

_MEMBERSHIP_PERIOD_MS = 500
_FAILURE_TIMEOUT_MS = 5_000
_EXPIRY_PERIOD_MS = 1_000


class Cell:
    """One cell on one instance.

    A cell is a replicated group that keeps the programs whose ids contain its
    name. The instance that leads it is the home of these programs.

    Attributes:
        name: Name of the cell: the id of the instance that bootstraps it.
        replica: The replica on this instance.
        home: Serves the cell's programs while this replica leads, else None.
    """

    def __init__(
        self,
        *,
        name: InstanceId,
        member: Member,
        initial_members: Members,
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
            name: Name of the cell.
            member: This replica as a member of the group.
            initial_members: The members if the store has none.
            store: Durable state of the replica.
            send: Sends a request to another replica.
            locations: Locations of all instances of the deployment.
            make_home: Creates the home of the cell's programs.
            clock: Source of time.
            rng: Randomizes the election timeouts.
            timing: Timing of the replicated log.
        """
        self.name = name
        self.home: Home | None = None
        self._state_machine = ProgramStateMachine()
        self._locations = locations
        self._make_home = make_home
        self._clock = clock
        self.replica = Replica(
            me=member,
            initial_members=initial_members,
            store=store,
            state_machine=self._state_machine,
            send=send,
            clock=clock,
            rng=rng,
            timing=timing,
        )

    @property
    def has_entries(self) -> bool:
        """Whether this replica has any log entries."""
        return self.replica.log.last_index > 0

    @property
    def is_serving(self) -> bool:
        """Whether this replica leads with a lease and enough voters.

        One voter fewer than the target is enough, or as many voters as there
        are instances if that is less.
        """
        if self.home is None or not self.replica.has_lease():
            return False
        required = min(TARGET_VOTERS - 1, len(self._locations))
        return len(self.replica.members.voters) >= required

    async def run(self) -> None:
        """Run the replica, its membership and the home until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            tasks.start_soon(self._maintain_membership)
            await self._serve_while_leading()

    async def handle(self, req: api.Request, handler: Handler) -> api.Reply:
        """Handle a request if this instance leads the cell.

        Args:
            req: The request.
            handler: Carries out the request at the home.

        Raises:
            CallError: This instance does not lead with a lease, lost the
                leadership meanwhile, or refused the request.
        """
        home = self.home
        if home is None or not self.is_serving:
            raise self._not_leader_error()
        try:
            return await handler(home, req)
        except CommitError:
            raise self._not_leader_error() from None

    async def drain(self, drain_ms: int) -> None:
        """Refuse new steps and wait until none is running, before a stop.

        New steps are still accepted until no step is running, but for
        ``drain_ms`` at most. Callers of refused steps ask other instances.

        Args:
            drain_ms: How long new steps are still accepted, milliseconds.
        """
        home = self.home
        if home is None:
            return
        try:
            with self._clock.timeout(drain_ms):
                await home.wait_until_idle()
        except TimeoutError:
            logger.info(
                'The cell is still running steps; refusing new ones.',
                cell=self.name,
            )
        home.refuse_new_steps()
        await home.wait_until_idle()

    def bootstrap(self) -> None:
        """Make this replica the only member of a cell without any entries."""
        self.replica.bootstrap(Members((self.replica.me,)))

    def _not_leader_error(self) -> CallError:
        leader = self.replica.leader
        return CallError(
            ErrorCode.NOT_LEADER,
            f'the cell "{self.name}" is led by {leader}',
            leader=None if leader == self.replica.me.instance else leader,
        )

    async def _serve_while_leading(self) -> None:
        """Create a home for the cell's programs in each term of leadership."""
        while True:
            while not self.replica.is_ready:
                await self.replica.wait_change()
            term = self.replica.term
            logger.info(
                'Became the leader of the cell; recovering its programs.',
                cell=self.name,
                term=term,
            )
            async with anyio.create_task_group() as tasks:
                log = ReplicatedLog(self.replica)
                home = self._make_home(self._state_machine.state, log, tasks)
                tasks.start_soon(self._expire_programs, home)
                tasks.start_soon(self._recover_home, home)
                while self.replica.is_ready and self.replica.term == term:
                    await self.replica.wait_change()
                self.home = None
                home.redirect_readers()
                tasks.cancel_scope.cancel()
            logger.info(
                'Lost leadership of the cell; stopped serving its programs.',
                cell=self.name,
            )

    async def _recover_home(self, home: Home) -> None:
        """Resume the running steps, then open the home for requests."""
        try:
            await home.recover()
        except CommitError:
            return
        self.home = home

    async def _expire_programs(self, home: Home) -> None:
        while True:
            await self._clock.sleep_ms(_EXPIRY_PERIOD_MS)
            try:
                await home.expire()
            except CommitError:
                return

    async def _maintain_membership(self) -> None:
        """Change the members towards the target while this replica leads."""
        while True:
            await self._clock.sleep_ms(_MEMBERSHIP_PERIOD_MS)
            if not self.replica.is_ready:
                continue
            change = await self._next_change()
            if change is None:
                continue
            logger.info(
                'Changing the members of the cell.',
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
            failed_since_ms=self._clock.now_ms() - _FAILURE_TIMEOUT_MS,
            spares=await self._find_spares(),
        )

    async def _find_spares(self) -> list[Member]:
        """Return reachable replicas that are not members, the preferred first.

        Returns none if the cell has all voters and no member has failed.
        """
        members = self.replica.members
        is_complete = len(members.voters) >= TARGET_VOTERS
        if is_complete and not self._has_failed_member(members):
            return []
        outside = [
            item.instance
            for item in self._locations
            if item.instance not in members.instances
        ]
        ordered = rank_spares(
            self.name, members.instances, outside, self._locations
        )
        spares = []
        for instance in ordered:
            member = await self.replica.probe_member(instance)
            if member is not None:
                spares.append(member)
        return spares

    def _has_failed_member(self, members: Members) -> bool:
        since_ms = self._clock.now_ms() - _FAILURE_TIMEOUT_MS
        return any(
            peer.last_contact_ms < since_ms
            for instance, peer in self.replica.progress.peers.items()
            if instance in members.instances
        )
