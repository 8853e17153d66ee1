"""Seeded random fault schedules against a replicated log.

Messages are lost, delayed, duplicated and reordered; replicas are paused,
crashed with the loss of unsynced writes, and restarted; links are blocked.
After each step the safety properties are checked.
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
    retained_entries=4,
)
# Turns of the event loop after each tick, so that tasks can react to it.
_YIELDS_PER_TICK = 12
_STEPS = 90
_HEAL_MS = 4_000
_SYNC_MS = 3


class FakeDisk:
    """Disk of one instance; its synced state survives crashes if durable."""

    def __init__(self, *, is_durable: bool) -> None:
        self.is_durable = is_durable
        self.clock = ManualClock()
        self.synced = StoredState(Vote(), None, [])
        self.current: FakeStore | None = None

    def open(self) -> FakeStore:
        """Return a store for the next start; earlier ones sync no more."""
        self.current = FakeStore(self)
        return self.current


class FakeStore:
    """A store that loses its unsynced writes in a crash."""

    def __init__(self, disk: FakeDisk) -> None:
        self._disk = disk
        self._written = _copy(disk.synced)

    def load(self) -> StoredState:
        return _copy(self._written)

    def save_vote(self, vote: Vote) -> None:
        self._written.vote = vote

    def append(self, first: int, entries: list[msgs.Entry]) -> None:
        base = self._written.snapshot.index if self._written.snapshot else 0
        kept = self._written.entries[: first - base - 1]
        self._written.entries = [*kept, *entries]

    def save_snapshot(
        self, snapshot: msgs.Snapshot, entries: list[msgs.Entry]
    ) -> None:
        self._written.snapshot = snapshot
        self._written.entries = list(entries)

    async def sync(self) -> None:
        synced = _copy(self._written)
        await self._disk.clock.sleep_ms(_SYNC_MS)
        if self._disk.is_durable and self._disk.current is self:
            self._disk.synced = synced

    def is_writable(self) -> bool:
        """Return true; the disk accepts all writes."""
        return True

    def reopen(self) -> FakeStore:
        """Return the store; its disk does not fail."""
        return self


def _copy(stored: StoredState) -> StoredState:
    return StoredState(stored.vote, stored.snapshot, list(stored.entries))


class Recorder:
    """A state machine that records every command."""

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
    """One instance with its disk, clock and replica."""

    def __init__(self, name: str, *, has_disk: bool) -> None:
        self.instance = InstanceId(name)
        self.disk = FakeDisk(is_durable=has_disk)
        self.clock = ManualClock()
        self.incarnation = 0
        self.was_started = False
        self.state_machine = Recorder()
        self.replica: Replica | None = None
        self.scope: anyio.CancelScope | None = None
        self.is_paused = False
        self.missed_ms = 0

    def member(self) -> Member:
        return Member(self.instance, str(self.incarnation))


class Simulation:
    """Five instances, three of which are the initial members."""

    def __init__(self, seed: int, *, has_disks: bool) -> None:
        self.rng = random.Random(seed)
        self.nodes = {
            name: Node(name, has_disk=has_disks or index == 0)
            for index, name in enumerate('abcde')
        }
        initial = [self.nodes[name].member() for name in 'abc']
        self.initial = Members(tuple(initial))
        self.blocked: set[frozenset[str]] = set()
        self.committed: list[bytes] = []
        self.acknowledged: set[bytes] = set()
        self.leaders: dict[int, InstanceId] = {}
        self.proposed = 0
        self.loss = self.rng.choice((0, 0.02, 0.2))
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run one schedule and check the properties after each step."""
        async with anyio.create_task_group() as self._tasks:
            for node in self.nodes.values():
                self.start(node)
            for _ in range(_STEPS):
                await self.step()
            await self.heal()
            self._tasks.cancel_scope.cancel()

    async def step(self) -> None:
        """Perform one random action, let time pass and check the properties."""
        actions = (
            (12, self.propose),
            (2, self.crash),
            (3, self.restart),
            (2, self.block_links),
            (3, self.restore_links),
            (1, self.pause),
            (2, self.resume),
            (3, self.change_membership),
        )
        weights = [weight for weight, _ in actions]
        self.rng.choices([action for _, action in actions], weights)[0]()
        await self.advance(self.rng.choice((1, 5, 20, 60)))

    async def advance(self, duration_ms: int) -> None:
        """Let time pass in steps of 10 ms."""
        for _ in range(max(1, duration_ms // 10)):
            for node in self.nodes.values():
                if node.is_paused:
                    node.missed_ms += 10
                else:
                    node.clock.advance(10)
                    node.disk.clock.advance(10)
            for _ in range(_YIELDS_PER_TICK):
                await lowlevel.checkpoint()
            self.check()

    async def heal(self) -> None:
        """End all faults; the group must then elect a leader and commit."""
        self.blocked.clear()
        self.loss = 0
        self.resume()
        for node in self.nodes.values():
            if node.replica is None:
                self.start(node)
        for _ in range(_HEAL_MS // 100):
            self.change_membership()
            await self.advance(100)
            if not self.has_lost_quorum() and self.has_leader():
                break
        if self.has_lost_quorum():
            return
        assert self.has_leader(), 'no leader after all faults ended'
        before = len(self.acknowledged)
        for _ in range(_HEAL_MS // 100):
            self.propose()
            await self.advance(100)
            if len(self.acknowledged) > before:
                return
        raise AssertionError('nothing is committed after all faults ended')

    def has_lost_quorum(self) -> bool:
        """Return whether no majority of the voters has kept its state.

        The log does not promise to survive that.
        """
        replicas = [
            node.replica for node in self.nodes.values() if node.replica
        ]
        latest = max(
            replicas, key=lambda item: (item.log.last_term, item.log.last_index)
        )
        members = latest.members
        intact = [
            voter
            for voter in members.voters
            if self.nodes[voter.instance].member() == voter
        ]
        return len(intact) < members.majority

    def has_leader(self) -> bool:
        """Return whether a replica leads and is ready."""
        return any(
            node.replica and node.replica.is_ready
            for node in self.nodes.values()
        )

    def start(self, node: Node) -> None:
        """Start a replica from the synced state of its disk."""
        assert self._tasks is not None
        initial = self.initial
        if node.was_started and not node.disk.is_durable:
            node.incarnation += 1
            initial = Members(())
        node.was_started = True
        node.state_machine = Recorder()
        node.replica = Replica(
            me=node.member(),
            initial_members=initial,
            store=node.disk.open(),
            state_machine=node.state_machine,
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
        """Deliver a request and its reply; lose or duplicate some."""
        node = self.nodes[target]
        await self._transmit(source, node)
        if self.rng.random() < self.loss:
            receiver = node.replica
            if receiver is not None and self._tasks is not None:
                self._tasks.start_soon(
                    self._deliver_duplicate, node, receiver, req
                )
        reply = await self._deliver(node, req)
        await self._transmit(node, source)
        return reply

    async def _deliver_duplicate(
        self, node: Node, replica: Replica, req: msgs.Request
    ) -> None:
        if node.replica is replica:
            await replica.handle(req)

    async def _deliver(self, node: Node, req: msgs.Request) -> msgs.Reply:
        while node.is_paused:
            await self.nodes['a'].disk.clock.sleep_ms(10)
        replica = node.replica
        if replica is None:
            raise PeerError('down')
        reply = await replica.handle(req)
        if node.replica is not replica:
            raise PeerError('crashed before it answered')
        return reply

    async def _transmit(self, source: Node, target: Node) -> None:
        link = frozenset((source.instance, target.instance))
        if link in self.blocked or self.rng.random() < self.loss:
            raise PeerError('lost')
        if self.rng.random() < 0.2:
            await source.clock.sleep_ms(self.rng.randint(1, 80))

    def propose(self) -> None:
        """Propose a command at every replica that is a leader."""
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
        """Crash a replica, unless acknowledged commands could be lost."""
        up = [node for node in self.nodes.values() if node.replica]
        if not up:
            return
        node = self.rng.choice(up)
        is_volatile = not node.disk.is_durable
        if is_volatile and not self._may_lose_state(node):
            return
        node.replica = None
        if node.scope is not None:
            node.scope.cancel()

    def _may_lose_state(self, node: Node) -> bool:
        """Return whether the log survives the loss of a replica's state.

        One replica at a time may lose it, and only while all voters have all
        committed entries.
        """
        for other in self.nodes.values():
            if other is node or other.disk.is_durable:
                continue
            if other.replica is None:
                return False
        return self._is_fully_replicated()

    def _is_fully_replicated(self) -> bool:
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
        """Restart a replica that is down."""
        down = [node for node in self.nodes.values() if node.replica is None]
        if down:
            self.start(self.rng.choice(down))

    def block_links(self) -> None:
        """Block one link, or all links of one instance."""
        names = self.rng.sample(sorted(self.nodes), 2)
        self.blocked.add(frozenset(names))
        if self.rng.random() < 0.4:
            for other in self.nodes:
                self.blocked.add(frozenset((names[0], other)))

    def restore_links(self) -> None:
        """Restore all links."""
        self.blocked.clear()

    def pause(self) -> None:
        """Pause an instance; its clock stops meanwhile."""
        self.rng.choice(list(self.nodes.values())).is_paused = True

    def resume(self) -> None:
        """Resume all paused instances and advance their clocks."""
        for node in self.nodes.values():
            if node.is_paused:
                node.is_paused = False
                node.clock.advance(node.missed_ms)
                node.missed_ms = 0

    def change_membership(self) -> None:
        """Let leaders propose the next membership change that is due."""
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
                failed_since_ms=node.clock.now_ms() - 500,
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
            self._check_applied(node.state_machine.applied)
        missing = self.acknowledged.difference(self.committed)
        assert not missing, f'acknowledged, but not committed: {missing}'

    def _check_leader(self, replica: Replica) -> None:
        if replica.role is Role.LEADER:
            leader = self.leaders.setdefault(replica.term, replica.me.instance)
            assert leader == replica.me.instance, f'two leaders: {replica.term}'

    def _check_applied(self, applied: list[bytes]) -> None:
        common = min(len(applied), len(self.committed))
        assert applied[:common] == self.committed[:common], 'logs differ'
        self.committed.extend(applied[common:])


def run_schedule(seed: int) -> Simulation:
    """Run one schedule; raise ``AssertionError`` if a property breaks."""
    simulation = Simulation(seed, has_disks=seed % 2 == 0)
    try:
        anyio.run(simulation.run)
    except BaseExceptionGroup as group:
        raise _leaf(group) from None
    return simulation


def _leaf(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc
