"""Tests of the directory: it lists an instance while it keeps reporting."""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.directory import REPORT_EXPIRY_MS, Directory
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


def test_instance_without_recent_report_is_removed() -> None:
    clock = ManualClock()
    directory = Directory(clock)
    directory.record_report(
        FollowRequest(node=build.node('s-1'), ledger=LEADER)
    )
    clock.advance(REPORT_EXPIRY_MS)
    directory.record_report(FollowRequest(node=build.node('s-2')))
    assert directory.remove_expired() == []
    clock.advance(1)
    assert directory.remove_expired() == [build.node('s-1')]
    assert directory.nodes_with_role(RoleName.STORAGE) == (build.node('s-2'),)
    assert directory.ledger_voters() is None


def test_only_the_first_report_is_new() -> None:
    directory = Directory(ManualClock())
    report = FollowRequest(node=build.node('s-1'))
    assert directory.record_report(report)
    assert not directory.record_report(report)


def test_instance_is_found_by_its_name_and_not_by_its_address() -> None:
    directory = Directory(ManualClock())
    directory.record_report(FollowRequest(node=build.node('s-1')))
    assert directory.find_by_name('machine-s-1') == build.node('s-1')
    assert directory.find_by_name('s-1') is None
