"""One replica of a log: follower, candidate or leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.election import Election
from acaciaramp.replication.errors import NotLeaderError, PeerError
from acaciaramp.replication.following import Following
from acaciaramp.replication.leading import Leading
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
    """One replica of a log."""

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
        """Create the replica from what its store holds.

        Args:
            me: This replica.
            initial_members: The members where the store holds none.
            store: Keeps what must not be forgotten.
            state_machine: The state that commands change.
            send: Sends a request; raises ``PeerError`` if no reply comes.
            clock: Source of time.
            rng: Spreads the elections.
            timing: Times.
        """
        request = with_timeout(send, clock, timing.request_ms)
        self._state = ReplicaState(
            me, initial_members, store, state_machine, clock, timing
        )
        self._election = Election(self._state, request, rng)
        self._following = Following(self._state)
        self._leading = Leading(self._state, request)
        self._request = request

    @property
    def me(self) -> Member:
        """This replica."""
        return self._state.me

    @property
    def role(self) -> Role:
        """What it does."""
        return self._state.role

    @property
    def term(self) -> int:
        """The newest term that it has seen."""
        return self._state.term

    @property
    def leader(self) -> InstanceId | None:
        """The leader of that term, if it is known."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """Its entries."""
        return self._state.log

    @property
    def commit(self) -> int:
        """Index up to which entries are committed here."""
        return self._state.commit

    @property
    def members(self) -> Members:
        """The newest members in the log."""
        return self._state.log.members()

    @property
    def progress(self) -> Progress:
        """What this replica, as the leader, knows of the others."""
        return self._leading.progress

    @property
    def is_ready(self) -> bool:
        """Whether it leads and has applied all that earlier leaders did."""
        return self._leading.is_ready

    @property
    def leader_contact_ms(self) -> int:
        """When a leader was last heard, on the replica's own clock."""
        return self._state.heard_ms

    @property
    def is_caught_up(self) -> bool:
        """Whether it has applied all that it knows to be committed."""
        state = self._state
        if self.is_ready:
            return True
        is_following = state.leader not in {None, state.me.instance}
        return is_following and state.commit >= state.known_commit

    @property
    def can_transfer_leadership(self) -> bool:
        """Whether it leads and another voter could lead in its place."""
        return self.role is Role.LEADER and len(self.members.voters) > 1

    def has_lease(self) -> bool:
        """Return whether no other leader can exist now."""
        state = self._state
        since_ms = state.clock.now_ms() - state.timing.election_ms
        return self.is_ready and self.progress.heard_from_majority(
            self.members, since_ms
        )

    def is_fully_replicated(self, voters: int) -> bool:
        """Return whether that many voters have all that is committed."""
        members = self.members
        is_settled = self._is_settled() and not members.learners
        return (
            is_settled
            and len(members.voters) >= voters
            and self.progress.is_replicated_to_all(members, self.commit)
        )

    def bootstrap(self, members: Members) -> None:
        """Give a replica without memory its first members.

        Only for a log that has never existed.
        """
        if self.log.last_index == 0:
            self._state.install(msgs.Snapshot(0, 0, members))
            self._election.stand_now()

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            await self._election.wait_for_silence()
            if not await self._election.stand():
                continue
            if await self._leading.lead():
                self._election.skip_wait()

    async def wait_change(self) -> None:
        """Return when entries, commit or role have changed."""
        await self._state.wait_change()

    async def propose(self, payload: bytes) -> object:
        """Return what applying a command gave, once it is committed.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: It may or may not be committed later.
        """
        return await self._leading.propose(msgs.EntryKind.COMMAND, payload)

    async def change_members(self, members: Members) -> None:
        """Replace the members by others that differ in one replica.

        Raises:
            NotLeaderError: The replica does not lead, or an earlier change is
                not committed yet.
            LeadershipLostError: It may or may not be committed later.
        """
        if not self.is_ready or not self._is_settled():
            raise NotLeaderError(self.leader)
        await self._leading.propose(msgs.EntryKind.MEMBERS, _encode(members))

    async def transfer_leadership(self) -> None:
        """Ask the replica that has most to lead in place of this one.

        When this returns another one leads, or this one goes on.
        """
        if not self.can_transfer_leadership:
            return
        others = [item for item in self.members.voters if item != self.me]
        best = max(others, key=self.progress.match_index_of)
        self._leading.is_handing_over = True
        self._state.notify()
        try:
            await self._request(best.instance, msgs.HandoverRequest(self.term))
            await self._wait_relieved()
        except (PeerError, TimeoutError):
            logger.warning(
                'Nobody has taken leadership over.',
                asked=best.instance,
                term=self.term,
            )
            self._leading.is_handing_over = False

    async def probe_member(self, instance: InstanceId) -> Member | None:
        """Return the replica at an instance outside the members, if it is up.

        It answers a message that fits no log.
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
        """Answer a request of another replica.

        Raises:
            OSError: The disk failed.
        """
        match req:
            case msgs.VoteRequest():
                return await self._election.on_vote(req)
            case msgs.AppendRequest():
                return await self._following.on_append(req)
            case msgs.SnapshotPart():
                return await self._following.on_snapshot(req)
            case msgs.HandoverRequest():
                self._election.stand_now()
                return self._following.mismatch(0)

    async def _wait_relieved(self) -> None:
        """Return once this replica leads no more.

        Raises:
            TimeoutError: The replica that was asked to does not lead.
        """
        state = self._state
        with state.clock.timeout(state.timing.election_ms):
            while state.role is Role.LEADER:
                await state.wait_change()

    def _is_settled(self) -> bool:
        """Return whether the newest members are committed."""
        return self.log.members_entry()[0] <= self.commit
