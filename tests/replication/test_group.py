"""A group grows to its strength, replaces what is lost and stops on errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import NotLeaderError, PeerError
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.replication.store import NullStore
from acaciaramp.replication.timing import Timing
from tests.replication.fuzz import Recorder

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


A = Member(InstanceId('a'), '0')
TIMING = Timing(
    heartbeat_ms=10,
    election_ms=60,
    spread_ms=60,
    request_ms=50,
    full_wait_ms=0,
)


class Cluster:
    """Groups that reach each other within one process."""

    def __init__(self) -> None:
        """Create the cluster without groups."""
        self.groups: dict[InstanceId, Group] = {}
        self.retiring: list[InstanceId] = []
        self.delays_s: dict[InstanceId, float] = {}

    def add(
        self,
        name: str,
        incarnation: str = '0',
        store: NullStore | None = None,
    ) -> Group:
        """Add a replica, in place of the one of that name."""
        group = Group(
            me=Member(InstanceId(name), incarnation),
            store=store or NullStore(),
            state_machine=Recorder(),
            send=self._send,
            clock=SystemClock(),
            timing=TIMING,
            tolerated_disk_losses=1,
            eligible=lambda: list(self.groups),
            retiring=lambda: self.retiring,
        )
        self.groups[InstanceId(name)] = group
        return group

    async def _send(self, target: InstanceId, req: msgs.Request) -> msgs.Reply:
        group = self.groups.get(target)
        if group is None:
            raise PeerError('gone')
        reply = await group.handle(req)
        await anyio.sleep(self.delays_s.get(target, 0))
        return reply


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.01)


def voters(group: Group) -> set[str]:
    return {member.instance for member in group.replica.members.voters}


def is_strong(group: Group, *names: str) -> bool:
    members = group.replica.members
    return voters(group) == set(names) and not members.learners


def run(
    scenario: Callable[[Cluster, anyio.abc.TaskGroup], Awaitable[None]],
) -> None:
    async def whole() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(Cluster(), tasks)
            tasks.cancel_scope.cancel()

    anyio.run(whole)


async def formed(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> Group:
    for name in 'abc':
        group = cluster.add(name)
        tasks.start_soon(group.run)
        tasks.start_soon(group.maintain_membership)
    first = cluster.groups[InstanceId('a')]
    first.bootstrap()
    await until(lambda: is_strong(first, 'a', 'b', 'c'))
    return first


def test_nothing_is_accepted_before_the_copies_suffice() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        alone = cluster.add('a')
        tasks.start_soon(alone.run)
        alone.bootstrap()
        await until(lambda: alone.replica.is_ready)
        with pytest.raises(NotLeaderError):
            await alone.propose(b'x')

    run(scenario)


def test_a_group_grows_and_accepts() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        first = await formed(cluster, tasks)
        await first.propose(b'x')

    run(scenario)


def test_a_replica_that_lost_its_disk_is_replaced() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        first = await formed(cluster, tasks)
        again = cluster.add('b', incarnation='1')
        tasks.start_soon(again.run)
        await until(lambda: again.me in first.replica.members.voters)
        assert is_strong(first, 'a', 'b', 'c')

    run(scenario)


def test_a_retiring_replica_is_replaced_before_it_leaves() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        first = await formed(cluster, tasks)
        cluster.retiring.append(InstanceId('c'))
        spare = cluster.add('d')
        tasks.start_soon(spare.run)
        sizes = []

        def is_done() -> bool:
            sizes.append(len(voters(first)))
            return is_strong(first, 'a', 'b', 'd')

        await until(is_done)
        assert min(sizes) == 3

    run(scenario)


def test_a_disk_error_ends_the_group() -> None:
    class FullStore(NullStore):
        """A store whose disk takes nothing."""

        async def sync(self) -> None:
            raise OSError('no space')

    async def scenario() -> None:
        group = Group(
            me=A,
            store=FullStore(),
            state_machine=Recorder(),
            send=Cluster()._send,
            clock=SystemClock(),
            timing=TIMING,
            tolerated_disk_losses=0,
            eligible=list,
            retiring=list,
        )
        group.bootstrap()
        await group.run()

    with pytest.raises(OSError, match='the disk failed'):
        anyio.run(scenario)


def test_a_replica_with_a_failed_disk_takes_no_part() -> None:
    class FailingStore(NullStore):
        """A store whose disk fails once and is not usable again."""

        def __init__(self) -> None:
            self.is_broken = True

        async def sync(self) -> None:
            if self.is_broken:
                self.is_broken = False
                raise OSError('no space')

        def is_writable(self) -> bool:
            return False

    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        group = cluster.add('a', store=FailingStore())
        tasks.start_soon(group.run)
        vote = msgs.VoteRequest(9, InstanceId('b'), 9, 9, is_handover=True)
        for _ in range(2):
            with pytest.raises(OSError, match=r'no space|the disk failed'):
                await group.handle(vote)

    run(scenario)


def test_a_learner_far_away_becomes_a_voter_under_load() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        first = await formed(cluster, tasks)
        cluster.retiring.append(InstanceId('c'))
        cluster.delays_s[InstanceId('d')] = 0.03

        async def load() -> None:
            while True:
                await first.propose(b'x')

        tasks.start_soon(load)
        tasks.start_soon(load)
        tasks.start_soon(cluster.add('d').run)
        with anyio.fail_after(10):
            await until(lambda: 'd' in voters(first))

    run(scenario)
