"""What a replica knows and remembers, shared by all that it does."""

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
    """What a replica does."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class StateMachine(Protocol):
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


class Proposal:
    """A command that waits to be committed."""

    def __init__(self, term: int) -> None:
        """Create the proposal of a leader in ``term``."""
        self._term = term
        self._outcome: object = None
        self._is_lost = False
        self._done = anyio.Event()

    def resolve(self, term: int, outcome: object) -> None:
        """Take what applying gave, if the entry is that of this proposal."""
        self._outcome = outcome
        self._is_lost = term != self._term
        self._done.set()

    def lose(self) -> None:
        """Give up."""
        self._is_lost = True
        self._done.set()

    async def wait(self) -> object:
        """Return what applying the command gave.

        Raises:
            LeadershipLostError: It may or may not be committed later.
        """
        await self._done.wait()
        if self._is_lost:
            raise LeadershipLostError('leadership was lost')
        return self._outcome


class ReplicaState:
    """What a replica knows and remembers.

    Attributes:
        me: This replica.
        role: What it does.
        term: The newest term that it has seen.
        vote: Its vote in that term.
        leader: The leader of that term, if it is known.
        log: Its entries.
        commit: Index up to which entries are committed here.
        known_commit: Index up to which a leader has said so.
        store: Keeps what must not be forgotten.
        clock: Source of time.
        timing: Times.
        heard_ms: When it last heard a leader, or started.
        timer_ms: When its election timer was last set.
        pending: Proposals by index.
        leading: Cancels the leader's tasks.
    """

    def __init__(
        self,
        me: Member,
        first: Members,
        store: Store,
        machine: StateMachine,
        clock: Clock,
        timing: Timing,
    ) -> None:
        """Create the state from what the store holds."""
        stored = store.load()
        snapshot = stored.snapshot or msgs.Snapshot(0, 0, first)
        self.me = me
        self.role = Role.FOLLOWER
        self.term = stored.vote.term
        self.vote = stored.vote.candidate
        self.leader: InstanceId | None = None
        self.log = Log(snapshot, stored.entries)
        self.commit = snapshot.index
        self.known_commit = snapshot.index
        self.store = store
        self.clock = clock
        self.timing = timing
        self.heard_ms = clock.now_ms()
        self.timer_ms = clock.now_ms()
        self.pending: dict[int, Proposal] = {}
        self.leading: anyio.CancelScope | None = None
        self._machine = machine
        self._changed = anyio.Event()
        if snapshot.state:
            machine.restore(snapshot.state)

    @property
    def is_voter(self) -> bool:
        """Whether this replica is one of the voters."""
        return self.me in self.log.members().voters

    def remember_term(self, term: int, vote: InstanceId | None) -> None:
        """Remember a term and the vote in it."""
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self.store.save_vote(Vote(term, vote))

    def step_down(self, term: int, leader: InstanceId | None = None) -> None:
        """Follow, in a term at least as new as the one before."""
        if term > self.term:
            self.remember_term(term, None)
        if self.role is Role.LEADER:
            logger.info(
                'Leadership was lost.', instance=self.me.instance, term=term
            )
        self.role = Role.FOLLOWER
        self.leader = leader
        if self.leading is not None:
            self.leading.cancel()
            self.leading = None
        for proposal in self.pending.values():
            proposal.lose()
        self.pending.clear()
        self.notify()

    def follow(self, term: int, leader: InstanceId) -> None:
        """Follow a leader that has just been heard."""
        if term > self.term or self.role is not Role.FOLLOWER:
            self.step_down(term, leader)
        if self.leader != leader:
            self.leader = leader
            self.notify()
        self.heard_ms = self.clock.now_ms()
        self.timer_ms = self.heard_ms

    def advance(self, commit: int) -> None:
        """Apply entries up to ``commit``."""
        while self.commit < min(commit, self.log.last_index):
            self.commit += 1
            self._apply(self.log.entry(self.commit))
        behind = self.commit - self.log.snapshot.index
        if behind >= self.timing.compact_entries:
            self._compact()
        self.notify()

    def install(self, snapshot: msgs.Snapshot) -> None:
        """Replace the state by a leader's snapshot."""
        self._machine.restore(snapshot.state)
        self.log.replace(snapshot)
        self.commit = snapshot.index
        rest = self.log.rest(snapshot.index + 1)
        self.store.save_snapshot(snapshot, rest)

    def notify(self) -> None:
        """Wake all that wait for a change."""
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Return when entries, commit or role have changed."""
        await self._changed.wait()

    def _apply(self, entry: msgs.Entry) -> None:
        outcome: object = None
        if entry.kind is msgs.EntryKind.COMMAND:
            outcome = self._machine.apply(entry.payload)
        proposal = self.pending.pop(self.commit, None)
        if proposal is not None:
            proposal.resolve(entry.term, outcome)

    def _compact(self) -> None:
        snapshot = msgs.Snapshot(
            self.commit,
            self.log.term_at(self.commit) or 0,
            self.log.members(self.commit),
            self._machine.snapshot(),
        )
        self.log.replace(snapshot)
        self.store.save_snapshot(snapshot, self.log.rest(self.commit + 1))
