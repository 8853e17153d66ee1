"""State of one replica, shared by its election, follower and leader."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import anyio

from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import LeadershipLostError
from acaciaramp.replication.log import Log
from acaciaramp.replication.store import Vote
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('replication')


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class StateMachine(Protocol):
    """State that is changed by the commands of the log.

    Every replica applies the same commands in the same order, so ``apply``
    must be deterministic.
    """

    def apply(self, payload: bytes) -> object:
        """Apply a command; the outcome is returned to its proposer."""
        ...

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state; empty bytes stand for the initial state."""
        ...


class Proposal:
    """A proposed entry that is not applied yet.

    Attributes:
        proposed_ms: When it was proposed, on the replica's clock.
    """

    def __init__(self, term: int, proposed_ms: int) -> None:
        """Create a proposal.

        Args:
            term: Term of the leader that proposes.
            proposed_ms: When it is proposed, on the replica's clock.
        """
        self.proposed_ms = proposed_ms
        self._term = term
        self._outcome: object = None
        self._is_lost = False
        self._done = anyio.Event()

    def resolve(self, term: int, outcome: object) -> None:
        """Complete the proposal once the entry at its index is applied.

        Args:
            term: Term of the applied entry; another term than the proposal's
                means that another leader has replaced the entry.
            outcome: What applying the entry returned.
        """
        self._outcome = outcome
        self._is_lost = term != self._term
        self._done.set()

    def mark_lost(self) -> None:
        """Complete the proposal with an unknown outcome."""
        self._is_lost = True
        self._done.set()

    async def wait(self) -> object:
        """Wait until the entry is applied and return its outcome.

        Raises:
            LeadershipLostError: The entry may or may not be committed later.
        """
        await self._done.wait()
        if self._is_lost:
            raise LeadershipLostError('leadership was lost')
        return self._outcome


class ReplicaState:
    """Durable and volatile state of a replica.

    Attributes:
        me: This replica.
        role: Its role in the current term.
        term: The current term: the latest one that it has seen.
        vote: The candidate that it voted for in that term, if any.
        leader: The leader of that term, None if unknown.
        log: Snapshot and entries.
        commit: Index of the last committed entry; entries up to it are applied.
        leader_commit: Highest commit index received from a leader.
        store: Stable storage of vote, entries and snapshot.
        clock: Source of time.
        timing: Timeouts and intervals.
        leader_contact_ms: Time of the last message from a leader, or of the
            start.
        election_timer_ms: Time of the last reset of the election timer.
        pending: Proposals that are not applied yet, by index of their entry.
        leader_scope: Cancels the tasks of the leader; None unless it leads.
    """

    def __init__(
        self,
        me: Member,
        initial_members: Members,
        store: Store,
        state_machine: StateMachine,
        clock: Clock,
        timing: Timing,
    ) -> None:
        """Load the state from the store.

        Args:
            me: This replica.
            initial_members: Membership if the store has no snapshot.
            store: Stable storage.
            state_machine: State that the commands change.
            clock: Source of time.
            timing: Timeouts and intervals.
        """
        stored = store.load()
        snapshot = stored.snapshot or msgs.Snapshot(0, 0, initial_members)
        self.me = me
        self.role = Role.FOLLOWER
        self.term = stored.vote.term
        self.vote = stored.vote.candidate
        self.leader: InstanceId | None = None
        self.log = Log(snapshot, stored.entries, timing.retained_entries)
        self.commit = snapshot.index
        self.leader_commit = snapshot.index
        self.store = store
        self.clock = clock
        self.timing = timing
        self.leader_contact_ms = clock.now_ms()
        self.election_timer_ms = clock.now_ms()
        self.pending: dict[int, Proposal] = {}
        self.leader_scope: anyio.CancelScope | None = None
        self._state_machine = state_machine
        self._changed = anyio.Event()
        self._is_stopped = False
        self._applied_bytes = 0
        if snapshot.state:
            state_machine.restore(snapshot.state)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in the latest membership."""
        return self.me in self.log.members().voters

    def save_term(self, term: int, vote: InstanceId | None) -> None:
        """Set and store the current term and the vote in it.

        It is durable only once the store has been synced.
        """
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self.store.save_vote(Vote(term, vote))

    def step_down(self, term: int, leader: InstanceId | None = None) -> None:
        """Become a follower, in the same term or a later one.

        Pending proposals fail with ``LeadershipLostError``.

        Args:
            term: The term to follow in.
            leader: Its leader, None if unknown.
        """
        if term > self.term:
            self.save_term(term, None)
        if self.role is Role.LEADER:
            logger.info(
                'Leadership was lost; following again.',
                instance=self.me.instance,
                term=term,
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        if self.leader_scope is not None:
            self.leader_scope.cancel()
            self.leader_scope = None
        for proposal in self.pending.values():
            proposal.mark_lost()
        self.pending.clear()
        self.notify_waiters()

    def on_leader_contact(self, term: int, leader: InstanceId) -> None:
        """Follow the leader that sent a message; reset the election timer."""
        if term > self.term or self.role is not Role.FOLLOWER:
            self.step_down(term, leader)
        if self.leader != leader:
            self.leader = leader
            self.notify_waiters()
        self.leader_contact_ms = self.clock.now_ms()
        self.election_timer_ms = self.leader_contact_ms

    def stop(self) -> None:
        """Apply nothing more: the state machine gets another replica."""
        self._is_stopped = True

    def apply_committed(self, commit: int) -> None:
        """Commit and apply entries up to ``commit``; compact the log if due.

        Raises:
            OSError: The replica was stopped, or the log could not be compacted.
        """
        self._require_running()
        while self.commit < min(commit, self.log.last_index):
            self.commit += 1
            self._apply_entry(self.log.entry(self.commit))
        if self._is_compaction_due():
            self._compact_log()
        self.notify_waiters()

    def install_snapshot(self, snapshot: msgs.Snapshot) -> None:
        """Replace state machine and log by a snapshot and store it.

        Raises:
            OSError: The replica was stopped, or the disk failed.
        """
        self._require_running()
        self._state_machine.restore(snapshot.state)
        self.log.install_snapshot(snapshot)
        self.commit = snapshot.index
        self._applied_bytes = 0
        remaining = self.log.entries_from(snapshot.index + 1)
        self.store.save_snapshot(snapshot, remaining)

    def notify_waiters(self) -> None:
        """Wake all tasks in ``wait_change``."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Return after the next change.

        Changes are those of entries, commit index, role and leader, and of the
        replication progress that a leader tracks.
        """
        await self._changed.wait()

    def _require_running(self) -> None:
        if self._is_stopped:
            raise OSError('the replica was stopped')

    def _apply_entry(self, entry: msgs.Entry) -> None:
        outcome: object = None
        if entry.kind is msgs.EntryKind.COMMAND:
            outcome = self._state_machine.apply(entry.payload)
        self._applied_bytes += len(entry.payload)
        proposal = self.pending.pop(self.commit, None)
        if proposal is not None:
            proposal.resolve(entry.term, outcome)

    def _is_compaction_due(self) -> bool:
        applied = self.commit - self.log.snapshot.index
        is_long = (
            applied >= self.timing.compact_entries
            or self._applied_bytes >= self.timing.compact_bytes
        )
        may_compact = self.timing.may_compact
        return is_long and (may_compact is None or may_compact())

    def _compact_log(self) -> None:
        started_ms = self.clock.now_ms()
        self._applied_bytes = 0
        snapshot = msgs.Snapshot(
            self.commit,
            self.log.term_at(self.commit) or 0,
            self.log.members(self.commit),
            self._state_machine.snapshot(),
        )
        self.log.install_snapshot(snapshot)
        self.store.save_snapshot(
            snapshot, self.log.entries_from(self.commit + 1)
        )
        logger.info(
            'The log was compacted.',
            instance=self.me.instance,
            index=snapshot.index,
            state_bytes=len(snapshot.state),
            took_ms=self.clock.now_ms() - started_ms,
        )
