"""Messages and snapshots of the landed build and of this one understand each other.

The bytes were written by commit 0e6e07f, those of later fields by ca34837.
"""

from __future__ import annotations

import msgspec

from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.messages import (
    BegunStream,
    CloseReply,
    CloseTurn,
    LedgerReply,
    LedgerRequest,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    StreamOrigin,
    TurnKey,
)
from acaciaramp.ids import ProgramId, ServiceName, WorkspaceId

KEY = TurnKey(WorkspaceId('w'), 'a2')
RESERVATION = Reservation(program=ProgramId('p'), most_tokens=30, budget=100)
KEPT = RetainedTurn(previous='a1', content=b'2', until_ms=1_000)

LANDED_OPEN_TURN = bytes.fromhex(
    '88a474797065a84f70656e5475726ea47475726e82a9776f726b7370616365a177a7617474'
    '656d7074a26132ab7265736572766174696f6e83a770726f6772616da170ab6d6f73745f74'
    '6f6b656e731ea662756467657464a870726576696f7573a26131a96861735f636861696ec3'
    'a561745f6d73cd0384a6626567696e7383a66f726967696e82a773657276696365a173a776'
    '657273696f6ea27631a66e756d62657201a8756e74696c5f6d7305a7726573756d6573a261'
    '30'
)
LANDED_CLOSE_TURN = bytes.fromhex(
    '87a474797065a9436c6f73655475726ea47475726e82a9776f726b7370616365a177a76174'
    '74656d7074a26132a770726f6772616da170a6746f6b656e7314a46b65707483a870726576'
    '696f7573a26131a7636f6e74656e74c40132a8756e74696c5f6d73cd03e8a561745f6d73cd'
    '03b6a8656e64706f696e74a165'
)
LANDED_CLOSE_REPLY = bytes.fromhex('81a474797065aa436c6f73655265706c79')
LANDED_OPEN_REPLY = bytes.fromhex(
    '88a474797065a94f70656e5265706c79a76f7574636f6d65a66f70656e6564a5636861696e'
    'c40131a57370656e741ea669735f6e6577c3a9756e6465725f77617900a8656e64706f696e'
    '74a165a66f726967696ec0'
)
LANDED_SNAPSHOT = bytes.fromhex(
    '86a66e6f775f6d73cd0384a57475726e739193a177a2613183a870726576696f7573c0a763'
    '6f6e74656e74c40131a8756e74696c5f6d73cd03e8a86163636f756e74739193a177a17084'
    'a7736574746c656400a8726573657276656481a261321eaa746f75636865645f6d73cd0384'
    'a8656e64706f696e74a0a5656e64656490a8636f6d6d616e647302a773747265616d7390'
)
LANDED_LASTING_TURN = bytes.fromhex(
    '89a474797065a84f70656e5475726ea47475726e82a9776f726b7370616365a177a7617474'
    '656d7074a26132ab7265736572766174696f6ec0a870726576696f7573a26131a96861735f'
    '636861696ec2a561745f6d73cd0384a6626567696e73c0a7726573756d6573c0a86c617374'
    '735f6d73cd1770'
)
LANDED_NOT_STORED = bytes.fromhex(
    '82a474797065aa436c6f73655265706c79a969735f73746f726564c2'
)


class LandedOpenTurn(msgspec.Struct, frozen=True, kw_only=True, tag='OpenTurn'):
    """``OpenTurn`` as the landed build decodes it."""

    turn: TurnKey
    reservation: Reservation | None = None
    previous: str | None = None
    has_chain: bool = False
    at_ms: int = 0
    begins: BegunStream | None = None
    resumes: str | None = None
    lasts_ms: int = 0


class LandedCloseReply(msgspec.Struct, frozen=True, tag='CloseReply'):
    """``CloseReply`` as the landed build decodes it."""

    is_stored: bool = True


def test_requests_of_the_landed_build_are_understood() -> None:
    decode = msgspec.msgpack.Decoder(LedgerRequest).decode
    assert decode(LANDED_OPEN_TURN) == OpenTurn(
        turn=KEY,
        reservation=RESERVATION,
        previous='a1',
        has_chain=True,
        at_ms=900,
        begins=BegunStream(
            origin=StreamOrigin(ServiceName('s'), 'v1'), number=1, until_ms=5
        ),
        resumes='a0',
    )
    assert decode(LANDED_CLOSE_TURN) == CloseTurn(
        turn=KEY,
        program=ProgramId('p'),
        tokens=20,
        kept=KEPT,
        at_ms=950,
        endpoint='e',
    )
    assert decode(LANDED_LASTING_TURN) == OpenTurn(
        turn=KEY, previous='a1', at_ms=900, lasts_ms=6_000
    )


def test_replies_of_the_landed_build_are_understood() -> None:
    decode = msgspec.msgpack.Decoder(LedgerReply).decode
    assert decode(LANDED_CLOSE_REPLY) == CloseReply(is_stored=True)
    assert decode(LANDED_NOT_STORED) == CloseReply(is_stored=False)
    assert decode(LANDED_OPEN_REPLY) == OpenReply(
        OpenOutcome.OPENED, b'1', 30, is_new=True, endpoint='e'
    )


def test_the_landed_build_understands_the_new_fields() -> None:
    opening = OpenTurn(
        turn=KEY, previous='a1', at_ms=900, lasts_ms=6_000, keeps_bytes=9
    )
    landed = msgspec.msgpack.decode(
        msgspec.msgpack.encode(opening), type=LandedOpenTurn
    )
    assert (landed.turn, landed.previous, landed.at_ms) == (KEY, 'a1', 900)
    assert landed.lasts_ms == 6_000
    reply = msgspec.msgpack.encode(CloseReply(is_stored=False, has_room=False))
    decoded = msgspec.msgpack.decode(reply, type=LandedCloseReply)
    assert not decoded.is_stored


def test_commands_and_snapshots_of_the_landed_build_are_applied() -> None:
    ledger = Ledger()
    ledger.restore(LANDED_SNAPSHOT)
    assert ledger.chain_of(TurnKey(KEY.workspace, 'a1')) == b'1'
    assert ledger.account(KEY, RESERVATION.program).spent == 30
    assert ledger.apply(LANDED_CLOSE_TURN) == CloseReply()
    assert ledger.chain_of(KEY) == b'12'
    assert ledger.account(KEY, RESERVATION.program).spent == 20
