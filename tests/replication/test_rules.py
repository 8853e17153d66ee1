"""Tests of rules that the random fault schedules exercise too rarely."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.errors import (
    LeadershipLostError,
    NotLeaderError,
    PeerError,
)
from acaciaramp.replication.follower import Follower
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.membership import next_membership_change
from acaciaramp.replication.progress import Peer, Progress
from acaciaramp.replication.replica import Replica
from acaciaramp.replication.state import ReplicaState, Role
from acaciaramp.replication.store import NullStore
from acaciaramp.replication.timing import Timing
from tests.replication.fuzz import Recorder

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.replication.requests import Send

A, B, C, D = (Member(InstanceId(name), '0') for name in 'abcd')
ALL = Members((A, B, C))


def progress_of(**matches: int) -> Progress:
    progress = Progress(A)
    progress.synced_index = matches.pop('a', 0)
    for name, match in matches.items():
        peer = Peer(1, 0)
        peer.match_index = match
        peer.replica = Member(InstanceId(name), '0')
        progress.peers[InstanceId(name)] = peer
    return progress


def new_state(me: Member = A) -> ReplicaState:
    return ReplicaState(
        me, ALL, NullStore(), Recorder(), ManualClock(), Timing()
    )


def new_replica(send: Send, clock: ManualClock) -> Replica:
    return Replica(
        me=A,
        initial_members=ALL,
        store=NullStore(),
        state_machine=Recorder(),
        send=send,
        clock=clock,
        rng=random.Random(1),
        timing=Timing(),
    )


async def start_campaign(
    replica: Replica, clock: ManualClock, tasks: TaskGroup
) -> None:
    """Run a replica until its election timer has expired and it campaigned."""
    tasks.start_soon(replica.run)
    await anyio.wait_all_tasks_blocked()
    clock.advance(2_500)
    await anyio.wait_all_tasks_blocked()


def entry(term: int, payload: bytes = b'x') -> msgs.Entry:
    return msgs.Entry(term, msgs.EntryKind.COMMAND, payload)


def append(
    term: int, *entries: msgs.Entry, previous: int = 0
) -> msgs.AppendRequest:
    return msgs.AppendRequest(
        term=term,
        leader=B.instance,
        previous_index=previous,
        previous_term=0,
        entries=list(entries),
        commit=0,
    )


def test_match_index_of_voter_that_lost_its_state_does_not_count() -> None:
    progress = progress_of(a=5, b=5, c=0)
    assert progress.majority_index(ALL) == 5
    progress.peers[B.instance].replica = Member(B.instance, 'after restart')
    assert progress.majority_index(ALL) == 0


def test_entries_of_earlier_terms_are_not_committed_by_majority_alone() -> None:
    async def scenario() -> int:
        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            if isinstance(req, msgs.VoteRequest):
                term = req.term - req.is_pre_vote
                return msgs.VoteReply(term, Member(target, '0'), True)
            if isinstance(req, msgs.AppendRequest) and req.previous_index == 1:
                raise PeerError('the new entry is lost')
            assert isinstance(req, msgs.AppendRequest)
            return msgs.AppendReply(
                req.term, Member(target, '0'), not req.previous_index, 1
            )

        clock = ManualClock()
        replica = new_replica(send, clock)
        await replica.handle(append(1, entry(1)))
        async with anyio.create_task_group() as tasks:
            await start_campaign(replica, clock, tasks)
            assert replica.role is Role.LEADER
            commit = replica.commit
            tasks.cancel_scope.cancel()
        return commit

    assert anyio.run(scenario) == 0


def test_append_is_not_acknowledged_after_a_later_term_began() -> None:
    class SlowStore(NullStore):
        def __init__(self) -> None:
            self.release_sync = anyio.Event()

        async def sync(self) -> None:
            await self.release_sync.wait()

    async def scenario() -> msgs.AppendReply:
        store = SlowStore()
        state = ReplicaState(A, ALL, store, Recorder(), ManualClock(), Timing())
        follower = Follower(state)
        replies = []

        async def append_one() -> None:
            replies.append(await follower.on_append(append(1, entry(1))))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(append_one)
            await anyio.wait_all_tasks_blocked()
            state.step_down(2)
            store.release_sync.set()
        return replies[0]

    assert not anyio.run(scenario).is_matching


# Guards against a copy of the state for each member that is behind.
def test_members_that_are_behind_share_an_encoded_snapshot() -> None:
    progress = progress_of(b=0, c=0)
    snapshot = msgs.Snapshot(5, 1, ALL, b'state')
    for peer in progress.peers.values():
        peer.begin_snapshot(snapshot.index)
    encoded = progress.encoded_snapshot(snapshot)
    assert progress.encoded_snapshot(snapshot) is encoded
    progress.peers[B.instance].end_snapshot()
    progress.drop_unused_snapshot()
    assert progress.encoded_snapshot(snapshot) is encoded
    progress.peers[C.instance].end_snapshot()
    progress.drop_unused_snapshot()
    assert progress.encoded_snapshot(snapshot) is not encoded
    later = msgs.Snapshot(6, 1, ALL, b'later')
    assert progress.encoded_snapshot(later) == msgspec.msgpack.encode(later)


def test_corrupt_or_incomplete_snapshot_is_not_installed() -> None:
    encoded = msgspec.msgpack.encode(msgs.Snapshot(5, 1, ALL, b'1,2'))

    def snapshot_part(
        offset: int, payload: bytes, checksum: int
    ) -> msgs.SnapshotPart:
        return msgs.SnapshotPart(
            term=1,
            leader=B.instance,
            index=5,
            checksum=checksum,
            offset=offset,
            size=len(encoded),
            part=payload,
        )

    async def scenario() -> ReplicaState:
        state = new_state()
        follower = Follower(state)
        await follower.on_snapshot(snapshot_part(0, encoded, 123))
        assert state.commit == 0
        half = len(encoded) // 2
        await follower.on_snapshot(snapshot_part(0, encoded[:half], 0))
        reply = await follower.on_snapshot(
            snapshot_part(half + 1, encoded[half:], 0)
        )
        assert not reply.is_matching
        assert state.commit == 0
        return state

    assert anyio.run(scenario).log.last_index == 0


def test_only_a_leader_accepts_proposals() -> None:
    async def scenario() -> None:
        replica = new_replica(_unreachable, ManualClock())
        with pytest.raises(NotLeaderError):
            await replica.propose(b'x')

    anyio.run(scenario)


def test_pending_proposal_fails_when_its_leader_is_cancelled() -> None:
    async def scenario() -> None:
        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            if isinstance(req, msgs.VoteRequest):
                term = req.term - req.is_pre_vote
                return msgs.VoteReply(term, Member(target, '0'), True)
            await anyio.sleep_forever()
            raise PeerError('unreachable')

        async def propose() -> None:
            with anyio.CancelScope(shield=True):
                with pytest.raises(LeadershipLostError):
                    await replica.propose(b'x')

        clock = ManualClock()
        replica = new_replica(send, clock)
        async with anyio.create_task_group() as tasks:
            await start_campaign(replica, clock, tasks)
            assert replica.role is Role.LEADER
            tasks.start_soon(propose)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


async def _unreachable(target: InstanceId, req: msgs.Request) -> msgs.Reply:
    raise PeerError('unreachable')


def next_change(
    members: Members, progress: Progress, *spares: Member, dead_ms: int = 0
) -> Members | None:
    return next_membership_change(
        members,
        progress,
        me=A,
        commit=5,
        failed_since_ms=dead_ms,
        spares=spares,
    )


def test_complete_group_is_not_changed() -> None:
    assert next_change(ALL, progress_of(a=5, b=5, c=5), D) is None


def test_failed_voter_is_removed_before_a_new_one_is_added() -> None:
    progress = progress_of(a=5, b=5, c=5)
    progress.peers[B.instance].last_contact_ms = 100
    progress.peers[C.instance].last_contact_ms = 10
    without = next_change(ALL, progress, D, dead_ms=50)
    assert without == Members((A, B))
    progress.peers.pop(C.instance)
    assert next_change(Members((A, B)), progress, D) == Members((A, B), (D,))


def test_failed_voter_stays_while_there_is_no_spare() -> None:
    assert next_change(ALL, progress_of(a=5, b=5, c=5), dead_ms=50) is None


def test_voter_that_lost_its_state_is_removed() -> None:
    progress = progress_of(a=5, b=5, c=5)
    progress.peers[B.instance].replica = Member(B.instance, '1')
    assert next_change(ALL, progress) == Members((A, C))


def test_learner_is_promoted_only_once_it_has_caught_up() -> None:
    members = Members((A, B), (C,))
    assert next_change(members, progress_of(a=5, b=5, c=4)) is None
    assert next_change(members, progress_of(a=5, b=5, c=5)) == ALL


def test_deposed_leader_sends_nothing_in_the_new_term() -> None:
    async def scenario() -> set[int]:
        terms = set()

        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            if isinstance(req, msgs.VoteRequest):
                term = req.term - req.is_pre_vote
                is_granted = req.term == 1
                return msgs.VoteReply(term, Member(target, '0'), is_granted)
            assert isinstance(req, msgs.AppendRequest)
            terms.add(req.term)
            if target == C.instance:
                return msgs.AppendReply(7, C, False, 0)
            match = req.previous_index + len(req.entries)
            return msgs.AppendReply(req.term, B, True, match)

        clock = ManualClock()
        replica = new_replica(send, clock)
        async with anyio.create_task_group() as tasks:
            await start_campaign(replica, clock, tasks)
            assert replica.term == 7
            tasks.cancel_scope.cancel()
        return terms

    assert anyio.run(scenario) == {1}


def test_deposed_leader_campaigns_again_without_waiting() -> None:
    async def scenario() -> set[int]:
        terms = set()

        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            if isinstance(req, msgs.VoteRequest):
                term = req.term - req.is_pre_vote
                return msgs.VoteReply(term, Member(target, '0'), True)
            assert isinstance(req, msgs.AppendRequest)
            terms.add(req.term)
            # A candidate that lost its election has a later term.
            term = max(req.term, 7)
            match = req.previous_index + len(req.entries)
            return msgs.AppendReply(term, Member(target, '0'), True, match)

        clock = ManualClock()
        replica = new_replica(send, clock)
        async with anyio.create_task_group() as tasks:
            # The clock does not advance after the first election.
            await start_campaign(replica, clock, tasks)
            assert replica.role is Role.LEADER
            assert replica.term == 8
            tasks.cancel_scope.cancel()
        return terms

    assert anyio.run(scenario) == {1, 8}


def pre_vote_request(candidate: Member, term: int) -> msgs.VoteRequest:
    return msgs.VoteRequest(
        term=term,
        candidate=candidate.instance,
        last_index=0,
        last_term=0,
        is_pre_vote=True,
        is_handover=False,
    )


def test_vote_is_granted_only_to_the_leader_while_it_is_alive() -> None:
    async def scenario() -> list[bool]:
        replica = new_replica(_unreachable, ManualClock())
        await replica.handle(append(1))
        replies = [
            await replica.handle(pre_vote_request(candidate, 3))
            for candidate in (B, C)
        ]
        return [
            isinstance(reply, msgs.VoteReply) and reply.is_granted
            for reply in replies
        ]

    assert anyio.run(scenario) == [True, False]


def test_leader_that_sends_during_a_pre_vote_is_not_deposed() -> None:
    async def scenario() -> int:
        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            assert isinstance(req, msgs.VoteRequest)
            assert req.is_pre_vote
            await replica.handle(append(1))
            return msgs.VoteReply(1, Member(target, '0'), True)

        clock = ManualClock()
        replica = new_replica(send, clock)
        async with anyio.create_task_group() as tasks:
            await start_campaign(replica, clock, tasks)
            tasks.cancel_scope.cancel()
        return replica.term

    assert anyio.run(scenario) == 1


@pytest.mark.parametrize('is_asked', [True, False])
def test_leader_goes_on_when_leadership_transfer_fails(is_asked: bool) -> None:
    async def scenario() -> bool:
        async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
            if isinstance(req, msgs.VoteRequest):
                term = req.term - req.is_pre_vote
                return msgs.VoteReply(term, Member(target, '0'), True)
            if isinstance(req, msgs.HandoverRequest):
                if is_asked:
                    return msgs.AppendReply(1, B, False, 0)
                raise PeerError('gone')
            assert isinstance(req, msgs.AppendRequest)
            match = req.previous_index + len(req.entries)
            return msgs.AppendReply(1, Member(target, '0'), True, match)

        clock = ManualClock()
        replica = new_replica(send, clock)
        async with anyio.create_task_group() as tasks:
            await start_campaign(replica, clock, tasks)
            tasks.start_soon(replica.transfer_leadership)
            await anyio.wait_all_tasks_blocked()
            assert replica.is_ready is not is_asked
            clock.advance(Timing().election_ms)
            await anyio.wait_all_tasks_blocked()
            is_ready = replica.is_ready
            tasks.cancel_scope.cancel()
        return is_ready

    assert anyio.run(scenario)
