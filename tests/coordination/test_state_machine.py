"""Commands change the replicated state once, and snapshots restore it."""

from __future__ import annotations

import json

import pytest

from acaciaramp.coordination.codec import encode, pack_table, unpack_table
from acaciaramp.coordination.messages import (
    Evacuate,
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
from acaciaramp.routing.checks import InvalidTableError
from tests import builders as build


def state_machine_after(*commands: object) -> ControlStateMachine:
    state_machine = ControlStateMachine()
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
        StoreRates({'w': RateCheckpoint(2, (3, 0))}),
        Evacuate('north'),
    )
    restored = ControlStateMachine()
    restored.restore(state_machine.snapshot())
    assert restored.state == state_machine.state


def test_large_table_is_sent_in_a_small_part_of_its_size() -> None:
    routes = [
        {
            'name': f'r-{number}',
            'host': 'example.test',
            'pathPrefix': f'/p{number}/',
            'timeoutMs': 3000,
            'service': 'conseil-lm',
            'maxAttempts': 1,
        }
        for number in range(1_400)
    ]
    body = json.dumps({'version': 7, 'routes': routes}).encode()
    packed = pack_table(body)
    assert unpack_table(packed) == body
    # 85 instances of a region get it within a second over 75 Mbit/s.
    assert 85 * len(packed) < 75_000_000 / 8


def test_table_of_an_earlier_build_is_not_compressed() -> None:
    assert unpack_table(b'{"version":1}') == b'{"version":1}'


def test_damaged_table_is_invalid() -> None:
    with pytest.raises(InvalidTableError):
        unpack_table(pack_table(b'{"version":1}')[:-4])


def test_only_reads_return_the_table() -> None:
    state_machine = state_machine_after(StoreTable(3, b'three'))
    stored = state_machine.apply(encode(StoreTable(4, b'four')))
    assert stored == StateReply(4, b'')
    assert state_machine.apply(encode(ReadState())) == StateReply(4, b'four')


def test_evacuations_begin_and_finish_once_in_the_order_of_the_log() -> None:
    state_machine = state_machine_after(
        Evacuate('south'),
        Evacuate('north'),
        Evacuate('north'),
        Evacuate('south', has_begun=False),
        Evacuate('south', has_begun=False),
    )
    assert state_machine.state.evacuated == {'north'}
