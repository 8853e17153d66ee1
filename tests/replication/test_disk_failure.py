"""A group whose disks refuse writes for a while."""

from __future__ import annotations

import contextlib
import functools
import itertools
import pathlib
import random
import tempfile
from typing import TYPE_CHECKING
from unittest import mock

import anyio
import msgspec
import pytest

from acaciaramp.ids import InstanceId
from acaciaramp.replication.errors import LeadershipLostError, NotLeaderError
from acaciaramp.replication.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    VoteRequest,
)
from acaciaramp.storage import journal
from acaciaramp.storage.store import DiskStore
from tests import virtual_time
from tests.replication.fuzz import Recorder
from tests.replication.test_group import (
    TIMING,
    Cluster,
    has_only_voters,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from acaciaramp.replication.group import Group
    from acaciaramp.replication.messages import Snapshot
    from acaciaramp.replication.store import Vote

# An election without a handover takes longer than the tests wait. A voter has time to
# store its vote, as with the default timing.
SLOW_ELECTIONS = msgspec.structs.replace(
    TIMING, election_ms=60_000, request_ms=1_000
)
TIMEOUT_S = 10
HANDOVER_S = 2


class Disk:
    """Decides whether a disk takes writes.

    Attributes:
        is_full: Whether each write is refused.
        tears_writes: Whether a refused write leaves a part of its record.
    """

    def __init__(self) -> None:
        """Create a disk with space."""
        self.is_full = False
        self.tears_writes = False


class RefusingStore(DiskStore):
    """A store on a disk that may refuse writes."""

    def __init__(self, folder: pathlib.Path, disk: Disk) -> None:
        """Open the store."""
        self.disk = disk
        super().__init__(folder)

    def reopen(self) -> RefusingStore:
        """Open the store again."""
        self._require_space()
        self.close()
        return RefusingStore(self.folder, self.disk)

    def save_vote(self, vote: Vote) -> None:
        """Write a vote if there is space."""
        self._require_space()
        super().save_vote(vote)

    def append(self, first: int, entries: list[Entry]) -> None:
        """Write entries if there is space."""
        if self.disk.is_full and self.disk.tears_writes:
            with (self.folder / 'journal').open('ab') as file:
                file.write(b'ACRJ torn')
        self._require_space()
        super().append(first, entries)

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Write a snapshot if there is space."""
        self._require_space()
        super().save_snapshot(snapshot, entries)

    async def sync(self) -> None:
        """Sync if the disk takes writes."""
        self._require_space()
        await super().sync()

    def is_writable(self) -> bool:
        """Return whether the disk takes writes."""
        return not self.disk.is_full and super().is_writable()

    def _require_space(self) -> None:
        if self.disk.is_full:
            raise OSError('no space left on device')


class DiskCluster(Cluster):
    """Three groups whose state is on disks.

    Attributes:
        disks: The disks by instance.
        recorders: What each state machine has applied, by instance.
        acknowledged: Commands of ``propose`` that were acknowledged, in order.
        unknown: Its attempts whose outcome is unknown.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the cluster; ``start`` adds its groups."""
        super().__init__()
        self.disks: dict[str, Disk] = {}
        self.recorders: dict[str, Recorder] = {}
        self.acknowledged: list[bytes] = []
        self.unknown: set[bytes] = set()
        self._folder = folder

    async def start(self, tasks: TaskGroup) -> Group:
        """Start three groups and return the one that was bootstrapped.

        All of them have the last change of the membership by then: the disk of the
        only one that has it may be filled next.
        """
        for name in 'abc':
            self.disks[name] = Disk()
            self.recorders[name] = Recorder()
            store = RefusingStore(self._folder / name, self.disks[name])
            group = self.add(
                name, store.incarnation, store, self.recorders[name]
            )
            tasks.start_soon(group.run)
            tasks.start_soon(group.maintain_membership)
        first = self.groups[InstanceId('a')]
        first.bootstrap()
        await wait_until(
            lambda: all(
                has_only_voters(group, 'a', 'b', 'c')
                for group in self.groups.values()
            )
        )
        return first

    def other_leader(self, group: Group | None) -> Group | None:
        """Return another group that leads, if there is one."""
        leaders = [
            item
            for item in self.groups.values()
            if item is not group and item.is_serving
        ]
        return leaders[0] if leaders else None

    async def wait_for_leader_but(self, group: Group | None) -> Group:
        """Return another group once it leads."""
        await wait_until(lambda: self.other_leader(group) is not None)
        found = self.other_leader(group)
        assert found is not None
        return found

    async def propose(self) -> None:
        """Propose commands to whichever group leads until one is acknowledged.

        On a busy machine a leader may lose its lease at any time, as the election
        timeout is short. Each attempt has a command of its own, since one whose
        leader was lost may be committed later.
        """
        for attempt in itertools.count():
            leader = await self.wait_for_leader_but(None)
            command = b'%d.%d' % (len(self.acknowledged), attempt)
            try:
                await leader.propose(command)
            except NotLeaderError:
                await anyio.sleep(0.005)
            except LeadershipLostError:
                self.unknown.add(command)
            else:
                self.acknowledged.append(command)
                return

    async def wait_applied_alike(self) -> None:
        """Return once all state machines have applied the same commands.

        These are the acknowledged ones, in order, besides which only attempts with an
        unknown outcome may be applied, and no command twice.
        """

        def is_alike() -> bool:
            applied = [item.applied for item in self.recorders.values()]
            known = [item for item in applied[0] if item not in self.unknown]
            is_single = len(set(applied[0])) == len(applied[0])
            is_equal = all(item == applied[0] for item in applied)
            return is_equal and is_single and known == self.acknowledged

        await wait_until(is_alike)

    async def wait_applied(self, *commands: bytes) -> None:
        """Return once each state machine has applied just these commands."""
        await wait_until(
            lambda: all(
                recorder.applied == list(commands)
                for recorder in self.recorders.values()
            )
        )


def run(
    scenario: Callable[[DiskCluster, TaskGroup], Awaitable[None]],
    make_cluster: Callable[[pathlib.Path], DiskCluster] = DiskCluster,
) -> None:
    async def run_scenario(folder: pathlib.Path) -> None:
        async with anyio.create_task_group() as tasks:
            with anyio.fail_after(TIMEOUT_S):
                await scenario(make_cluster(folder), tasks)
            tasks.cancel_scope.cancel()

    with (
        tempfile.TemporaryDirectory() as folder,
        mock.patch.object(journal, 'run_sync', virtual_time.run_at_once),
    ):
        virtual_time.run(functools.partial(run_scenario, pathlib.Path(folder)))


@pytest.mark.parametrize('tears_writes', [False, True])
def test_acknowledged_commands_survive_the_full_disk_of_the_leader(
    tears_writes: bool,
) -> None:
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        await cluster.start(tasks)
        await cluster.propose()
        leader = await cluster.wait_for_leader_but(None)
        disk = cluster.disks[leader.me.instance]
        disk.tears_writes = tears_writes
        disk.is_full = True
        with pytest.raises((LeadershipLostError, NotLeaderError)):
            await leader.propose(b'lost')
        await cluster.wait_for_leader_but(leader)
        await cluster.propose()
        disk.is_full = False
        # The replica is a member again without a new process.
        await cluster.wait_applied_alike()
        await cluster.propose()
        await cluster.wait_applied_alike()

    run(scenario)


def test_commands_are_committed_while_a_follower_has_a_full_disk() -> None:
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        await cluster.start(tasks)
        cluster.disks['c'].is_full = True
        for _ in range(5):
            await cluster.propose()
        cluster.disks['c'].is_full = False
        await cluster.wait_applied_alike()

    run(scenario)


def test_full_disk_that_comes_and_goes_loses_nothing() -> None:
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        await cluster.start(tasks)
        for _ in range(6):
            leader = await cluster.wait_for_leader_but(None)
            name = leader.me.instance
            cluster.disks[name].is_full = True
            with pytest.raises((LeadershipLostError, NotLeaderError)):
                await leader.propose(b'lost')
            await cluster.wait_for_leader_but(leader)
            cluster.disks[name].is_full = False
            await cluster.propose()
        await cluster.wait_applied_alike()

    run(scenario)


def test_leader_with_a_full_disk_hands_over_without_an_election_timeout() -> (
    None
):
    def make_cluster(folder: pathlib.Path) -> DiskCluster:
        cluster = DiskCluster(folder)
        cluster.timing = SLOW_ELECTIONS
        return cluster

    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        leader = await cluster.start(tasks)
        cluster.disks[leader.me.instance].is_full = True
        with pytest.raises((LeadershipLostError, NotLeaderError)):
            await leader.propose(b'lost')
        with anyio.fail_after(HANDOVER_S):
            await cluster.wait_for_leader_but(leader)

    run(scenario, make_cluster)


def test_unacknowledged_command_of_a_full_disk_may_have_run() -> None:
    # A write that fails may have reached the disk, and a later leader may
    # commit it, so that it must not be refused as not run.
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        leader = await cluster.start(tasks)
        cluster.disks[leader.me.instance].is_full = True
        with pytest.raises(LeadershipLostError):
            await leader.propose(b'lost')

    run(scenario)


def test_later_term_found_while_probing_with_a_full_disk_ends_no_task() -> None:
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        leader = await cluster.start(tasks)
        # The reply of a spare shows a later term, which has to be stored.
        spare = cluster.add('d')
        vote = VoteRequest(90, InstanceId('x'), 9, 9, is_handover=True)
        await spare.handle(vote)
        cluster.disks[leader.me.instance].is_full = True
        await cluster.wait_for_leader_but(leader)
        cluster.disks[leader.me.instance].is_full = False
        await cluster.propose()
        await cluster.wait_applied_alike()

    run(scenario)


def test_replica_that_failed_applies_nothing_more() -> None:
    # A request that is under way at the failure ends after the replica was
    # opened again; it must not apply entries twice.
    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        leader = await cluster.start(tasks)
        await leader.propose(b'1')
        follower = cluster.groups[InstanceId('b')]
        await cluster.wait_applied(b'1')
        failed = follower.replica
        cluster.disks['b'].is_full = True
        await leader.propose(b'2')
        cluster.disks['b'].is_full = False
        await wait_until(lambda: follower.replica is not failed)
        await cluster.wait_applied(b'1', b'2')
        failed.log.append([Entry(failed.term, EntryKind.COMMAND, b'late')])
        late = AppendRequest(
            term=failed.term,
            leader=leader.me.instance,
            previous_index=failed.log.last_index,
            previous_term=failed.log.last_term,
            entries=[],
            commit=failed.log.last_index,
        )
        with pytest.raises(OSError, match='stopped'):
            await failed.handle(late)
        assert cluster.recorders['b'].applied == [b'1', b'2']

    run(scenario)


@pytest.mark.parametrize('seed', [1, 2])
def test_random_full_disks_lose_and_repeat_no_command(seed: int) -> None:
    rng = random.Random(seed)
    acknowledged: list[bytes] = []

    async def propose_once(cluster: DiskCluster, command: bytes) -> None:
        for group in list(cluster.groups.values()):
            # Only a command that was certainly not proposed is proposed again.
            with contextlib.suppress(NotLeaderError):
                await group.propose(command)
                acknowledged.append(command)
                return

    async def propose(cluster: DiskCluster) -> None:
        for number in itertools.count():
            with contextlib.suppress(LeadershipLostError):
                await propose_once(cluster, b'%d' % number)
            await anyio.sleep(0.005)

    async def scenario(cluster: DiskCluster, tasks: TaskGroup) -> None:
        await cluster.start(tasks)
        async with anyio.create_task_group() as load:
            load.start_soon(propose, cluster)
            for _ in range(6):
                # At most one disk at a time: two others keep a majority.
                disk = cluster.disks[rng.choice('abc')]
                disk.tears_writes = rng.random() < 0.5
                disk.is_full = True
                await anyio.sleep(rng.uniform(0, 0.4))
                disk.is_full = False
                await anyio.sleep(rng.uniform(0.3, 0.8))
            load.cancel_scope.cancel()
        recorders = list(cluster.recorders.values())
        await wait_until(lambda: cluster.other_leader(None) is not None)
        await wait_until(
            lambda: (
                recorders[0].applied
                == recorders[1].applied
                == recorders[2].applied
            )
        )
        applied = recorders[0].applied
        assert len(acknowledged) > 20
        # A command without an acknowledgement may have run as well, but once.
        assert len(applied) == len(set(applied))
        assert [item for item in applied if item in set(acknowledged)] == (
            acknowledged
        )

    run(scenario)
