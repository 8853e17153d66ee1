"""Documents are accepted in order and never go back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.control.changes import next_control_change
from acaciaramp.control.state_machine import (
    DocumentsMachine,
    Judgement,
    Outcome,
    encode_document,
)
from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.progress import Peer, Progress
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.documents.model import Document

A, B, C, D = (Member(InstanceId(name), '0') for name in 'abcd')


class Bench:
    """A machine and the revisions that came into force."""

    def __init__(self) -> None:
        self.in_force: list[int] = []
        self.machine = DocumentsMachine(self._take)

    def apply(self, **changes: object) -> Outcome:
        document = build.document(**changes)
        judgement = self.machine.apply(encode_document(document, 1))
        assert isinstance(judgement, Judgement)
        return judgement.outcome

    def _take(self, document: Document) -> None:
        self.in_force.append(document.revision)


def test_equal_revision_and_content_is_the_same_success() -> None:
    bench = Bench()
    assert bench.apply(revision=1) is Outcome.ACCEPTED
    assert bench.apply(revision=1) is Outcome.SAME
    assert bench.apply(revision=1, retention_s=5) is Outcome.CONFLICT
    assert bench.in_force == [1]


def test_another_environment_is_refused() -> None:
    bench = Bench()
    bench.apply(revision=1)
    assert bench.apply(revision=2, environment='other') is Outcome.CONFLICT


@given(st.lists(st.tuples(st.integers(1, 6), st.integers(1, 3)), max_size=20))
def test_revisions_only_rise_by_one(steps: list[tuple[int, int]]) -> None:
    bench = Bench()
    bench.apply(revision=1)
    for revision, retention_s in steps:
        bench.apply(revision=revision, retention_s=retention_s)
    assert bench.in_force == list(range(1, len(bench.in_force) + 1))


def test_snapshot_brings_the_newest_into_force() -> None:
    bench = Bench()
    bench.apply(revision=1)
    bench.apply(revision=2)
    copy = Bench()
    copy.machine.restore(bench.machine.snapshot())
    assert copy.in_force == [2]
    assert copy.apply(revision=1) is Outcome.CONFLICT


def progress_of(**heard_ms: int) -> Progress:
    progress = Progress(A)
    for name, at_ms in heard_ms.items():
        peer = Peer(1, at_ms)
        peer.match_index = 5
        peer.replica = Member(InstanceId(name), '0')
        progress.peers[InstanceId(name)] = peer
    return progress


def change(
    members: Members, progress: Progress, *outside: Member
) -> Members | None:
    return next_control_change(
        members,
        progress,
        me=A,
        commit=5,
        dead_since_ms=50,
        outside=outside,
    )


def test_every_instance_becomes_a_learner_and_three_vote() -> None:
    progress = progress_of(b=90, c=90, d=90)
    assert change(Members((A,)), progress, B) == Members((A,), (B,))
    assert change(Members((A,), (B,)), progress) == Members((A, B))
    whole = Members((A, B, C), (D,))
    assert change(whole, progress) is None


def test_dead_voter_gives_way_to_a_learner() -> None:
    progress = progress_of(b=10, c=90, d=90)
    assert change(Members((A, B, C), (D,)), progress) == Members((A, C), (D,))
    assert change(Members((A, C), (D,)), progress) == Members((A, C, D))


def test_dead_voter_stays_while_no_learner_is_alive() -> None:
    progress = progress_of(b=10, c=90, d=10)
    assert change(Members((A, B, C), (D,)), progress) is None
