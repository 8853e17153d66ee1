"""Instances are known by their reports, and forgotten without them."""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.directory import GONE_AFTER_MS, Directory
from acaciaramp.coordination.messages import FollowRequest, LedgerReplicaStatus
from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member
from acaciaramp.settings.node import RoleName
from tests import builders as build

LEADER = LedgerReplicaStatus(
    replica=Member(InstanceId('s-1'), '1'),
    is_leader=True,
    voters=(InstanceId('s-1'),),
)


def test_a_silent_instance_is_forgotten() -> None:
    clock = ManualClock()
    directory = Directory(clock)
    directory.take(FollowRequest(node=build.node('s-1'), ledger=LEADER))
    clock.advance(GONE_AFTER_MS)
    directory.take(FollowRequest(node=build.node('s-2')))
    assert directory.drop_silent() == []
    clock.advance(1)
    assert directory.drop_silent() == [build.node('s-1')]
    assert directory.nodes(RoleName.STORAGE) == (build.node('s-2'),)
    assert directory.ledger_voters() is None


def test_only_a_new_instance_is_new() -> None:
    directory = Directory(ManualClock())
    report = FollowRequest(node=build.node('s-1'))
    assert directory.take(report)
    assert not directory.take(report)


def test_operators_find_an_instance_by_its_name() -> None:
    directory = Directory(ManualClock())
    directory.take(FollowRequest(node=build.node('s-1')))
    assert directory.named('machine-s-1') == build.node('s-1')
    assert directory.named('s-1') is None
