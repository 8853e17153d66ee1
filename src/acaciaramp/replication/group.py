"""A replicated log that maintains its own membership."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.replication.errors import LeadershipLostError, NotLeaderError
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.membership import next_membership_change
from acaciaramp.replication.replica import Replica
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.state import StateMachine
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('replication')

# Short compared with the time that a new voter takes to catch up.
_MEMBERSHIP_CHECK_MS = 200
# Longer than an election, so that no member looks failed after a change of
# leader.
_FAILED_AFTER_MS = 2_000
_DISK_RETRY_MS = 500


class Group:
    """One instance's replica, which changes the membership while it leads.

    With ``tolerated_disk_losses`` of n, no acknowledged entry is lost if n
    instances lose their disks while all others lose power: there are 2 * n + 1
    voters, and commands are accepted only while a majority of the voters is
    more than n.

    Attributes:
        replica: The replica on this instance.
    """

    def __init__(
        self,
        *,
        me: Member,
        store: Store,
        state_machine: StateMachine,
        send: Send,
        clock: Clock,
        timing: Timing,
        tolerated_disk_losses: int,
        eligible: Callable[[], Collection[InstanceId]],
        retiring: Callable[[], Collection[InstanceId]],
        target_voters: int | None = None,
    ) -> None:
        """Load the replica from its store.

        Args:
            me: The replica on this instance.
            store: Stable storage.
            state_machine: State that the commands change.
            send: Sends a request to another replica.
            clock: Source of time.
            timing: Timeouts and intervals of the replicated log.
            tolerated_disk_losses: Number of disks that may be lost at once.
            eligible: Returns the instances that may become members, in order
                of preference.
            retiring: Returns the instances whose replicas are to be replaced.
            target_voters: Number of voters to have if there are enough instances;
                None for as many as the tolerated losses need.
        """
        self._clock = clock
        self._store = store
        self._me = me
        self._state_machine = state_machine
        self._send = send
        self._timing = timing
        self._tolerated_disk_losses = tolerated_disk_losses
        self._eligible = eligible
        self._retiring = retiring
        self._target_voters = target_voters or 2 * tolerated_disk_losses + 1
        self._previous_commit: int | None = None
        self._failure: BaseException | None = None
        self._failed = anyio.Event()
        self.replica = self._load_replica()

    @property
    def me(self) -> Member:
        """The replica on this instance."""
        return self._me

    @property
    def is_serving(self) -> bool:
        """Whether it leads and enough voters exist to accept commands."""
        majority = self.replica.members.majority
        return self.replica.is_ready and majority > self._tolerated_disk_losses

    def bootstrap(self) -> None:
        """Create a log that has never existed, with this replica alone."""
        logger.info('Bootstrapping a new log.', member=self.me.instance)
        self.replica.bootstrap(Members((self.me,)))

    async def run(self) -> None:
        """Run the replica until cancelled.

        If the disk fails, another voter is asked to lead, and the replica is
        loaded again from what is stored once the disk takes writes.
        """
        while True:
            await self._run_until_failure()
            await self.replica.fail_over()
            await self._clock.sleep_ms(_DISK_RETRY_MS)
            while not self._is_reopened():
                await self._clock.sleep_ms(_DISK_RETRY_MS)

    async def propose(self, payload: bytes) -> object:
        """Propose a command and return its outcome once it is committed.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: The command may or may not be committed later.
        """
        replica = self.replica
        if not self.is_serving:
            raise NotLeaderError(self._other_leader())
        try:
            return await replica.propose(payload)
        except OSError as exc:
            self._record_disk_failure(replica, exc)
            raise LeadershipLostError('the disk failed') from None

    async def propose_for_caller(self, payload: bytes) -> object:
        """Propose a command as ``propose`` does, with errors for callers.

        Raises:
            CallError: Another replica leads, or none does; the verdict says
                whether the command may be committed later.
        """
        try:
            return await self.propose(payload)
        except NotLeaderError as exc:
            raise CallError(
                ErrorCode.NOT_LEADER, str(exc), leader=exc.leader
            ) from None
        except LeadershipLostError as exc:
            raise CallError(
                ErrorCode.NOT_LEADER, str(exc), Verdict.MAY_HAVE_RUN
            ) from None

    async def maintain_membership(self) -> None:
        """Restore the target number of voters whenever this replica leads.

        Failed and retiring members, and those that have lost their state, are
        replaced by eligible instances.
        """
        while True:
            await self._clock.sleep_ms(_MEMBERSHIP_CHECK_MS)
            if not self.replica.is_ready:
                self._previous_commit = None
                continue
            replica = self.replica
            try:
                await self._maintain_members(replica)
            except (NotLeaderError, LeadershipLostError) as exc:
                logger.info('The membership was not changed.', reason=exc)
            except OSError as exc:
                self._record_disk_failure(replica, exc)

    async def handle(self, req: msgs.Request) -> msgs.Reply:
        """Handle a request of another replica.

        Raises:
            OSError: The disk failed.
        """
        if self._failure is not None:
            raise OSError('the disk failed') from self._failure
        replica = self.replica
        try:
            return await replica.handle(req)
        except OSError as exc:
            self._record_disk_failure(replica, exc)
            raise

    def _load_replica(self) -> Replica:
        return Replica(
            me=self._me,
            initial_members=Members(()),
            store=self._store,
            state_machine=self._state_machine,
            send=self._send,
            clock=self._clock,
            rng=random.Random(),
            timing=self._timing,
        )

    async def _run_until_failure(self) -> None:
        replica = self.replica
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_on_failure, tasks.cancel_scope)
                await replica.run()
        except* OSError as excs:
            self._record_disk_failure(replica, _first_leaf(excs))

    def _is_reopened(self) -> bool:
        """Load the replica again; return whether the disk allows it."""
        if not self._store.is_writable():
            return False
        try:
            self._store = self._store.reopen()
        except OSError as exc:
            logger.warning('The disk failed again.', reason=exc)
            return False
        self._failure = None
        self._failed = anyio.Event()
        self._previous_commit = None
        self._state_machine.restore(b'')
        self.replica = self._load_replica()
        logger.info(
            'The disk takes writes again; the replica follows again.',
            member=self.me.instance,
            last_index=self.replica.log.last_index,
            term=self.replica.term,
        )
        return True

    def _record_disk_failure(
        self, replica: Replica, exc: BaseException
    ) -> None:
        """Stop a replica: its memory may be ahead of the disk.

        Requests to a replica that was stopped before may fail late.
        """
        if replica is self.replica and self._failure is None:
            logger.error(
                'The disk failed; the replica stops until it takes writes again.',
                error=exc,
                member=self.me.instance,
            )
            self._failure = exc
            self._failed.set()

    async def _cancel_on_failure(self, scope: anyio.CancelScope) -> None:
        await self._failed.wait()
        scope.cancel()

    async def _maintain_members(self, replica: Replica) -> None:
        """Change the membership if a change is due."""
        change = await self._next_change(replica)
        self._previous_commit = replica.commit
        if change is not None:
            await self._change_members(replica, change)

    async def _next_change(self, replica: Replica) -> Members | None:
        """Return the membership to change to, or None if no change is due."""
        # Under load a learner on a slow link never reaches the current commit
        # index; it has caught up once it has reached that of a period ago.
        commit = self._previous_commit
        if commit is None:
            commit = replica.commit
        return next_membership_change(
            replica.members,
            replica.progress,
            me=self.me,
            commit=commit,
            failed_since_ms=self._clock.now_ms() - _FAILED_AFTER_MS,
            spares=await self._probe_spares(replica),
            target_voters=self._target_voters,
            retiring=self._retiring(),
        )

    async def _change_members(self, replica: Replica, members: Members) -> None:
        logger.info(
            'Proposing a membership change.',
            voters=[item.instance for item in members.voters],
            learners=[item.instance for item in members.learners],
            term=replica.term,
        )
        await replica.change_members(members)

    async def _probe_spares(self, replica: Replica) -> list[Member]:
        """Return the replicas that reply and could become members."""
        members = replica.members.instances
        retiring = self._retiring()
        probed = [
            await replica.probe_member(instance)
            for instance in self._eligible()
            if instance not in members and instance not in retiring
        ]
        return [member for member in probed if member is not None]

    def _other_leader(self) -> InstanceId | None:
        leader = self.replica.leader
        return None if leader == self.me.instance else leader


def _first_leaf(excs: BaseException) -> BaseException:
    """Return the first exception in nested groups; a group hides its text."""
    while isinstance(excs, BaseExceptionGroup):
        excs = excs.exceptions[0]
    return excs
