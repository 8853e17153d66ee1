"""One replica of a replicated log, as follower, candidate or leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.election import Election
from acaciaramp.replication.errors import NotLeaderError, PeerError
from acaciaramp.replication.follower import Follower
from acaciaramp.replication.leader import Leader
from acaciaramp.replication.requests import with_timeout
from acaciaramp.replication.state import ReplicaState, Role
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.log import Log
    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.progress import Progress
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.state import StateMachine
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('replication')

_encode = msgspec.msgpack.Encoder().encode


class Replica:
    """One replica of a log, which follows, campaigns or leads."""

    def __init__(
        self,
        *,
        me: Member,
        initial_members: Members,
        store: Store,
        state_machine: StateMachine,
        send: Send,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
    ) -> None:
        """Load the replica from its store.

        Args:
            me: This replica.
            initial_members: Membership if the store has no snapshot.
            store: Stable storage.
            state_machine: State that the commands change.
            send: Sends a request; raises ``PeerError`` if no reply comes.
            clock: Source of time.
            rng: Randomizes the election timeout.
            timing: Timeouts and intervals.
        """
        request = with_timeout(send, clock, timing.request_ms)
        self._state = ReplicaState(
            me, initial_members, store, state_machine, clock, timing
        )
        self._election = Election(self._state, request, rng)
        self._follower = Follower(self._state)
        self._leader = Leader(self._state, request)
        self._request = request

    @property
    def me(self) -> Member:
        """This replica."""
        return self._state.me

    @property
    def role(self) -> Role:
        """Its role in the current term."""
        return self._state.role

    @property
    def term(self) -> int:
        """The current term: the latest one that it has seen."""
        return self._state.term

    @property
    def leader(self) -> InstanceId | None:
        """The leader of that term, None if unknown."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """Its snapshot and entries."""
        return self._state.log

    @property
    def commit(self) -> int:
        """Index of the last entry that is committed and applied here."""
        return self._state.commit

    @property
    def members(self) -> Members:
        """The latest membership in the log, committed or not."""
        return self._state.log.members()

    @property
    def progress(self) -> Progress:
        """Replication progress of the others, as tracked while it leads."""
        return self._leader.progress

    @property
    def is_ready(self) -> bool:
        """Whether it leads and has applied all entries of earlier terms.

        It is false during a leadership transfer.
        """
        return self._leader.is_ready

    @property
    def leader_contact_ms(self) -> int:
        """When the last message of a leader came, on the replica's clock."""
        return self._state.leader_contact_ms

    @property
    def is_caught_up(self) -> bool:
        """Whether it has applied all entries that it knows to be committed.

        It is false while no leader is known.
        """
        state = self._state
        if self.is_ready:
            return True
        is_following = state.leader not in {None, state.me.instance}
        return is_following and state.commit >= state.leader_commit

    @property
    def can_transfer_leadership(self) -> bool:
        """Whether it leads and there is another voter."""
        return self.role is Role.LEADER and len(self.members.voters) > 1

    def has_lease(self) -> bool:
        """Return whether it holds the leader lease.

        A majority that has replied within the election timeout grants its votes
        to no other candidate, so no other leader can exist.
        """
        state = self._state
        since_ms = state.clock.now_ms() - state.timing.election_ms
        return self.is_ready and self.progress.has_majority_contact(
            self.members, since_ms
        )

    def is_fully_replicated(self, voters: int) -> bool:
        """Return whether the membership is complete and up to date.

        It is if the latest membership is committed and has no learners and
        enough voters, and all voters that are not lagging have all committed
        entries.

        Args:
            voters: The least number of voters.
        """
        members = self.members
        is_stable = self._is_membership_committed() and not members.learners
        return (
            is_stable
            and len(members.voters) >= voters
            and self.progress.is_replicated_to_all(members, self.commit)
        )

    def bootstrap(self, members: Members) -> None:
        """Create the log with its first members and campaign at once.

        To be called on one replica of a log that has never existed; it has no
        effect on a log with entries.
        """
        if self.log.last_index == 0:
            self._state.install_snapshot(msgs.Snapshot(0, 0, members))
            self._election.campaign_now()

    async def run(self) -> None:
        """Follow, campaign and lead until cancelled."""
        while True:
            await self._election.wait_for_timeout()
            if not await self._election.campaign():
                continue
            if await self._leader.run():
                self._election.expire_timer()

    async def wait_change(self) -> None:
        """Return after the next change.

        Changes are those of entries, commit index, role and leader, and of the
        replication progress that a leader tracks.
        """
        await self._state.wait_change()

    async def propose(self, payload: bytes) -> object:
        """Propose a command and return its outcome once it is committed.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: The command may or may not be committed later.
        """
        return await self._leader.propose(msgs.EntryKind.COMMAND, payload)

    async def change_members(self, members: Members) -> None:
        """Change the membership by one replica.

        Args:
            members: The new membership; it adds, removes or promotes a single
                replica.

        Raises:
            NotLeaderError: The replica does not lead, or the previous change is
                not committed yet.
            LeadershipLostError: The change may or may not be committed later.
        """
        if not self.is_ready or not self._is_membership_committed():
            raise NotLeaderError(self.leader)
        await self._leader.propose(msgs.EntryKind.MEMBERS, _encode(members))

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date other voter.

        On return this replica has lost leadership, or goes on to lead if the
        other one was not elected within the election timeout.
        """
        if not self.can_transfer_leadership:
            return
        others = [voter for voter in self.members.voters if voter != self.me]
        successor = max(others, key=self.progress.match_index_of)
        self._leader.is_transferring = True
        self._state.notify_waiters()
        try:
            await self._request(
                successor.instance, msgs.HandoverRequest(self.term)
            )
            await self._wait_until_not_leading()
        except (PeerError, TimeoutError):
            logger.warning(
                'No voter took over leadership; this replica goes on leading.',
                asked=successor.instance,
                term=self.term,
            )
            self._leader.is_transferring = False

    async def fail_over(self) -> None:
        """Apply nothing more; ask another voter to lead if this replica led.

        To be called once ``run`` has ended, as the disk failed. The voters are
        asked one after another, the most up-to-date one first, until one
        replies. One that knows a later term ignores the request.
        """
        self._state.stop()
        if self._leader.term != self.term:
            return
        others = [voter for voter in self.members.voters if voter != self.me]
        others.sort(key=self.progress.match_index_of, reverse=True)
        for voter in others:
            try:
                await self._request(
                    voter.instance, msgs.HandoverRequest(self.term)
                )
            except PeerError:
                continue
            logger.info(
                'Asked another voter to take over leadership.',
                asked=voter.instance,
                term=self.term,
            )
            return

    async def probe_member(self, instance: InstanceId) -> Member | None:
        """Return the replica on an instance that is not a member.

        It is sent an append request that starts beyond the end of this log,
        and identifies itself in the reply. Returns None if it does not reply.
        """
        req = msgs.AppendRequest(
            term=self.term,
            leader=self.me.instance,
            previous_index=self.log.last_index + 1,
            previous_term=0,
            entries=[],
            commit=0,
        )
        try:
            reply = await self._request(instance, req)
        except PeerError:
            return None
        if reply.term > self.term:
            self._state.step_down(reply.term)
        return reply.replica if isinstance(reply, msgs.AppendReply) else None

    async def handle(self, req: msgs.Request) -> msgs.Reply:
        """Handle a request of another replica.

        Raises:
            OSError: The disk failed.
        """
        match req:
            case msgs.VoteRequest():
                return await self._election.on_vote(req)
            case msgs.AppendRequest():
                return await self._follower.on_append(req)
            case msgs.SnapshotPart():
                return await self._follower.on_snapshot(req)
            case msgs.HandoverRequest():
                # A delayed request of an earlier leader must not depose the
                # present one.
                if req.term == self.term:
                    self._election.campaign_now()
                return self._follower.mismatch(0)

    async def _wait_until_not_leading(self) -> None:
        """Return once this replica no longer leads.

        Raises:
            TimeoutError: It still leads after the election timeout.
        """
        state = self._state
        with state.clock.timeout(state.timing.election_ms):
            while state.role is Role.LEADER:
                await state.wait_change()

    def _is_membership_committed(self) -> bool:
        """Return whether the latest membership is committed."""
        return self.log.latest_members()[0] <= self.commit
