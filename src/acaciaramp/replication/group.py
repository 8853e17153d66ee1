"""A replicated log that keeps itself at strength among known instances."""

from __future__ import annotations

import contextlib
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

# Often enough to replace a voter well within the time to catch up.
_PERIOD_MS = 200
# Longer than an election, so that a leader change makes nobody look dead.
_DEAD_AFTER_MS = 2_000
_DISK_RETRY_MS = 500


class Group:
    """One instance's replica, and the changes of members when it leads.

    A group tolerates ``tolerated`` instances that lose their disks while all
    others lose power: it has ``2 * tolerated + 1`` voters, and serves only
    while their majority is more than ``tolerated``.

    Attributes:
        replica: The replica here.
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
    ) -> None:
        """Create the replica from what its store holds.

        Args:
            me: The replica here.
            store: Keeps what must not be forgotten.
            state_machine: The state that commands change.
            send: Sends a request to another replica.
            clock: Source of time.
            timing: Times of the replicated log.
            tolerated_disk_losses: Disks that may be lost at once.
            eligible: Returns instances that could take part.
            retiring: Returns instances that have to be replaced.
        """
        self._clock = clock
        self._store = store
        self._tolerated = tolerated_disk_losses
        self._candidates = eligible
        self._retiring = retiring
        self._strength = 2 * tolerated_disk_losses + 1
        self._earlier_commit: int | None = None
        self._failure: Exception | None = None
        self._failed = anyio.Event()
        self.replica = Replica(
            me=me,
            initial_members=Members(()),
            store=store,
            state_machine=state_machine,
            send=send,
            clock=clock,
            rng=random.Random(),
            timing=timing,
        )

    @property
    def me(self) -> Member:
        """The replica here."""
        return self.replica.me

    @property
    def is_serving(self) -> bool:
        """Whether it leads a group that loses nothing that it accepts."""
        majority = self.replica.members.majority
        return self.replica.is_ready and majority > self._tolerated

    def bootstrap(self) -> None:
        """Begin a log that has never existed, with this replica alone."""
        logger.info('The log begins here.', member=self.me.instance)
        self.replica.bootstrap(Members((self.me,)))

    async def run(self) -> None:
        """Take part until cancelled.

        Raises:
            OSError: The disk has failed and is usable again, so that the
                process can begin anew with what lasts.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_on_failure, tasks.cancel_scope)
                await self.replica.run()
        except* OSError as group:
            self._fail(group)
        while not self._store.is_writable():
            await self._clock.sleep_ms(_DISK_RETRY_MS)
        raise OSError('the disk failed') from self._failure

    async def propose(self, payload: bytes) -> object:
        """Return what applying a command gave, once it lasts.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: It may or may not be committed later.
        """
        if not self.is_serving:
            raise NotLeaderError(self._other_leader())
        try:
            return await self.replica.propose(payload)
        except OSError as exc:
            self._fail(exc)
            raise NotLeaderError(None) from None

    async def propose_for_caller(self, payload: bytes) -> object:
        """Return what applying a command gave, once it lasts.

        Raises:
            CallError: Another replica leads, or none does; the verdict tells
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
        """Replace members that failed or have to leave, while it leads."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            if not self.replica.is_ready:
                self._earlier_commit = None
                continue
            change = await self._next_change()
            self._earlier_commit = self.replica.commit
            if change is not None:
                await self._change(change)

    async def handle(self, req: msgs.Request) -> msgs.Reply:
        """Answer a request of another replica.

        Raises:
            OSError: The disk failed; ``run`` ends.
        """
        if self._failure is not None:
            raise OSError('the disk failed') from self._failure
        try:
            return await self.replica.handle(req)
        except OSError as exc:
            self._fail(exc)
            raise

    def _fail(self, exc: Exception) -> None:
        """Take no part any more: memory may be ahead of the disk."""
        if self._failure is None:
            logger.error('The disk failed.', error=exc, member=self.me.instance)
            self._failure = exc
            self._failed.set()

    async def _cancel_on_failure(self, scope: anyio.CancelScope) -> None:
        await self._failed.wait()
        scope.cancel()

    async def _next_change(self) -> Members | None:
        replica = self.replica
        # Under load a learner that is far away never has all that is committed
        # now; it has caught up once it has all that was a period ago.
        commit = self._earlier_commit
        if commit is None:
            commit = replica.commit
        return next_membership_change(
            replica.members,
            replica.progress,
            me=self.me,
            commit=commit,
            dead_since_ms=self._clock.now_ms() - _DEAD_AFTER_MS,
            spares=await self._spares(),
            target_voters=self._strength,
            retiring=self._retiring(),
        )

    async def _change(self, members: Members) -> None:
        logger.info(
            'The members are to change.',
            voters=[item.instance for item in members.voters],
            learners=[item.instance for item in members.learners],
            term=self.replica.term,
        )
        with contextlib.suppress(NotLeaderError, LeadershipLostError):
            await self.replica.change_members(members)

    async def _spares(self) -> list[Member]:
        members = self.replica.members.instances
        retiring = self._retiring()
        found = [
            await self.replica.probe_member(instance)
            for instance in sorted(self._candidates())
            if instance not in members and instance not in retiring
        ]
        return [member for member in found if member is not None]

    def _other_leader(self) -> InstanceId | None:
        leader = self.replica.leader
        return None if leader == self.me.instance else leader
