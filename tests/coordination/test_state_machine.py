"""Commands change the replicated state once, and snapshots restore it."""

from __future__ import annotations

from acaciaramp.coordination.codec import encode
from acaciaramp.coordination.messages import (
    RateCheckpoint,
    ReadState,
    Retire,
    SeedLedger,
    StateReply,
    StoreRates,
    StoreTable,
)
from acaciaramp.coordination.state_machine import ControlStateMachine
from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member
from tests import builders as build


def _noop() -> None:
    """Do nothing on a change."""


def state_machine_after(*commands: object) -> ControlStateMachine:
    found = ControlStateMachine(_noop, _noop)
    for command in commands:
        found.apply(encode(command))
    return found


def test_table_is_stored_only_with_a_higher_version() -> None:
    found = state_machine_after(
        StoreTable(3, b'three'), StoreTable(2, b'two'), StoreTable(3, b'other')
    )
    assert found.apply(encode(ReadState())) == StateReply(3, b'three')


def test_first_seed_of_the_ledger_is_kept() -> None:
    first = Member(InstanceId('a'), '1')
    found = state_machine_after(
        SeedLedger(first), SeedLedger(Member(InstanceId('b'), '1'))
    )
    assert found.state.ledger_seed == first


def test_snapshot_restores_the_whole_state() -> None:
    found = state_machine_after(
        StoreTable(3, b'three'),
        SeedLedger(Member(InstanceId('a'), '1')),
        Retire(build.node('s-1')),
        StoreRates({'w': RateCheckpoint(2.5, 3)}),
    )
    restored = ControlStateMachine(_noop, _noop)
    restored.restore(found.snapshot())
    assert restored.state == found.state
