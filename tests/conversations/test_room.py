"""A ledger opens and stores no more turns than its instance has memory for.

Guards against stores that end over their memory while long turns are retained, and
against a ledger that stays full once its turns have expired.
"""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.conversations.ledger import EXPIRY_MARGIN_MS, Ledger
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    LedgerReply,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    TurnKey,
)
from acaciaramp.conversations.replica import LedgerReplica
from acaciaramp.conversations.room import (
    MAX_CHAIN_BYTES,
    LedgerRoom,
    RoomLimits,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId
from acaciaramp.metrics.client import Metrics
from tests import builders as build

MEMORY_MB = 160
LIMITS = RoomLimits.of_machine(MEMORY_MB)
LONG_BYTES = 600_000
SHORT_BYTES = 2_000
OPEN_MS = 6_000
RETENTION_MS = 60_000


class LeadingGroup:
    """A group whose replica leads and applies each command at once."""

    is_serving = True
    leads = True

    def __init__(self, ledger: Ledger) -> None:
        """Create the group of a ledger."""
        self.replica = self
        self.term = 1
        self._ledger = ledger

    async def propose_for_caller(self, payload: bytes) -> object:
        """Apply a command unless the leadership was lost."""
        if not self.leads:
            raise CallError(ErrorCode.NOT_LEADER, 'does not lead')
        return self._ledger.apply(payload)


class Store:
    """The leader of a ledger, whose room is that of a small machine.

    Attributes:
        clock: Its clock.
        group: Its group.
        ledger: The ledger.
        room: Its room.
        replica: Handles the requests.
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.clock = ManualClock(1)
        self.ledger = Ledger()
        self.room = LedgerRoom(LIMITS, self.clock)
        self.group = LeadingGroup(self.ledger)
        group: Any = self.group
        self.replica = LedgerReplica(
            group, self.ledger, self.room, self.clock, Metrics()
        )

    def handle(self, req: OpenTurn | CloseTurn) -> LedgerReply:
        """Send a request to the leader."""
        return anyio.run(self.replica.handle, req)

    def open(
        self, name: str, size: int, previous: str | None = None
    ) -> OpenOutcome:
        """Open a turn of a program of its own; return the outcome."""
        reply = self.handle(
            OpenTurn(
                turn=key(name),
                reservation=Reservation(
                    program=ProgramId(name), most_tokens=1, budget=10
                ),
                previous=previous,
                at_ms=1,
                lasts_ms=OPEN_MS,
                keeps_bytes=size,
            )
        )
        assert isinstance(reply, OpenReply)
        return reply.outcome

    def close(
        self, name: str, size: int, previous: str | None = None
    ) -> CloseReply:
        """Close a turn whose content has a size."""
        kept = RetainedTurn(
            previous=previous, content=size * b'x', until_ms=1 + RETENTION_MS
        )
        reply = self.handle(
            CloseTurn(
                turn=key(name), program=ProgramId(name), kept=kept, at_ms=1
            )
        )
        assert isinstance(reply, CloseReply)
        return reply

    def fill(self) -> int:
        """Store long turns until one is not opened; return their number."""
        count = 0
        while self.open(f'long-{count}', LONG_BYTES) is OpenOutcome.OPENED:
            assert self.close(f'long-{count}', LONG_BYTES).is_stored
            count += 1
        return count


def key(name: str) -> TurnKey:
    return TurnKey(build.WORKSPACE, name)


def test_long_turns_are_refused_before_short_ones() -> None:
    store = Store()
    count = store.fill()
    assert count == LIMITS.most_large_bytes // (LONG_BYTES + 1_024)
    assert store.room.held_bytes < LIMITS.most_bytes
    assert store.open('short', SHORT_BYTES) is OpenOutcome.OPENED
    assert store.close('short', SHORT_BYTES).is_stored


def test_open_turns_count_until_they_are_closed_or_overdue() -> None:
    store = Store()
    outcomes = [store.open(str(number), LONG_BYTES) for number in range(30)]
    opened = outcomes.count(OpenOutcome.OPENED)
    assert opened == LIMITS.most_large_bytes // (LONG_BYTES + 1_024)
    # A repeated command is no other turn.
    assert store.open('0', LONG_BYTES) is OpenOutcome.OPENED
    store.handle(CloseTurn(turn=key('0'), program=ProgramId('0'), at_ms=1))
    assert store.open('next', LONG_BYTES) is OpenOutcome.OPENED
    assert store.open('other', LONG_BYTES) is OpenOutcome.NO_ROOM
    store.clock.advance(OPEN_MS + 1)
    assert store.open('other', LONG_BYTES) is OpenOutcome.OPENED


def test_a_refused_turn_reserves_no_tokens() -> None:
    store = Store()
    store.fill()
    assert store.open('refused', LONG_BYTES) is OpenOutcome.NO_ROOM
    account = store.ledger.account(key('refused'), ProgramId('refused'))
    assert not account.spent


# Guards against tokens that stay reserved for a turn whose first reply was lost.
def test_a_turn_that_is_open_is_opened_again_without_room() -> None:
    store = Store()
    assert store.open('again', LONG_BYTES) is OpenOutcome.OPENED
    store.fill()
    store.clock.advance(OPEN_MS + 1)
    store.fill()
    assert store.open('other', LONG_BYTES) is OpenOutcome.NO_ROOM
    assert store.open('again', LONG_BYTES) is OpenOutcome.OPENED


# Guards against ordinary turns that are refused on the smallest storage machines: 70
# turns a second of 3 KB each, retained for 60 s, with their accounts and keys.
def test_ordinary_turns_of_a_grown_fleet_find_room() -> None:
    store = Store()
    for number in range(70 * (RETENTION_MS + EXPIRY_MARGIN_MS) // 1_000):
        name = str(number)
        assert store.open(name, SHORT_BYTES) is OpenOutcome.OPENED
        assert store.close(name, 3_000).is_stored


def test_expired_turns_make_room_though_all_turns_are_refused() -> None:
    store = Store()
    store.fill()
    store.clock.advance(RETENTION_MS + EXPIRY_MARGIN_MS + 1)
    assert store.open('early', LONG_BYTES) is OpenOutcome.NO_ROOM
    anyio.run(store.replica.sweep)
    assert store.room.held_bytes < LONG_BYTES
    assert store.open('late', LONG_BYTES) is OpenOutcome.OPENED


# Guards against a process that ends as its replica is deposed during a sweep.
def test_a_sweep_ends_quietly_if_the_leadership_is_lost() -> None:
    store = Store()
    store.fill()
    store.clock.advance(RETENTION_MS + EXPIRY_MARGIN_MS + 1)
    store.group.leads = False
    anyio.run(store.replica.sweep)
    assert store.room.held_bytes > LIMITS.most_large_bytes // 2


# Guards against a turn that is stored, and then called not stored as its command was
# sent again while the ledger had become full.
def test_a_command_that_was_sent_again_needs_no_room() -> None:
    store = Store()
    store.fill()
    stored = 0
    while store.close(f'more-{stored}', LONG_BYTES).is_stored:
        stored += 1
    assert store.close('more-0', LONG_BYTES).is_stored


def test_nothing_is_swept_before_it_expires() -> None:
    store = Store()
    count = store.fill()
    store.clock.advance(RETENTION_MS)
    anyio.run(store.replica.sweep)
    assert store.open('next', SHORT_BYTES) is OpenOutcome.OPENED
    assert store.ledger.chain_of(key(f'long-{count - 1}')) is not None


# Entries of the landed build do not say what they are going to store.
def test_a_turn_that_was_not_announced_is_settled_if_it_finds_no_room() -> None:
    store = Store()
    stored = 0
    while True:
        name = f'unannounced-{stored}'
        assert store.open(name, 0) is OpenOutcome.OPENED
        reply = store.close(name, LONG_BYTES)
        if not reply.is_stored:
            break
        stored += 1
    assert not reply.has_room
    assert not store.ledger.account(key(name), ProgramId(name)).reserved
    assert store.room.held_bytes <= 1.25 * LIMITS.most_bytes


def test_a_single_turn_of_any_size_is_stored() -> None:
    store = Store()
    size = LIMITS.most_large_bytes + 1
    assert store.open('huge', size) is OpenOutcome.OPENED
    assert store.close('huge', size).is_stored


def test_a_chain_that_is_too_long_is_refused() -> None:
    store = Store()
    half = MAX_CHAIN_BYTES // 2
    assert store.close('a', half).is_stored
    assert store.close('b', half, 'a').is_stored
    assert store.open('c', SHORT_BYTES, 'b') is OpenOutcome.OPENED
    assert store.close('c', 1, 'b').is_stored
    assert store.open('d', SHORT_BYTES, 'c') is OpenOutcome.TOO_LONG


@pytest.mark.parametrize(
    ('factor', 'may_compact'), [(2, True), (2.1, False)], ids=str
)
def test_a_state_that_is_too_large_is_not_compacted(
    factor: float, may_compact: bool
) -> None:
    store = Store()
    overhead = store.room.held_bytes
    payload = RetainedTurn(
        previous=None,
        content=int(factor * LIMITS.most_large_bytes) * b'x',
        until_ms=RETENTION_MS,
    )
    store.handle(CloseTurn(turn=key('huge'), kept=payload, at_ms=1))
    assert not overhead
    assert store.room.may_compact() is may_compact


def test_a_restored_ledger_holds_what_the_original_one_does() -> None:
    store = Store()
    store.fill()
    store.close('short', SHORT_BYTES)
    restored = Ledger()
    restored.restore(store.ledger.snapshot())
    assert restored.held_bytes == store.ledger.held_bytes
    assert restored.large_bytes == store.ledger.large_bytes
    restored.restore(b'')
    assert not restored.held_bytes
