"""Tests of a group's membership changes and of its behaviour on disk errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import NotLeaderError, PeerError
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.replication.store import NullStore
from acaciaramp.replication.timing import Timing
from tests import virtual_time
from tests.replication.fuzz import Recorder

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.replication.store import Store

TIMING = Timing(
    heartbeat_ms=10,
    election_ms=60,
    spread_ms=60,
    request_ms=50,
    full_wait_ms=0,
)


class Cluster:
    """Groups that exchange messages within one process."""

    def __init__(self, timing: Timing = TIMING) -> None:
        """Create the cluster without groups."""
        self.timing = timing
        self.groups: dict[InstanceId, Group] = {}
        self.retiring: list[InstanceId] = []
        self.delays_s: dict[InstanceId, float] = {}

    def add(
        self,
        name: str,
        incarnation: str = '0',
        store: Store | None = None,
        state_machine: Recorder | None = None,
    ) -> Group:
        """Add a replica, which replaces the one of the same name."""
        group = Group(
            me=Member(InstanceId(name), incarnation),
            store=store or NullStore(),
            state_machine=state_machine or Recorder(),
            send=self._send,
            clock=virtual_time.LoopClock(),
            timing=self.timing,
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
        try:
            reply = await group.handle(req)
        except OSError as exc:
            raise PeerError('an internal error') from exc
        await anyio.sleep(self.delays_s.get(target, 0))
        return reply


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.01)


def voters(group: Group) -> set[str]:
    return {member.instance for member in group.replica.members.voters}


def has_only_voters(group: Group, *names: str) -> bool:
    members = group.replica.members
    return voters(group) == set(names) and not members.learners


def run(
    scenario: Callable[[Cluster, anyio.abc.TaskGroup], Awaitable[None]],
) -> None:
    async def run_scenario() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(Cluster(), tasks)
            tasks.cancel_scope.cancel()

    anyio.run(run_scenario)


async def bootstrapped_leader(
    cluster: Cluster, tasks: anyio.abc.TaskGroup
) -> Group:
    for name in 'abc':
        group = cluster.add(name)
        tasks.start_soon(group.run)
        tasks.start_soon(group.maintain_membership)
    leader = cluster.groups[InstanceId('a')]
    leader.bootstrap()
    await wait_until(lambda: has_only_voters(leader, 'a', 'b', 'c'))
    return leader


def test_commands_are_rejected_until_enough_voters_exist() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        single = cluster.add('a')
        tasks.start_soon(single.run)
        single.bootstrap()
        await wait_until(lambda: single.replica.is_ready)
        with pytest.raises(NotLeaderError):
            await single.propose(b'x')

    run(scenario)


def test_group_grows_to_target_voters_and_accepts_commands() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        leader = await bootstrapped_leader(cluster, tasks)
        await leader.propose(b'x')

    run(scenario)


def test_replica_that_lost_its_state_is_replaced() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        leader = await bootstrapped_leader(cluster, tasks)
        replacement = cluster.add('b', incarnation='1')
        tasks.start_soon(replacement.run)
        await wait_until(
            lambda: replacement.me in leader.replica.members.voters
        )
        assert has_only_voters(leader, 'a', 'b', 'c')

    run(scenario)


def test_retiring_replica_is_replaced_before_it_is_removed() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        leader = await bootstrapped_leader(cluster, tasks)
        cluster.retiring.append(InstanceId('c'))
        spare = cluster.add('d')
        tasks.start_soon(spare.run)
        sizes = []

        def is_done() -> bool:
            sizes.append(len(voters(leader)))
            return has_only_voters(leader, 'a', 'b', 'd')

        await wait_until(is_done)
        assert min(sizes) == 3

    run(scenario)


def test_disk_error_ends_neither_the_group_nor_spins() -> None:
    class FullDiskStore(NullStore):
        """A store that never syncs, though test writes succeed."""

        def __init__(self) -> None:
            self.failures = 0

        async def sync(self) -> None:
            self.failures += 1
            raise OSError('no space')

        def reopen(self) -> NullStore:
            return self

    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        store = FullDiskStore()
        group = cluster.add('a', store=store)
        tasks.start_soon(group.run)
        group.bootstrap()
        first = group.replica
        with anyio.fail_after(5):
            await wait_until(lambda: group.replica is not first)
        assert store.failures == 1
        assert not group.is_serving

    run(scenario)


def test_replica_with_failed_disk_rejects_requests() -> None:
    class FailingDiskStore(NullStore):
        """A store whose first sync fails and that is never writable again."""

        def __init__(self) -> None:
            self.fails_next_sync = True

        async def sync(self) -> None:
            if self.fails_next_sync:
                self.fails_next_sync = False
                raise OSError('no space')

        def is_writable(self) -> bool:
            return False

    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        group = cluster.add('a', store=FailingDiskStore())
        tasks.start_soon(group.run)
        vote = msgs.VoteRequest(9, InstanceId('b'), 9, 9, is_handover=True)
        for _ in range(2):
            with pytest.raises(OSError, match=r'no space|the disk failed'):
                await group.handle(vote)

    run(scenario)


def test_slow_learner_is_promoted_under_load() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        leader = await bootstrapped_leader(cluster, tasks)
        cluster.retiring.append(InstanceId('c'))
        cluster.delays_s[InstanceId('d')] = 0.03

        async def load() -> None:
            while True:
                await leader.propose(b'x')

        tasks.start_soon(load)
        tasks.start_soon(load)
        tasks.start_soon(cluster.add('d').run)
        with anyio.fail_after(10):
            await wait_until(lambda: 'd' in voters(leader))

    run(scenario)


def test_disk_that_fails_during_a_membership_change_stops_the_replica() -> None:
    class FullStore(NullStore):
        """A store whose disk fills up."""

        def __init__(self) -> None:
            self.is_full = False

        def append(self, first: int, entries: list[msgs.Entry]) -> None:
            if self.is_full:
                raise OSError('no space left on device')

    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        store = FullStore()
        leader = cluster.add('a', store=store)
        tasks.start_soon(leader.run)
        leader.bootstrap()
        failed = leader.replica
        await wait_until(lambda: leader.replica.is_ready)
        store.is_full = True
        tasks.start_soon(cluster.add('b').run)
        tasks.start_soon(leader.maintain_membership)
        with anyio.fail_after(5):
            await wait_until(lambda: leader.replica is not failed)
        assert not failed.is_ready

    run(scenario)


def test_handover_of_an_earlier_term_starts_no_campaign() -> None:
    async def scenario(cluster: Cluster, tasks: anyio.abc.TaskGroup) -> None:
        leader = await bootstrapped_leader(cluster, tasks)
        term = leader.replica.term
        follower = cluster.groups[InstanceId('b')]
        await wait_until(lambda: follower.replica.term == term)
        for _ in range(10):
            await follower.handle(msgs.HandoverRequest(term - 1))
            await anyio.sleep(0.01)
        assert leader.replica.term == term
        assert leader.replica.is_ready

    run(scenario)
