"""Leader side of replication: proposes commands and replicates the log."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import NotLeaderError, PeerError
from acaciaramp.replication.progress import Peer, Progress
from acaciaramp.replication.state import Proposal, Role
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.requests import Send
    from acaciaramp.replication.state import ReplicaState

logger = get_logger('replication')

# A slow link between regions carries this much well within the timeout of a
# request.
_SNAPSHOT_PART_BYTES = 65_536
# Commands are committed within a few round trips and disk syncs.
_SLOW_COMMIT_MS = 200
_SLOW_COMMIT_LOG_PERIOD_MS = 1_000


class Leader:
    """Replicates the log while this replica leads.

    Attributes:
        progress: Replication progress of the other replicas.
        is_transferring: Whether a leadership transfer is under way, during
            which nothing is proposed.
        term: The last term in which this replica led; -1 if there is none.
    """

    def __init__(self, state: ReplicaState, request: Send) -> None:
        """Create the leader side of a replica.

        Args:
            state: The replica's state.
            request: Sends a request to another replica.
        """
        self.progress = Progress(state.me)
        self.is_transferring = False
        self.term = -1
        self._state = state
        self._request = request
        self._first_own_index = 0
        self._slow_commit_logged_ms = 0
        self._appended = anyio.Event()
        self._tasks: TaskGroup | None = None

    @property
    def is_ready(self) -> bool:
        """Whether it leads and has applied all entries of earlier terms.

        It is false during a leadership transfer.
        """
        state = self._state
        is_leader = state.role is Role.LEADER and not self.is_transferring
        return is_leader and state.commit >= self._first_own_index

    async def run(self) -> bool:
        """Lead until leadership is lost.

        Returns:
            Whether it was deposed, other than by a leadership transfer, by a
            later term that has no known leader: a candidate that campaigns too
            late deposes the leader without being elected itself.
        """
        state = self._state
        term = state.term
        self.term = term
        logger.info(
            'Leadership was won; replicating to the other members.',
            instance=state.me.instance,
            term=state.term,
        )
        state.role = Role.LEADER
        state.leader = state.me.instance
        self.progress = Progress(state.me)
        self.is_transferring = False
        self._appended = anyio.Event()
        self._first_own_index = state.log.last_index + 1
        try:
            await self._run_tasks()
        finally:
            # Pending proposals must complete when the task is cancelled.
            if state.role is Role.LEADER:
                state.step_down(state.term)
        state.election_timer_ms = state.clock.now_ms()
        is_deposed = state.term > term and state.leader is None
        return is_deposed and not self.is_transferring

    async def propose(self, kind: msgs.EntryKind, payload: bytes) -> object:
        """Append an entry, wait until it is applied and return the outcome.

        Once it is committed, this waits a bounded time until every voter has
        it, and marks the voters that lack it as lagging.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: The entry may or may not be committed later.
            OSError: The disk failed; the entry may or may not be on it.
        """
        state = self._state
        is_leader = state.role is Role.LEADER and not self.is_transferring
        if not is_leader or state.leader_scope is None:
            raise NotLeaderError(state.leader)
        proposal = Proposal(state.term, state.clock.now_ms())
        index = state.log.last_index + 1
        self._append(msgs.Entry(state.term, kind, payload))
        state.pending[index] = proposal
        outcome = await proposal.wait()
        if state.timing.full_wait_ms:
            await self._wait_for_full_replication(index)
        return outcome

    async def _run_tasks(self) -> None:
        state = self._state
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            state.leader_scope = tasks.cancel_scope
            self._append(msgs.Entry(state.term, msgs.EntryKind.NO_OP))
            tasks.start_soon(self._sync_log, state.term)
            tasks.start_soon(self._check_quorum)

    def _append(self, entry: msgs.Entry) -> None:
        state = self._state
        # What the disk refuses must not be replicated.
        state.store.append(state.log.last_index + 1, [entry])
        state.log.append([entry])
        self._start_replication()
        self._appended.set()
        state.notify_waiters()

    async def _sync_log(self, term: int) -> None:
        """Count the leader's own copy of entries once they are durable.

        All entries that are appended during one sync share the next one.
        """
        state = self._state
        while self._is_leading(term):
            await self._appended.wait()
            self._appended = anyio.Event()
            index = state.log.last_index
            await state.store.sync()
            if self._is_leading(term):
                self.progress.synced_index = index
                self._advance_commit()

    def _start_replication(self) -> None:
        """Start replication to the members that have none yet."""
        state = self._state
        for instance in state.log.members().instances:
            if instance == state.me.instance:
                continue
            if instance not in self.progress.peers and self._tasks is not None:
                peer = Peer(state.log.last_index, state.clock.now_ms())
                self.progress.peers[instance] = peer
                self._tasks.start_soon(self._replicate, instance, peer)

    def _advance_commit(self) -> None:
        """Commit the entries that a majority has stored.

        Step down if that commits the removal of this replica from the voters.
        """
        state = self._state
        index = self.progress.majority_index(state.log.members())
        # Entries of earlier terms are committed only by an entry of this term:
        # a majority of copies alone does not keep a later leader from
        # replacing them.
        if index <= state.commit or state.log.term_at(index) != state.term:
            return
        state.apply_committed(index)
        is_committed = state.log.latest_members()[0] <= state.commit
        if is_committed and not state.is_voter:
            state.step_down(state.term)

    async def _check_quorum(self) -> None:
        """Step down once no majority has replied for two election timeouts."""
        state = self._state
        while True:
            due_ms = state.clock.now_ms() + state.timing.heartbeat_ms
            await state.clock.sleep_ms(state.timing.heartbeat_ms)
            self._log_slow_commits(late_ms=state.clock.now_ms() - due_ms)
            since_ms = state.clock.now_ms() - 2 * state.timing.election_ms
            members = state.log.members()
            if not self.progress.has_majority_contact(members, since_ms):
                state.step_down(state.term)
                return

    def _log_slow_commits(self, late_ms: int) -> None:
        """Log what proposals wait for if the oldest one waits long.

        Args:
            late_ms: How late the caller's timer fired; tells a process without
                time on its processor from members that reply late.
        """
        state = self._state
        now_ms = state.clock.now_ms()
        oldest = next(iter(state.pending.values()), None)
        if oldest is None or now_ms - oldest.proposed_ms < _SLOW_COMMIT_MS:
            return
        if now_ms - self._slow_commit_logged_ms < _SLOW_COMMIT_LOG_PERIOD_MS:
            return
        self._slow_commit_logged_ms = now_ms
        last_index = state.log.last_index
        logger.warning(
            'Commands wait long for their commit.',
            instance=state.me.instance,
            pending=len(state.pending),
            waited_ms=now_ms - oldest.proposed_ms,
            late_ms=late_ms,
            unsynced=last_index - self.progress.synced_index,
            behind={
                instance: last_index - peer.match_index
                for instance, peer in self.progress.peers.items()
            },
        )

    async def _replicate(self, instance: InstanceId, peer: Peer) -> None:
        """Replicate the log to an instance while it is a member.

        It ends once this replica no longer leads in its present term.
        """
        state = self._state
        term = state.term
        # A leader that has just stepped down must send nothing in the new term.
        while self._is_leading(term) and self._is_member(instance):
            if await self._send_next(instance, peer):
                await self._wait_for_entries(peer)
            else:
                await state.clock.sleep_ms(state.timing.heartbeat_ms)
        self.progress.peers.pop(instance, None)
        self.progress.drop_unused_snapshot()

    def _is_leading(self, term: int) -> bool:
        state = self._state
        return state.role is Role.LEADER and state.term == term

    def _is_member(self, instance: InstanceId) -> bool:
        return instance in self._state.log.members().instances

    async def _send_next(self, instance: InstanceId, peer: Peer) -> bool:
        """Send the next request to a replica; return whether it replied."""
        state = self._state
        sent_ms = state.clock.now_ms()
        term = state.term
        req = self._next_request(instance, peer)
        try:
            reply = await self._request(instance, req)
        except PeerError:
            return False
        if reply.term > state.term:
            state.step_down(reply.term)
        elif state.term == term and isinstance(reply, msgs.AppendReply):
            peer.last_contact_ms = max(peer.last_contact_ms, sent_ms)
            self._on_reply(peer, req, reply)
        return True

    def _next_request(
        self, instance: InstanceId, peer: Peer
    ) -> msgs.AppendRequest | msgs.SnapshotPart:
        state = self._state
        previous_index = peer.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            return self._snapshot_part(instance, peer)
        return msgs.AppendRequest(
            term=state.term,
            leader=state.me.instance,
            previous_index=previous_index,
            previous_term=previous_term,
            entries=state.log.batch(peer.next_index),
            commit=state.commit,
        )

    def _snapshot_part(
        self, instance: InstanceId, peer: Peer
    ) -> msgs.SnapshotPart:
        state = self._state
        encoded = self.progress.encoded_snapshot(state.log.snapshot)
        if peer.snapshot_index != state.log.snapshot.index:
            peer.begin_snapshot(state.log.snapshot.index)
            logger.info(
                'A member lacks entries that are compacted; sending it a snapshot.',
                member=instance,
                next_index=peer.next_index,
                index=state.log.snapshot.index,
                size_bytes=len(encoded),
            )
        offset = peer.snapshot_offset
        return msgs.SnapshotPart(
            term=state.term,
            leader=state.me.instance,
            index=state.log.snapshot.index,
            checksum=zlib.crc32(encoded),
            offset=offset,
            size=len(encoded),
            part=encoded[offset : offset + _SNAPSHOT_PART_BYTES],
        )

    def _on_reply(
        self,
        peer: Peer,
        req: msgs.AppendRequest | msgs.SnapshotPart,
        reply: msgs.AppendReply,
    ) -> None:
        if peer.replica != reply.replica:
            peer.replica = reply.replica
            peer.match_index = 0
        if reply.is_matching:
            self._record_match(peer, reply.index)
        elif isinstance(req, msgs.SnapshotPart):
            peer.snapshot_offset = reply.index
        else:
            peer.next_index = max(1, min(reply.index, peer.next_index - 1))

    def _record_match(self, peer: Peer, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        peer.next_index = peer.match_index + 1
        peer.end_snapshot()
        self.progress.drop_unused_snapshot()
        if peer.match_index >= self._state.commit:
            peer.is_lagging = False
        self._advance_commit()
        self._state.notify_waiters()

    async def _wait_for_entries(self, peer: Peer) -> None:
        """Return when there are entries to send, or a heartbeat is due."""
        state = self._state
        try:
            with state.clock.timeout(state.timing.heartbeat_ms):
                while peer.next_index > state.log.last_index:
                    await state.wait_change()
        except TimeoutError:
            return

    async def _wait_for_full_replication(self, index: int) -> None:
        """Wait at most ``full_wait_ms`` until every voter has an entry."""
        state = self._state
        members = state.log.members()
        try:
            with state.clock.timeout(state.timing.full_wait_ms):
                while not self.progress.is_replicated_to_all(members, index):
                    await state.wait_change()
        except TimeoutError:
            self.progress.mark_lagging(members, index)
