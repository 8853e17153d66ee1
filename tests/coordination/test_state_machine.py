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
    state_machine = ControlStateMachine(_noop, _noop)
    for command in commands:
        state_machine.apply(encode(command))
    return state_machine


def test_table_is_stored_only_with_a_higher_version() -> None:
    state_machine = state_machine_after(
        StoreTable(3, b'three'), StoreTable(2, b'two'), StoreTable(3, b'other')
    )
    assert state_machine.apply(encode(ReadState())) == StateReply(3, b'three')


def test_first_seed_of_the_ledger_is_kept() -> None:
    first = Member(InstanceId('a'), '1')
    state_machine = state_machine_after(
        SeedLedger(first), SeedLedger(Member(InstanceId('b'), '1'))
    )
    assert state_machine.state.ledger_seed == first


def test_snapshot_restores_the_whole_state() -> None:
    state_machine = state_machine_after(
        StoreTable(3, b'three'),
        SeedLedger(Member(InstanceId('a'), '1')),
        Retire(build.node('s-1')),
        StoreRates({'w': RateCheckpoint(2.5, 3)}),
    )
    restored = ControlStateMachine(_noop, _noop)
    restored.restore(state_machine.snapshot())
    assert restored.state == state_machine.state
