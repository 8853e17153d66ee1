"""Leading: proposing commands and bringing the others up to date."""

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

# A slow link between regions carries so much well within a request's time.
PART_BYTES = 65_536


class Leading:
    """A replica's part as a leader.

    Attributes:
        progress: What it knows of the others.
        is_handing_over: Whether it has asked another one to lead.
    """

    def __init__(self, state: ReplicaState, request: Send) -> None:
        """Create the part.

        Args:
            state: The replica's state.
            request: Sends a request to another replica.
        """
        self.progress = Progress(state.me)
        self.is_handing_over = False
        self._state = state
        self._request = request
        self._first_index = 0
        self._tasks: TaskGroup | None = None

    @property
    def is_ready(self) -> bool:
        """Whether it leads and has applied all that earlier leaders did."""
        state = self._state
        is_leader = state.role is Role.LEADER and not self.is_handing_over
        return is_leader and state.commit >= self._first_index

    async def lead(self) -> bool:
        """Lead until leadership is lost; return whether nobody took it over.

        A candidate that stood too late deposes a leader by its newer term
        without being elected itself.
        """
        state = self._state
        term = state.term
        logger.info(
            'Leadership was won.', instance=state.me.instance, term=state.term
        )
        state.role = Role.LEADER
        state.leader = state.me.instance
        self.progress = Progress(state.me)
        self.is_handing_over = False
        self._first_index = state.log.last_index + 1
        try:
            await self._keep_leading()
        finally:
            # Who waits for a proposal must not wait for ever.
            if state.role is Role.LEADER:
                state.step_down(state.term)
        state.timer_ms = state.clock.now_ms()
        is_deposed = state.term > term and state.leader is None
        return is_deposed and not self.is_handing_over

    async def propose(self, kind: msgs.EntryKind, payload: bytes) -> object:
        """Return what applying a command gave, once it is committed.

        Raises:
            NotLeaderError: Nothing was proposed.
            LeadershipLostError: It may or may not be committed later.
        """
        state = self._state
        is_leader = state.role is Role.LEADER and not self.is_handing_over
        if not is_leader or state.leading is None:
            raise NotLeaderError(state.leader)
        proposal = Proposal(state.term)
        index = state.log.last_index + 1
        state.pending[index] = proposal
        self._append(msgs.Entry(state.term, kind, payload))
        outcome = await proposal.wait()
        await self._wait_for_all(index)
        return outcome

    async def _keep_leading(self) -> None:
        state = self._state
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            state.leading = tasks.cancel_scope
            self._append(msgs.Entry(state.term, msgs.EntryKind.NOTHING))
            tasks.start_soon(self._check_quorum)

    def _append(self, entry: msgs.Entry) -> None:
        state = self._state
        state.log.append([entry])
        state.store.append(state.log.last_index, [entry])
        self._start_peers()
        if self._tasks is not None:
            self._tasks.start_soon(self._sync, state.term, state.log.last_index)
        state.notify()

    async def _sync(self, term: int, index: int) -> None:
        """Count this replica's own copy once it lasts."""
        state = self._state
        await state.store.sync()
        if self._is_leading(term):
            self.progress.own_index = max(self.progress.own_index, index)
            self._commit_majority()

    def _start_peers(self) -> None:
        state = self._state
        for instance in state.log.members().instances:
            if instance == state.me.instance:
                continue
            if instance not in self.progress.peers and self._tasks is not None:
                peer = Peer(state.log.last_index, state.clock.now_ms())
                self.progress.peers[instance] = peer
                self._tasks.start_soon(self._replicate, instance, peer)

    def _commit_majority(self) -> None:
        state = self._state
        index = self.progress.majority_index(state.log.members())
        # Entries of older terms are committed only along with newer ones.
        if index <= state.commit or state.log.term_at(index) != state.term:
            return
        state.advance(index)
        is_settled = state.log.members_entry()[0] <= state.commit
        if is_settled and not state.is_voter:
            state.step_down(state.term)

    async def _check_quorum(self) -> None:
        """Step down when a majority has been silent for too long."""
        state = self._state
        while True:
            await state.clock.sleep_ms(state.timing.heartbeat_ms)
            since_ms = state.clock.now_ms() - 2 * state.timing.election_ms
            members = state.log.members()
            if not self.progress.heard_from_majority(members, since_ms):
                state.step_down(state.term)
                return

    async def _replicate(self, instance: InstanceId, peer: Peer) -> None:
        """Bring one replica up to date for as long as this one leads."""
        state = self._state
        term = state.term
        # A leader that has just stepped down must not send in the new term.
        while self._is_leading(term) and self._is_member(instance):
            if await self._exchange(instance, peer):
                await self._wait_for_entries(peer)
            else:
                await state.clock.sleep_ms(state.timing.heartbeat_ms)
        self.progress.peers.pop(instance, None)

    def _is_leading(self, term: int) -> bool:
        state = self._state
        return state.role is Role.LEADER and state.term == term

    def _is_member(self, instance: InstanceId) -> bool:
        return instance in self._state.log.members().instances

    async def _exchange(self, instance: InstanceId, peer: Peer) -> bool:
        """Send one message; return whether it was answered."""
        state = self._state
        sent_ms = state.clock.now_ms()
        term = state.term
        try:
            reply = await self._request(instance, self._next_request(peer))
        except PeerError:
            return False
        if reply.term > state.term:
            state.step_down(reply.term)
        elif state.term == term and isinstance(reply, msgs.AppendReply):
            self._take_reply(peer, reply, sent_ms)
        return True

    def _next_request(
        self, peer: Peer
    ) -> msgs.AppendRequest | msgs.SnapshotPart:
        state = self._state
        previous = peer.next_index - 1
        if previous < state.log.snapshot.index:
            return self._snapshot_part(peer)
        return msgs.AppendRequest(
            term=state.term,
            leader=state.me.instance,
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            entries=state.log.batch(peer.next_index),
            commit=state.commit,
        )

    def _snapshot_part(self, peer: Peer) -> msgs.SnapshotPart:
        state = self._state
        whole = peer.encoded_snapshot(state.log.snapshot)
        offset = peer.snapshot_offset
        return msgs.SnapshotPart(
            term=state.term,
            leader=state.me.instance,
            index=state.log.snapshot.index,
            checksum=zlib.crc32(whole),
            offset=offset,
            size=len(whole),
            part=whole[offset : offset + PART_BYTES],
        )

    def _take_reply(
        self, peer: Peer, reply: msgs.AppendReply, sent_ms: int
    ) -> None:
        peer.last_contact_ms = max(peer.last_contact_ms, sent_ms)
        if peer.replica != reply.replica:
            peer.replica = reply.replica
            peer.match_index = 0
        if reply.is_matching:
            self._take_match(peer, reply.index)
        elif peer.next_index <= self._state.log.snapshot.index:
            peer.snapshot_offset = reply.index
        else:
            peer.next_index = max(1, min(reply.index, peer.next_index - 1))

    def _take_match(self, peer: Peer, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        peer.next_index = peer.match_index + 1
        peer.forget_snapshot()
        if peer.match_index >= self._state.commit:
            peer.is_lagging = False
        self._commit_majority()
        self._state.notify()

    async def _wait_for_entries(self, peer: Peer) -> None:
        """Return when there is something to send, or a heartbeat is due."""
        state = self._state
        try:
            with state.clock.timeout(state.timing.heartbeat_ms):
                while peer.next_index > state.log.last_index:
                    await state.wait_change()
        except TimeoutError:
            return

    async def _wait_for_all(self, index: int) -> None:
        """Wait a bounded time until every voter has an entry."""
        state = self._state
        members = state.log.members()
        try:
            with state.clock.timeout(state.timing.full_wait_ms):
                while not self.progress.is_replicated_to_all(members, index):
                    await state.wait_change()
        except TimeoutError:
            self.progress.mark_lagging(members, index)
