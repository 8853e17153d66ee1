"""Snapshots, views and reports of the landed build are understood, and back.

The bytes were written by commit 550e57d, those of crashes by ca34837.
"""

from __future__ import annotations

import msgspec

from acaciaramp.coordination.codec import decode_request, encode
from acaciaramp.coordination.messages import (
    CrashReport,
    FollowRequest,
    LedgerReplicaStatus,
    RateCheckpoint,
    View,
    ViewNumber,
)
from acaciaramp.coordination.state_machine import (
    ControlState,
    ControlStateMachine,
)
from acaciaramp.ids import AvailabilityZone, EndpointId, InstanceId
from acaciaramp.replication.members import Member
from tests import builders as build

STORAGE = InstanceId('s-1')
SEED = Member(STORAGE, '1')

LANDED_SNAPSHOT = bytes.fromhex(
    '85a776657273696f6e03a4626f6479c4027b7dab6c65646765725f7365656482a8696e73'
    '74616e6365a3732d31ab696e6361726e6174696f6ea131a87265746972696e6781ab6d61'
    '6368696e652d732d3186a8696e7374616e6365a3732d31a46e616d65ab6d616368696e65'
    '2d732d31a4726f6c65a773746f72616765b1617661696c6162696c6974795f7a6f6e65a5'
    '6e6f727468a6726567696f6ea465617374a372756ea131a5726174657381a17782a9616c'
    '6c6f77616e636502a662795f616765920300'
)
LANDED_VIEW = bytes.fromhex(
    '8aa8636f6e74726f6c7391a3632d31a7656e747269657391a36e2d31ab656e7472795f7a'
    '6f6e657391a56e6f727468a873746f726167657391a3732d31ad6c65646765725f766f74'
    '65727391a3732d31ab6c65646765725f7365656482a8696e7374616e6365a3732d31ab69'
    '6e6361726e6174696f6ea131a87265746972696e6791a3732d31a9656e64706f696e7473'
    '9189a26964a3652d31a773657276696365a56d6f64656ca4686f7374a93132372e302e30'
    '2e31a4706f727401b1617661696c6162696c6974795f7a6f6e65a56e6f727468a5736c6f'
    '747304aa69735f6c656176696e67c2a7626f726e5f6d7305a776657273696f6ea27631ab'
    '71756172616e74696e656491a164aa69735f736574746c6564c3'
)
LANDED_REPORT = bytes.fromhex(
    '85a474797065ad466f6c6c6f7752657175657374a46e6f646586a8696e7374616e6365a3'
    '732d31a46e616d65ab6d616368696e652d732d31a4726f6c65a773746f72616765b16176'
    '61696c6162696c6974795f7a6f6e65a56e6f727468a6726567696f6ea465617374a37275'
    '6ea131a776657273696f6e03a66e756d62657282a47465726d01a5636f756e7402a66c65'
    '6467657283a77265706c69636182a8696e7374616e6365a3732d31ab696e6361726e6174'
    '696f6ea131a969735f6c6561646572c3a6766f7465727391a3732d31'
)
LANDED_CRASH = bytes.fromhex(
    '83a474797065ab43726173685265706f7274a6646967657374a164a8656e64706f696e74a1'
    '65'
)


class LandedCrashReport(msgspec.Struct, frozen=True, tag='CrashReport'):
    """``CrashReport`` as the landed build decodes it."""

    digest: str
    endpoint: str


class LandedState(msgspec.Struct, kw_only=True):
    """``ControlState`` as the landed build decodes it."""

    version: int = 0
    body: bytes = b''
    ledger_seed: Member | None = None
    rates: dict[str, RateCheckpoint] = msgspec.field(default_factory=dict)


def test_snapshot_of_the_landed_build_is_restored() -> None:
    state_machine = ControlStateMachine()
    state_machine.restore(LANDED_SNAPSHOT)
    assert state_machine.state == ControlState(
        version=3,
        body=b'{}',
        ledger_seed=SEED,
        retiring={'machine-s-1': build.node('s-1')},
        rates={'w': RateCheckpoint(2, (3, 0))},
    )


def test_view_of_the_landed_build_is_understood() -> None:
    assert msgspec.msgpack.decode(LANDED_VIEW, type=View) == View(
        controls=(InstanceId('c-1'),),
        entries=(InstanceId('n-1'),),
        entry_zones=(AvailabilityZone('north'),),
        storages=(STORAGE,),
        ledger_voters=(STORAGE,),
        ledger_seed=SEED,
        retiring=(STORAGE,),
        endpoints=(
            build.listed_endpoint(service='model', born_ms=5, version='v1'),
        ),
        quarantined=('d',),
        is_settled=True,
    )


def test_report_of_the_landed_build_is_understood() -> None:
    assert decode_request(LANDED_REPORT) == FollowRequest(
        node=build.node('s-1'),
        version=3,
        number=ViewNumber(1, 2),
        ledger=LedgerReplicaStatus(
            replica=SEED, is_leader=True, voters=(STORAGE,)
        ),
    )


def test_the_landed_build_ignores_the_new_fields_of_a_snapshot() -> None:
    state = ControlState(version=3, body=b'{}', ledger_seed=SEED)
    landed = msgspec.msgpack.decode(encode(state), type=LandedState)
    assert (landed.version, landed.ledger_seed) == (3, SEED)


def test_reports_of_crashes_are_understood_both_ways() -> None:
    endpoint = EndpointId('e')
    assert decode_request(LANDED_CRASH) == CrashReport('d', endpoint)
    report = encode(CrashReport('d', endpoint, born_ms=5))
    landed = msgspec.msgpack.decode(report, type=LandedCrashReport)
    assert landed == LandedCrashReport('d', 'e')
