"""The highest version of a table is kept as it was sent."""

from __future__ import annotations

from acaciaramp.coordination.codec import encode
from acaciaramp.coordination.messages import (
    RateLevel,
    ReadState,
    Retire,
    SeedLedger,
    StateReply,
    StoreRates,
    StoreTable,
)
from acaciaramp.coordination.state_machine import ControlMachine
from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member
from tests import builders as build


def _ignore() -> None:
    """Take no note."""


def machine(*commands: object) -> ControlMachine:
    found = ControlMachine(_ignore, _ignore)
    for command in commands:
        found.apply(encode(command))
    return found


def test_a_table_is_stored_once_under_its_version() -> None:
    found = machine(
        StoreTable(3, b'three'), StoreTable(2, b'two'), StoreTable(3, b'other')
    )
    assert found.apply(encode(ReadState())) == StateReply(3, b'three')


def test_the_first_seed_of_the_ledger_counts() -> None:
    first = Member(InstanceId('a'), '1')
    found = machine(SeedLedger(first), SeedLedger(Member(InstanceId('b'), '1')))
    assert found.state.ledger_seed == first


def test_a_snapshot_holds_everything() -> None:
    found = machine(
        StoreTable(3, b'three'),
        SeedLedger(Member(InstanceId('a'), '1')),
        Retire(build.node('s-1')),
        StoreRates({'w': RateLevel(2.5, 3)}),
    )
    again = ControlMachine(_ignore, _ignore)
    again.restore(found.snapshot())
    assert again.state == found.state
