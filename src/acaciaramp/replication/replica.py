"""One replica of a log: follower, candidate or leader."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import anyio
import msgspec

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import (
    LeadershipLostError,
    NotLeaderError,
    PeerError,
)
from acaciaramp.replication.log import Log
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.progress import Peer, Progress
from acaciaramp.replication.store import Vote
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.store import Store

logger = get_logger('replication')

Send = Callable[['InstanceId', msgs.Request], Awaitable[msgs.Reply]]

PART_BYTES = 1_048_576
_encode = msgspec.msgpack.Encoder().encode


class Role(enum.Enum):
    """What a replica does."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a replicated log, in milliseconds.

    Attributes:
        heartbeat_ms: Between two messages of a leader.
        election_ms: Silence after which a follower may stand; the longest is
            twice as long.
        request_ms: Longest wait for an answer.
        full_wait_ms: How long a commit waits for the last replica.
        compact_entries: Entries behind the snapshot that make a new one due.
    """

    heartbeat_ms: int = 150
    election_ms: int = 1_000
    request_ms: int = 1_000
    full_wait_ms: int = 50
    compact_entries: int = 2_000


class Machine(Protocol):
    """The state that the log's commands change."""

    def apply(self, payload: bytes) -> object:
        """Apply a command; the result goes to its proposer."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state; empty bytes mean the first state."""
        ...


class Replica:
    """One replica of a log.

    Attributes:
        me: This replica.
        role: What it does.
        term: The newest term that it has seen.
        leader: The leader of that term, if it is known.
        log: Its entries.
        commit: Index up to which entries are committed here.
    """

    def __init__(
        self,
        *,
        me: Member,
        first: Members,
        store: Store,
        machine: Machine,
        send: Send,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
    ) -> None:
        """Create the replica from what its store holds.

        Args:
            me: This replica.
            first: The members where the store holds none.
            store: Keeps what must not be forgotten.
            machine: The state that commands change.
            send: Sends a request; raises ``PeerError`` if no reply comes.
            clock: Source of time.
            rng: Spreads the elections.
            timing: Times.
        """
        stored = store.load()
        snapshot = stored.snapshot or msgs.Snapshot(0, 0, first)
        self.me = me
        self.role = Role.FOLLOWER
        self.term = stored.vote.term
        self.leader: InstanceId | None = None
        self.log = Log(snapshot, stored.entries)
        self.commit = snapshot.index
        self._vote = stored.vote.candidate
        self._store = store
        self._machine = machine
        self._send = send
        self._clock = clock
        self._rng = rng
        self._timing = timing
        self._heard_ms = clock.now_ms()
        self._timer_ms = clock.now_ms()
        self._is_handing_over = False
        self._progress = Progress(me)
        self._pending: dict[int, _Proposal] = {}
        self._changed = anyio.Event()
        self._leading: TaskGroup | None = None
        self._first_of_term = 0
        self._parts = bytearray()
        self._stand_now = anyio.Event()
        if snapshot.state:
            machine.restore(snapshot.state)

    @property
    def members(self) -> Members:
        """The newest members in the log."""
        return self.log.members()

    @property
    def progress(self) -> Progress:
        """What this replica, as the leader, knows of the others."""
        return self._progress

    @property
    def is_ready(self) -> bool:
        """Whether it leads and has applied all that earlier leaders did."""
        is_leader = self.role is Role.LEADER and not self._is_handing_over
        return is_leader and self.commit >= self._first_of_term

    @property
    def is_leading(self) -> bool:
        """Whether it leads, ready or not."""
        return self.role is Role.LEADER

    def form(self, members: Members) -> None:
        """Give a replica without memory its first members.

        Only for a log that has never existed.
        """
        if self.log.last_index == 0:
            self.log.snapshot = msgs.Snapshot(0, 0, members)
            self._store.save_snapshot(self.log.snapshot, [])
            self._stand_now.set()

    def has_lease(self) -> bool:
        """Return whether no other leader can exist now."""
        since_ms = self._clock.now_ms() - self._timing.election_ms
        return self.is_ready and self._progress.heard_from_majority(
            self.members, since_ms
        )

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            await self._wait_for_silence()
            if await self._stand():
                await self._lead()

    async def propose(
        self, payload: bytes, kind: msgs.EntryKind = msgs.EntryKind.COMMAND
    ) -> object:
        """Return what applying a command gave, once it is committed.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: It may or may not be committed later.
        """
        is_leader = self.role is Role.LEADER and not self._is_handing_over
        if not is_leader or self._leading is None:
            raise NotLeaderError(self.leader)
        proposal = _Proposal(self.term)
        index = self.log.last_index + 1
        self._pending[index] = proposal
        self._append_own(msgs.Entry(self.term, kind, payload))
        result = await proposal.wait()
        await self._wait_for_all(index)
        return result

    async def change_members(self, members: Members) -> None:
        """Replace the members by others that differ in one replica.

        Raises:
            NotLeaderError: The replica does not lead, or an earlier change is
                not committed yet.
            LeadershipLostError: It may or may not be committed later.
        """
        index, _ = self.log.members_entry()
        if not self.is_ready or index > self.commit:
            raise NotLeaderError(self.leader)
        await self.propose(_encode(members), msgs.EntryKind.MEMBERS)

    @property
    def can_hand_over(self) -> bool:
        """Whether it leads and another voter could lead in its place."""
        return self.role is Role.LEADER and len(self.members.voters) > 1

    async def hand_over(self) -> None:
        """Ask the replica that has most to lead in place of this one."""
        others = [item for item in self.members.voters if item != self.me]
        if not self.can_hand_over:
            return
        best = max(others, key=self._progress.match_of)
        self._is_handing_over = True
        try:
            await self._request(best.instance, msgs.HandoverRequest(self.term))
        except PeerError:
            return

    async def probe(self, instance: InstanceId) -> Member | None:
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
            self._step_down(reply.term)
        return reply.replica if isinstance(reply, msgs.AppendReply) else None

    async def handle(self, req: msgs.Request) -> msgs.Reply:
        """Answer a request of another replica.

        Raises:
            OSError: The disk failed.
        """
        match req:
            case msgs.VoteRequest():
                return await self._on_vote(req)
            case msgs.AppendRequest():
                return await self._on_append(req)
            case msgs.SnapshotPart():
                return await self._on_snapshot(req)
            case msgs.HandoverRequest():
                self._stand_now.set()
                return self._mismatch(0)

    # Elections

    async def _wait_for_silence(self) -> None:
        """Return once this replica should stand for election."""
        spread_ms = self._rng.randint(0, self._timing.election_ms)
        limit_ms = self._timing.election_ms + spread_ms
        while True:
            left_ms = self._timer_ms + limit_ms - self._clock.now_ms()
            if left_ms <= 0:
                self._timer_ms = self._clock.now_ms()
                if self._is_voter():
                    return
                continue
            try:
                with self._clock.timeout(left_ms):
                    await self._stand_now.wait()
            except TimeoutError:
                continue
            if self._is_voter():
                return
            self._stand_now = anyio.Event()

    def _is_voter(self) -> bool:
        return self.me in self.members.voters

    async def _stand(self) -> bool:
        """Stand for election; return whether it was won."""
        is_handover = self._stand_now.is_set()
        self._stand_now = anyio.Event()
        if not is_handover and not await self._gather(is_pre_vote=True):
            return False
        self.role = Role.CANDIDATE
        self.leader = None
        self._set_term(self.term + 1, self.me.instance)
        term = self.term
        await self._store.sync()
        if self.term != term or self.role is not Role.CANDIDATE:
            return False
        is_won = await self._gather(is_pre_vote=False, is_handover=is_handover)
        if self.term != term or self.role is not Role.CANDIDATE:
            return False
        if not is_won:
            self.role = Role.FOLLOWER
        return is_won

    async def _gather(
        self, *, is_pre_vote: bool, is_handover: bool = False
    ) -> bool:
        """Ask all voters; return whether a majority voted for this one."""
        members = self.members
        req = msgs.VoteRequest(
            term=self.term + is_pre_vote,
            candidate=self.me.instance,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            is_pre_vote=is_pre_vote,
            is_handover=is_handover,
        )
        granted = {self.me}

        async def ask(voter: Member) -> None:
            try:
                reply = await self._request(voter.instance, req)
            except PeerError:
                return
            if reply.term > self.term:
                self._step_down(reply.term)
                tasks.cancel_scope.cancel()
            elif isinstance(reply, msgs.VoteReply) and reply.is_granted:
                if reply.voter == voter:
                    granted.add(voter)
            if len(granted) >= members.majority:
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for voter in members.voters:
                if voter != self.me:
                    tasks.start_soon(ask, voter)
        return len(granted) >= members.majority

    async def _on_vote(self, req: msgs.VoteRequest) -> msgs.VoteReply:
        is_fresh = req.last_term, req.last_index
        is_up_to_date = is_fresh >= (self.log.last_term, self.log.last_index)
        if req.term < self.term or self._has_leader(req):
            return self._vote_reply(is_granted=False)
        if req.is_pre_vote:
            return self._vote_reply(
                is_granted=is_up_to_date and req.term > self.term
            )
        if req.term > self.term:
            self._step_down(req.term)
        is_free = self._vote in {None, req.candidate}
        if not is_free or not is_up_to_date:
            await self._store.sync()
            return self._vote_reply(is_granted=False)
        self._set_term(self.term, req.candidate)
        self._timer_ms = self._clock.now_ms()
        await self._store.sync()
        return self._vote_reply(is_granted=self.term == req.term)

    def _has_leader(self, req: msgs.VoteRequest) -> bool:
        """Return whether a leader may be alive, so that no vote is given.

        A replica that has just started may have heard a leader before.
        """
        if req.is_handover:
            return False
        if self.leader == self.me.instance:
            return True
        silence_ms = self._clock.now_ms() - self._heard_ms
        return silence_ms < self._timing.election_ms

    def _vote_reply(self, *, is_granted: bool) -> msgs.VoteReply:
        return msgs.VoteReply(self.term, self.me, is_granted)

    def _set_term(self, term: int, vote: InstanceId | None) -> None:
        if (term, vote) != (self.term, self._vote):
            self.term = term
            self._vote = vote
            self._store.save_vote(Vote(term, vote))

    def _step_down(self, term: int, leader: InstanceId | None = None) -> None:
        """Follow, in a term at least as new as the one before."""
        if term > self.term:
            self._set_term(term, None)
        if self.role is Role.LEADER:
            logger.info(
                'Leadership was lost.', instance=self.me.instance, term=term
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        if self._leading is not None:
            self._leading.cancel_scope.cancel()
            self._leading = None
        for proposal in self._pending.values():
            proposal.lose()
        self._pending.clear()
        self._notify()

    # Following

    async def _on_append(self, req: msgs.AppendRequest) -> msgs.AppendReply:
        if req.term < self.term:
            return self._mismatch(0)
        self._follow(req.term, req.leader)
        if req.previous_index > self.log.last_index:
            return self._mismatch(self.log.last_index + 1)
        known = self.log.term_at(req.previous_index)
        is_compacted = req.previous_index < self.log.snapshot.index
        if not is_compacted and known != req.previous_term:
            return self._mismatch(self._first_of(known, req.previous_index))
        self._take_entries(req.previous_index + 1, req.entries)
        match = req.previous_index + len(req.entries)
        await self._store.sync()
        if self.term != req.term:
            return self._mismatch(0)
        self._advance(min(req.commit, match))
        return msgs.AppendReply(self.term, self.me, True, match)

    def _follow(self, term: int, leader: InstanceId) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._step_down(term, leader)
        self.leader = leader
        self._heard_ms = self._clock.now_ms()
        self._timer_ms = self._heard_ms

    def _mismatch(self, index: int) -> msgs.AppendReply:
        return msgs.AppendReply(self.term, self.me, False, index)

    def _first_of(self, term: int | None, index: int) -> int:
        """Return the first index of a run of entries of one term."""
        while index > self.commit + 1 and self.log.term_at(index - 1) == term:
            index -= 1
        return index

    def _take_entries(self, first: int, entries: list[msgs.Entry]) -> None:
        for offset, entry in enumerate(entries):
            index = first + offset
            if index <= self.log.snapshot.index:
                continue
            known = self.log.term_at(index)
            if known == entry.term:
                continue
            if known is not None:
                self.log.truncate(index)
            rest = entries[offset:]
            self.log.append(rest)
            self._store.append(index, rest)
            return

    async def _on_snapshot(self, req: msgs.SnapshotPart) -> msgs.AppendReply:
        if req.term < self.term:
            return self._mismatch(0)
        self._follow(req.term, req.leader)
        if req.index <= self.commit:
            return msgs.AppendReply(self.term, self.me, True, self.commit)
        if req.offset == 0:
            self._parts = bytearray()
        if req.offset != len(self._parts):
            return self._mismatch(0)
        self._parts += req.part
        if len(self._parts) < req.size:
            return self._mismatch(req.offset + len(req.part))
        whole = bytes(self._parts)
        self._parts = bytearray()
        if zlib.crc32(whole) != req.checksum:
            logger.warning('A snapshot was damaged on its way.')
            return self._mismatch(0)
        self._install(msgspec.msgpack.decode(whole, type=msgs.Snapshot))
        await self._store.sync()
        if self.term != req.term:
            return self._mismatch(0)
        return msgs.AppendReply(self.term, self.me, True, req.index)

    def _install(self, snapshot: msgs.Snapshot) -> None:
        self._machine.restore(snapshot.state)
        self.log.replace(snapshot)
        self.commit = snapshot.index
        self._store.save_snapshot(snapshot, self.log.rest(snapshot.index + 1))

    # Applying

    def _advance(self, commit: int) -> None:
        """Apply entries up to ``commit``."""
        while self.commit < min(commit, self.log.last_index):
            self.commit += 1
            entry = self.log.entry(self.commit)
            result: object = None
            if entry.kind is msgs.EntryKind.COMMAND:
                result = self._machine.apply(entry.payload)
            proposal = self._pending.pop(self.commit, None)
            if proposal is not None:
                proposal.resolve(entry.term, result)
        self._compact_if_due()
        self._notify()

    def _compact_if_due(self) -> None:
        behind = self.commit - self.log.snapshot.index
        if behind < self._timing.compact_entries:
            return
        term = self.log.term_at(self.commit)
        snapshot = msgs.Snapshot(
            self.commit,
            term or 0,
            self.log.members(self.commit),
            self._machine.snapshot(),
        )
        self.log.replace(snapshot)
        self._store.save_snapshot(snapshot, self.log.rest(self.commit + 1))

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Return when entries, commit or role have changed."""
        await self._changed.wait()

    # Leading

    async def _lead(self) -> None:
        logger.info(
            'Leadership was won.', instance=self.me.instance, term=self.term
        )
        self.role = Role.LEADER
        self.leader = self.me.instance
        self._progress = Progress(self.me)
        self._first_of_term = self.log.last_index + 1
        self._is_handing_over = False
        async with anyio.create_task_group() as tasks:
            self._leading = tasks
            self._append_own(msgs.Entry(self.term, msgs.EntryKind.NOTHING))
            tasks.start_soon(self._check_quorum)
        self._timer_ms = self._clock.now_ms()

    def _append_own(self, entry: msgs.Entry) -> None:
        self.log.append([entry])
        self._store.append(self.log.last_index, [entry])
        self._start_peers()
        if self._leading is not None:
            self._leading.start_soon(
                self._sync_own, self.term, self.log.last_index
            )
        self._notify()

    async def _sync_own(self, term: int, index: int) -> None:
        await self._store.sync()
        if self.term == term and self.role is Role.LEADER:
            self._progress.own_index = max(self._progress.own_index, index)
            self._commit_majority()

    def _start_peers(self) -> None:
        for instance in self.members.instances:
            is_known = instance in self._progress.peers
            if is_known or instance == self.me.instance:
                continue
            peer = Peer(self.log.last_index, self._clock.now_ms())
            self._progress.peers[instance] = peer
            if self._leading is not None:
                self._leading.start_soon(self._replicate, instance, peer)

    def _commit_majority(self) -> None:
        index = self._progress.majority_index(self.members)
        if index > self.commit and self.log.term_at(index) == self.term:
            self._advance(index)
            if not self._is_voter() and self.members_committed():
                self._step_down(self.term)

    def members_committed(self) -> bool:
        """Return whether the newest members are committed."""
        return self.log.members_entry()[0] <= self.commit

    async def _check_quorum(self) -> None:
        """Step down when a majority has been silent for too long."""
        while True:
            await self._clock.sleep_ms(self._timing.heartbeat_ms)
            since_ms = self._clock.now_ms() - 2 * self._timing.election_ms
            if not self._progress.heard_from_majority(self.members, since_ms):
                self._step_down(self.term)
                return

    async def _replicate(self, instance: InstanceId, peer: Peer) -> None:
        """Bring one replica up to date for as long as this one leads."""
        while instance in self.members.instances:
            sent_ms = self._clock.now_ms()
            term = self.term
            try:
                reply = await self._request(instance, self._next_request(peer))
            except PeerError:
                await self._clock.sleep_ms(self._timing.heartbeat_ms)
                continue
            if reply.term > self.term:
                self._step_down(reply.term)
                return
            if self.term != term or not isinstance(reply, msgs.AppendReply):
                return
            self._take_reply(peer, reply, sent_ms)
            await self._wait_for_entries(peer)
        self._progress.peers.pop(instance, None)

    def _next_request(
        self, peer: Peer
    ) -> msgs.AppendRequest | msgs.SnapshotPart:
        previous = peer.next_index - 1
        if previous < self.log.snapshot.index:
            return self._snapshot_part(peer)
        return msgs.AppendRequest(
            term=self.term,
            leader=self.me.instance,
            previous_index=previous,
            previous_term=self.log.term_at(previous) or 0,
            entries=self.log.batch(peer.next_index),
            commit=self.commit,
        )

    def _snapshot_part(self, peer: Peer) -> msgs.SnapshotPart:
        whole = peer.encoded_snapshot(self.log.snapshot)
        offset = peer.snapshot_offset
        return msgs.SnapshotPart(
            term=self.term,
            leader=self.me.instance,
            index=self.log.snapshot.index,
            checksum=zlib.crc32(whole),
            offset=offset,
            size=len(whole),
            part=whole[offset : offset + PART_BYTES],
        )

    def _take_reply(
        self, peer: Peer, reply: msgs.AppendReply, sent_ms: int
    ) -> None:
        peer.heard_ms = max(peer.heard_ms, sent_ms)
        if peer.replica != reply.replica:
            peer.replica = reply.replica
            peer.match_index = 0
        if reply.is_matching:
            peer.match_index = max(peer.match_index, reply.index)
            peer.next_index = peer.match_index + 1
            peer.forget_snapshot()
            if peer.match_index >= self.commit:
                peer.is_lagging = False
            self._commit_majority()
            self._notify()
        elif peer.next_index <= self.log.snapshot.index:
            peer.snapshot_offset = reply.index
        else:
            peer.next_index = max(1, min(reply.index, peer.next_index - 1))

    async def _wait_for_entries(self, peer: Peer) -> None:
        """Return when there is something to send, or a heartbeat is due."""
        if peer.next_index <= self.log.last_index:
            return
        try:
            with self._clock.timeout(self._timing.heartbeat_ms):
                while peer.next_index > self.log.last_index:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _wait_for_all(self, index: int) -> None:
        """Wait a bounded time until every voter has an entry."""
        try:
            with self._clock.timeout(self._timing.full_wait_ms):
                while self.role is Role.LEADER:
                    if self._progress.is_held_by_all(self.members, index):
                        return
                    await self._changed.wait()
        except TimeoutError:
            self._progress.mark_lagging(self.members, index)

    async def _request(
        self, instance: InstanceId, req: msgs.Request
    ) -> msgs.Reply:
        try:
            with self._clock.timeout(self._timing.request_ms):
                return await self._send(instance, req)
        except TimeoutError:
            raise PeerError(f'{instance} does not answer') from None


class _Proposal:
    """A command that waits to be committed."""

    def __init__(self, term: int) -> None:
        self._term = term
        self._result: object = None
        self._is_lost = False
        self._done = anyio.Event()

    def resolve(self, term: int, result: object) -> None:
        """Take the result, if it is that of this proposal."""
        self._result = result
        self._is_lost = term != self._term
        self._done.set()

    def lose(self) -> None:
        """Give up."""
        self._is_lost = True
        self._done.set()

    async def wait(self) -> object:
        """Return the result."""
        await self._done.wait()
        if self._is_lost:
            raise LeadershipLostError('leadership was lost')
        return self._result
