"""Tests of the acceptance of documents and of the group's membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.control.membership import next_control_membership
from acaciaramp.control.state_machine import (
    DocumentStateMachine,
    ProposalOutcome,
    ProposalResult,
    encode_proposal,
)
from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.progress import Peer, Progress
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.documents.model import Document

A, B, C, D = (Member(InstanceId(name), '0') for name in 'abcd')


class RecordingStateMachine:
    """A state machine and the revisions that came into force, in order."""

    def __init__(self) -> None:
        self.in_force: list[int] = []
        self.state_machine = DocumentStateMachine(self._on_document)

    def apply(self, **changes: object) -> ProposalOutcome:
        """Propose a default document with some fields changed."""
        document = build.document(**changes)
        result = self.state_machine.apply(encode_proposal(document, 1))
        assert isinstance(result, ProposalResult)
        return result.outcome

    def _on_document(self, document: Document) -> None:
        self.in_force.append(document.revision)


def test_revision_in_force_is_accepted_only_with_equal_content() -> None:
    machine = RecordingStateMachine()
    assert machine.apply(revision=1) is ProposalOutcome.ACCEPTED
    assert machine.apply(revision=1) is ProposalOutcome.SAME
    assert machine.apply(revision=1, retention_s=5) is ProposalOutcome.CONFLICT
    assert machine.in_force == [1]


def test_another_environment_conflicts() -> None:
    machine = RecordingStateMachine()
    machine.apply(revision=1)
    assert (
        machine.apply(revision=2, environment='other')
        is ProposalOutcome.CONFLICT
    )


@given(st.lists(st.tuples(st.integers(1, 6), st.integers(1, 3)), max_size=20))
def test_revisions_only_rise_by_one(steps: list[tuple[int, int]]) -> None:
    machine = RecordingStateMachine()
    machine.apply(revision=1)
    for revision, retention_s in steps:
        machine.apply(revision=revision, retention_s=retention_s)
    assert machine.in_force == list(range(1, len(machine.in_force) + 1))


def test_restored_snapshot_puts_the_newest_document_into_force() -> None:
    machine = RecordingStateMachine()
    machine.apply(revision=1)
    machine.apply(revision=2)
    restored = RecordingStateMachine()
    restored.state_machine.restore(machine.state_machine.snapshot())
    assert restored.in_force == [2]
    assert restored.apply(revision=1) is ProposalOutcome.CONFLICT


def make_progress(**contact_ms: int) -> Progress:
    """Return progress with the times of the last contact to the instances."""
    progress = Progress(A)
    for name, at_ms in contact_ms.items():
        peer = Peer(1, at_ms)
        peer.match_index = 5
        peer.replica = Member(InstanceId(name), '0')
        progress.peers[InstanceId(name)] = peer
    return progress


def next_members(
    members: Members, progress: Progress, *non_members: Member
) -> Members | None:
    """Return the next members; no contact since 50 ms counts as failure."""
    return next_control_membership(
        members,
        progress,
        me=A,
        commit=5,
        dead_since_ms=50,
        non_members=non_members,
    )


def test_every_instance_becomes_a_learner_and_three_vote() -> None:
    progress = make_progress(b=90, c=90, d=90)
    assert next_members(Members((A,)), progress, B) == Members((A,), (B,))
    assert next_members(Members((A,), (B,)), progress) == Members((A, B))
    complete = Members((A, B, C), (D,))
    assert next_members(complete, progress) is None


def test_live_learner_replaces_a_dead_voter() -> None:
    progress = make_progress(b=10, c=90, d=90)
    assert next_members(Members((A, B, C), (D,)), progress) == Members(
        (A, C), (D,)
    )
    assert next_members(Members((A, C), (D,)), progress) == Members((A, C, D))


def test_dead_voter_stays_while_no_learner_is_alive() -> None:
    progress = make_progress(b=10, c=90, d=10)
    assert next_members(Members((A, B, C), (D,)), progress) is None
