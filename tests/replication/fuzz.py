"""Seeded schedules of faults against a replicated log.

Messages are lost, delayed, doubled and reordered; replicas are paused,
crashed with the loss of what they had not synced, and started again; links
are cut. After each step the safety properties are checked.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import anyio
from anyio import lowlevel

from acaciaramp.clock import ManualClock
from acaciaramp.ids import InstanceId
from acaciaramp.replication.errors import (
    LeadershipLostError,
    NotLeaderError,
    PeerError,
)
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.membership import next_membership_change
from acaciaramp.replication.replica import Replica
from acaciaramp.replication.state import Role
from acaciaramp.replication.store import StoredState, Vote
from acaciaramp.replication.timing import Timing

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.replication import messages as msgs

TIMING = Timing(
    heartbeat_ms=20,
    election_ms=100,
    spread_ms=100,
    request_ms=60,
    full_wait_ms=10,
    compact_entries=12,
)
_ROUNDS = 12
_STEPS = 90
_HEAL_MS = 4_000
_SYNC_MS = 3


class FakeDisk:
    """What lasts over the crashes of one instance."""

    def __init__(self, *, is_lasting: bool) -> None:
        self.is_lasting = is_lasting
        self.clock = ManualClock()
        self.lasting = StoredState(Vote(), None, [])
        self.newest: FakeStore | None = None

    def open(self) -> FakeStore:
        """Return a store for the next start; older ones change nothing."""
        self.newest = FakeStore(self)
        return self.newest


class FakeStore:
    """A store whose last writes are lost in a crash before their sync."""

    def __init__(self, disk: FakeDisk) -> None:
        self._disk = disk
        self._written = _copy(disk.lasting)

    def load(self) -> StoredState:
        return _copy(self._written)

    def save_vote(self, vote: Vote) -> None:
        self._written.vote = vote

    def append(self, first: int, entries: list[msgs.Entry]) -> None:
        base = self._written.snapshot.index if self._written.snapshot else 0
        kept = self._written.entries[: first - base - 1]
        self._written.entries = [*kept, *entries]

    def save_snapshot(
        self, snapshot: msgs.Snapshot, rest: list[msgs.Entry]
    ) -> None:
        self._written.snapshot = snapshot
        self._written.entries = list(rest)

    async def sync(self) -> None:
        frozen = _copy(self._written)
        await self._disk.clock.sleep_ms(_SYNC_MS)
        if self._disk.is_lasting and self._disk.newest is self:
            self._disk.lasting = frozen

    def is_writable(self) -> bool:
        """Return true; its disk loses writes but takes them."""
        return True


def _copy(stored: StoredState) -> StoredState:
    return StoredState(stored.vote, stored.snapshot, list(stored.entries))


class Recorder:
    """A state machine that remembers every command."""

    def __init__(self) -> None:
        self.applied: list[bytes] = []

    def apply(self, payload: bytes) -> object:
        self.applied.append(payload)
        return len(self.applied)

    def snapshot(self) -> bytes:
        return b','.join(self.applied)

    def restore(self, state: bytes) -> None:
        self.applied = state.split(b',') if state else []


class Node:
    """One instance with its disk, its clock and its replica."""

    def __init__(self, name: str, *, has_disk: bool) -> None:
        self.instance = InstanceId(name)
        self.disk = FakeDisk(is_lasting=has_disk)
        self.clock = ManualClock()
        self.incarnation = 0
        self.was_started = False
        self.machine = Recorder()
        self.replica: Replica | None = None
        self.scope: anyio.CancelScope | None = None
        self.is_paused = False
        self.owed_ms = 0

    def member(self) -> Member:
        return Member(self.instance, str(self.incarnation))


class World:
    """Five instances, three of which are the first members."""

    def __init__(self, seed: int, *, has_disks: bool) -> None:
        self.rng = random.Random(seed)
        self.nodes = {
            name: Node(name, has_disk=has_disks or index == 0)
            for index, name in enumerate('abcde')
        }
        first = [self.nodes[name].member() for name in 'abc']
        self.first = Members(tuple(first))
        self.cut: set[frozenset[str]] = set()
        self.committed: list[bytes] = []
        self.acknowledged: set[bytes] = set()
        self.leaders: dict[int, InstanceId] = {}
        self.proposed = 0
        self.loss = self.rng.choice((0, 0.02, 0.2))
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Go through one schedule and check it."""
        async with anyio.create_task_group() as self._tasks:
            for node in self.nodes.values():
                self.start(node)
            for _ in range(_STEPS):
                await self.step()
            await self.heal()
            self._tasks.cancel_scope.cancel()

    async def step(self) -> None:
        """Do one thing at random and check the properties."""
        actions = (
            (12, self.propose),
            (2, self.crash),
            (3, self.restart),
            (2, self.cut_link),
            (3, self.mend_links),
            (1, self.pause),
            (2, self.resume),
            (3, self.repair),
        )
        weights = [weight for weight, _ in actions]
        self.rng.choices([action for _, action in actions], weights)[0]()
        await self.advance(self.rng.choice((1, 5, 20, 60)))

    async def advance(self, duration_ms: int) -> None:
        """Let time pass in small pieces."""
        for _ in range(max(1, duration_ms // 10)):
            for node in self.nodes.values():
                if node.is_paused:
                    node.owed_ms += 10
                else:
                    node.clock.advance(10)
                    node.disk.clock.advance(10)
            for _ in range(_ROUNDS):
                await lowlevel.checkpoint()
            self.check()

    async def heal(self) -> None:
        """End all faults; the group must then agree and go on."""
        self.cut.clear()
        self.loss = 0
        self.resume()
        for node in self.nodes.values():
            if node.replica is None:
                self.start(node)
        for _ in range(_HEAL_MS // 100):
            self.repair()
            await self.advance(100)
            if not self.is_hopeless() and self.has_leader():
                break
        if self.is_hopeless():
            return
        assert self.has_leader(), 'no leader after all faults ended'
        before = len(self.acknowledged)
        for _ in range(_HEAL_MS // 100):
            self.propose()
            await self.advance(100)
            if len(self.acknowledged) > before:
                return
        raise AssertionError('nothing is committed after all faults ended')

    def is_hopeless(self) -> bool:
        """Return whether a majority has forgotten, beyond what is promised."""
        replicas = [
            node.replica for node in self.nodes.values() if node.replica
        ]
        newest = max(
            replicas, key=lambda item: (item.log.last_term, item.log.last_index)
        )
        members = newest.members
        alive = [
            voter
            for voter in members.voters
            if self.nodes[voter.instance].member() == voter
        ]
        return len(alive) < members.majority

    def has_leader(self) -> bool:
        """Return whether a replica leads and is ready."""
        return any(
            node.replica and node.replica.is_ready
            for node in self.nodes.values()
        )

    def start(self, node: Node) -> None:
        """Start a replica from what its disk kept."""
        assert self._tasks is not None
        first = self.first
        if node.was_started and not node.disk.is_lasting:
            node.incarnation += 1
            first = Members(())
        node.was_started = True
        node.machine = Recorder()
        node.replica = Replica(
            me=node.member(),
            initial_members=first,
            store=node.disk.open(),
            state_machine=node.machine,
            send=functools.partial(self.send, node),
            clock=node.clock,
            rng=random.Random(self.rng.random()),
            timing=TIMING,
        )
        node.scope = anyio.CancelScope()
        self._tasks.start_soon(self._run, node.replica, node.scope)

    async def _run(self, replica: Replica, scope: anyio.CancelScope) -> None:
        with scope:
            await replica.run()

    async def send(
        self, source: Node, target: InstanceId, req: msgs.Request
    ) -> msgs.Reply:
        """Carry a request and its reply, or lose either."""
        node = self.nodes[target]
        await self._travel(source, node)
        if self.rng.random() < self.loss:
            spawned = node.replica
            if spawned is not None and self._tasks is not None:
                self._tasks.start_soon(self._twice, node, spawned, req)
        reply = await self._answer(node, req)
        await self._travel(node, source)
        return reply

    async def _twice(
        self, node: Node, replica: Replica, req: msgs.Request
    ) -> None:
        if node.replica is replica:
            await replica.handle(req)

    async def _answer(self, node: Node, req: msgs.Request) -> msgs.Reply:
        while node.is_paused:
            await self.nodes['a'].disk.clock.sleep_ms(10)
        replica = node.replica
        if replica is None:
            raise PeerError('down')
        reply = await replica.handle(req)
        if node.replica is not replica:
            raise PeerError('crashed before it answered')
        return reply

    async def _travel(self, source: Node, target: Node) -> None:
        link = frozenset((source.instance, target.instance))
        if link in self.cut or self.rng.random() < self.loss:
            raise PeerError('lost')
        if self.rng.random() < 0.2:
            await source.clock.sleep_ms(self.rng.randint(1, 80))

    def propose(self) -> None:
        """Propose a command at every replica that believes it leads."""
        assert self._tasks is not None
        for node in self.nodes.values():
            if node.replica and node.replica.role is Role.LEADER:
                self.proposed += 1
                payload = b'%d' % self.proposed
                self._tasks.start_soon(self._propose, node.replica, payload)

    async def _propose(self, replica: Replica, payload: bytes) -> None:
        try:
            await replica.propose(payload)
        except (NotLeaderError, LeadershipLostError):
            return
        self.acknowledged.add(payload)

    def crash(self) -> None:
        """Crash a replica, if enough others remember."""
        up = [node for node in self.nodes.values() if node.replica]
        if not up:
            return
        node = self.rng.choice(up)
        forgetful = not node.disk.is_lasting
        if forgetful and not self._may_forget(node):
            return
        node.replica = None
        if node.scope is not None:
            node.scope.cancel()

    def _may_forget(self, node: Node) -> bool:
        """Allow one replica at a time to be without its memory."""
        for other in self.nodes.values():
            if other is node or other.disk.is_lasting:
                continue
            if other.replica is None:
                return False
        return self._is_at_strength()

    def _is_at_strength(self) -> bool:
        leaders = [
            node.replica
            for node in self.nodes.values()
            if node.replica and node.replica.is_ready
        ]
        if not leaders:
            return False
        leader = max(leaders, key=lambda item: item.term)
        return leader.is_fully_replicated(3) and not any(
            peer.is_lagging for peer in leader.progress.peers.values()
        )

    def restart(self) -> None:
        """Start a replica that is down."""
        down = [node for node in self.nodes.values() if node.replica is None]
        if down:
            self.start(self.rng.choice(down))

    def cut_link(self) -> None:
        """Cut one instance off, or one link."""
        names = self.rng.sample(sorted(self.nodes), 2)
        self.cut.add(frozenset(names))
        if self.rng.random() < 0.4:
            for other in self.nodes:
                self.cut.add(frozenset((names[0], other)))

    def mend_links(self) -> None:
        """Mend all links."""
        self.cut.clear()

    def pause(self) -> None:
        """Stop an instance without ending it."""
        self.rng.choice(list(self.nodes.values())).is_paused = True

    def resume(self) -> None:
        """Let all paused instances go on; their clocks have run on."""
        for node in self.nodes.values():
            if node.is_paused:
                node.is_paused = False
                node.clock.advance(node.owed_ms)
                node.owed_ms = 0

    def repair(self) -> None:
        """Let leaders make the next change that they want."""
        assert self._tasks is not None
        for node in self.nodes.values():
            replica = node.replica
            if replica is None or not replica.is_ready or node.is_paused:
                continue
            spares = [
                other.replica.me
                for other in self.nodes.values()
                if other.replica
                and other.instance not in replica.members.instances
            ]
            change = next_membership_change(
                replica.members,
                replica.progress,
                me=replica.me,
                commit=replica.commit,
                dead_since_ms=node.clock.now_ms() - 500,
                spares=spares,
            )
            if change is not None:
                self._tasks.start_soon(self._change, replica, change)

    async def _change(self, replica: Replica, members: Members) -> None:
        try:
            await replica.change_members(members)
        except (NotLeaderError, LeadershipLostError):
            return

    def check(self) -> None:
        """Check the safety properties."""
        for node in self.nodes.values():
            if node.replica is None:
                continue
            self._check_leader(node.replica)
            self._check_applied(node.machine.applied)
        missing = self.acknowledged.difference(self.committed)
        assert not missing, f'acknowledged, but not committed: {missing}'

    def _check_leader(self, replica: Replica) -> None:
        if replica.role is Role.LEADER:
            known = self.leaders.setdefault(replica.term, replica.me.instance)
            assert known == replica.me.instance, f'two leaders: {replica.term}'

    def _check_applied(self, applied: list[bytes]) -> None:
        common = min(len(applied), len(self.committed))
        assert applied[:common] == self.committed[:common], 'logs differ'
        self.committed.extend(applied[common:])


def run_schedule(seed: int) -> World:
    """Run one schedule; raise ``AssertionError`` if a property breaks."""
    world = World(seed, has_disks=seed % 2 == 0)
    try:
        anyio.run(world.run)
    except BaseExceptionGroup as group:
        raise _leaf(group) from None
    return world


def _leaf(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
