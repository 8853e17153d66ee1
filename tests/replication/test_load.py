"""A leader's work for each command stays small under load."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio

from acaciaramp.clock import ManualClock
from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.replica import Replica
from acaciaramp.replication.store import NullStore
from acaciaramp.replication.timing import Timing
from tests.replication.fuzz import Recorder

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from acaciaramp.replication.requests import Send

A, B, C = (Member(InstanceId(name), '0') for name in 'abc')


class SlowStore(NullStore):
    """A store whose syncs end when the test says so.

    Attributes:
        syncs: Number of syncs that have begun.
        may_end: Set once all syncs may end.
    """

    def __init__(self) -> None:
        """Create the store."""
        self.syncs = 0
        self.may_end = anyio.Event()

    async def sync(self) -> None:
        """Wait until the test lets syncs end."""
        self.syncs += 1
        await self.may_end.wait()


def acknowledge(target: InstanceId, req: msgs.Request) -> msgs.Reply:
    """Return the reply of a member that votes for everyone and has it all."""
    member = Member(target, '0')
    if isinstance(req, msgs.VoteRequest):
        return msgs.VoteReply(req.term - req.is_pre_vote, member, True)
    if isinstance(req, msgs.SnapshotPart):
        is_last = req.offset + len(req.part) == req.size
        match = req.index if is_last else req.offset + len(req.part)
        return msgs.AppendReply(req.term, member, is_last, match)
    assert isinstance(req, msgs.AppendRequest)
    match = req.previous_index + len(req.entries)
    return msgs.AppendReply(req.term, member, True, match)


def run_with_leader(
    send: Send,
    scenario: Callable[[Replica, TaskGroup], Awaitable[None]],
    store: NullStore | None = None,
    timing: Timing | None = None,
) -> None:
    """Run a scenario with a leader of three replicas."""

    async def main() -> None:
        clock = ManualClock()
        replica = Replica(
            me=A,
            initial_members=Members((A, B, C)),
            store=store or NullStore(),
            state_machine=Recorder(),
            send=send,
            clock=clock,
            rng=random.Random(1),
            timing=timing or Timing(),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replica.run)
            await anyio.wait_all_tasks_blocked()
            clock.advance(2_500)
            await anyio.wait_all_tasks_blocked()
            await scenario(replica, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_commands_that_come_during_a_sync_share_the_next_one() -> None:
    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        return acknowledge(target, req)

    store = SlowStore()

    async def scenario(replica: Replica, tasks: TaskGroup) -> None:
        store.may_end = anyio.Event()
        before = store.syncs
        for _ in range(50):
            tasks.start_soon(replica.propose, b'x')
        await anyio.wait_all_tasks_blocked()
        store.may_end.set()
        await anyio.wait_all_tasks_blocked()
        assert replica.log.last_index == replica.commit
        assert store.syncs - before <= 2

    store.may_end.set()
    run_with_leader(send, scenario, store)


def test_a_member_that_is_a_little_behind_needs_no_snapshot() -> None:
    snapshots: list[msgs.Request] = []
    c_replies = anyio.Event()

    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        if target == C.instance and isinstance(req, msgs.SnapshotPart):
            snapshots.append(req)
        if target == C.instance and is_late_append(req):
            await c_replies.wait()
        return acknowledge(target, req)

    def is_late_append(req: msgs.Request) -> bool:
        return isinstance(req, msgs.AppendRequest) and req.previous_index >= 18

    async def scenario(replica: Replica, tasks: TaskGroup) -> None:
        for _ in range(25):
            await replica.propose(b'x')
            await anyio.wait_all_tasks_blocked()
        assert replica.log.snapshot.index >= 20
        c_replies.set()
        await anyio.wait_all_tasks_blocked()
        assert not snapshots
        assert replica.progress.match_index_of(C) == replica.log.last_index

    timing = Timing(full_wait_ms=0, compact_entries=20, retained_entries=5)
    run_with_leader(send, scenario, timing=timing)


# Guards against logs of few large entries that grow without a bound.
def test_a_log_of_large_entries_is_compacted_by_their_bytes() -> None:
    may_compact = [True]

    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        return acknowledge(target, req)

    async def scenario(replica: Replica, tasks: TaskGroup) -> None:
        for _ in range(9):
            await replica.propose(1_000 * b'x')
        compacted = replica.log.snapshot.index
        assert compacted
        assert replica.commit - compacted < 4
        may_compact[0] = False
        for _ in range(9):
            await replica.propose(1_000 * b'x')
        assert replica.log.snapshot.index == compacted
        may_compact[0] = True
        await replica.propose(b'x')
        assert replica.log.snapshot.index > compacted

    timing = Timing(
        full_wait_ms=0,
        compact_bytes=4_000,
        may_compact=lambda: may_compact[0],
    )
    run_with_leader(send, scenario, timing=timing)
