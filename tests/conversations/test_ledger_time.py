"""Wall clocks that jump neither drop state of the ledger early nor keep it."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.conversations.ledger import (
    ACCOUNT_RETENTION_MS,
    EXPIRY_MARGIN_MS,
    SWEEP_INTERVAL_COMMANDS,
    Ledger,
)
from acaciaramp.conversations.messages import (
    BegunStream,
    CloseReply,
    CloseTurn,
    LedgerReply,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    StreamOrigin,
    TurnKey,
)
from acaciaramp.conversations.replica import LedgerReplica
from acaciaramp.conversations.room import LedgerRoom, RoomLimits
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId
from acaciaramp.metrics.client import Metrics
from tests import builders as build

WALL_MS = 1_700_000_000_000
RETENTION_MS = 60_000
JUMP_MS = 30_000
PROGRAM = ProgramId('program')
BUDGET = Reservation(program=PROGRAM, most_tokens=60, budget=100)


class LeadingGroup:
    """A group that commits each command at once.

    Attributes:
        ledger: The state machine.
        replica: The group itself, for its term.
        term: The term in which it leads.
        is_serving: Whether it accepts commands.
    """

    def __init__(self) -> None:
        """Create a group that leads in its first term."""
        self.ledger = Ledger()
        self.replica = self
        self.term = 1
        self.is_serving = True

    async def propose_for_caller(self, payload: bytes) -> object:
        """Apply a command if it accepts one."""
        if not self.is_serving:
            raise CallError(ErrorCode.NOT_LEADER, 'does not lead')
        return self.ledger.apply(payload)


class Scene:
    """A ledger whose senders have wall clocks of their own.

    Attributes:
        clock: The monotonic clock of the leader.
        group: The group of the leader.
    """

    def __init__(self) -> None:
        """Create a ledger that has taken no command."""
        self.clock = ManualClock()
        self.group = LeadingGroup()
        self._replica = self._make_replica()

    def change_leader(self) -> None:
        """Let another storage instance lead, whose clock starts anew."""
        self.clock = ManualClock()
        self.group.term += 1
        self._replica = self._make_replica()

    def send(self, req: OpenTurn | CloseTurn) -> LedgerReply:
        """Send a command to the leader."""
        return anyio.run(self._replica.handle, req)

    def keep(self, attempt: str, wall_ms: int) -> None:
        """Store a turn by an entry whose wall clock shows a time."""
        kept = RetainedTurn(
            previous=None, content=b'x', until_ms=wall_ms + RETENTION_MS
        )
        reply = self.send(
            CloseTurn(turn=key(attempt), kept=kept, at_ms=wall_ms)
        )
        assert isinstance(reply, CloseReply)
        assert reply.is_stored

    def knows(self, attempt: str, wall_ms: int) -> bool:
        """Return whether a turn is stored, after a sweep at a wall time."""
        for number in range(SWEEP_INTERVAL_COMMANDS):
            self.send(CloseTurn(turn=key(f'sweep-{number}'), at_ms=wall_ms))
        reply = self.send(
            OpenTurn(turn=key('next'), previous=attempt, at_ms=wall_ms)
        )
        assert isinstance(reply, OpenReply)
        return reply.outcome is OpenOutcome.OPENED

    def _make_replica(self) -> LedgerReplica:
        room = LedgerRoom(RoomLimits.of_machine(None), self.clock)
        return LedgerReplica(
            self.group,  # type: ignore[arg-type]
            self.group.ledger,
            room,
            self.clock,
            Metrics(),
        )


def key(attempt: str) -> TurnKey:
    return TurnKey(build.WORKSPACE, attempt)


def test_turn_outlives_the_jump_of_another_entry() -> None:
    scene = Scene()
    scene.keep('a', WALL_MS)
    scene.clock.advance(RETENTION_MS - EXPIRY_MARGIN_MS)
    ahead_ms = WALL_MS + RETENTION_MS - EXPIRY_MARGIN_MS + JUMP_MS
    assert scene.knows('a', ahead_ms)


@pytest.mark.parametrize('jump_ms', [-JUMP_MS, JUMP_MS])
def test_turn_is_kept_just_as_long_if_its_own_entry_has_jumped(
    jump_ms: int,
) -> None:
    scene = Scene()
    scene.keep('first', WALL_MS)
    scene.keep('a', WALL_MS + jump_ms)
    scene.clock.advance(RETENTION_MS)
    assert scene.knows('a', WALL_MS + RETENTION_MS)
    scene.clock.advance(EXPIRY_MARGIN_MS + 1)
    assert not scene.knows('a', WALL_MS + RETENTION_MS + EXPIRY_MARGIN_MS + 1)


def test_time_goes_on_at_the_next_leader() -> None:
    scene = Scene()
    scene.keep('a', WALL_MS)
    scene.clock.advance(RETENTION_MS - 1)
    assert scene.knows('a', WALL_MS)
    scene.change_leader()
    scene.keep('b', WALL_MS)
    scene.clock.advance(2 * EXPIRY_MARGIN_MS)
    assert not scene.knows('a', WALL_MS)
    assert scene.knows('b', WALL_MS)


def test_command_before_the_leader_is_ready_does_not_set_the_time() -> None:
    # A leader that has just started has not applied its log yet.
    scene = Scene()
    scene.keep('a', WALL_MS)
    scene.clock.advance(RETENTION_MS - 1)
    state = scene.group.ledger.snapshot()
    scene.group.ledger.restore(b'')
    scene.group.is_serving = False
    scene.change_leader()
    with pytest.raises(CallError):
        scene.keep('refused', WALL_MS + 2 * RETENTION_MS)
    scene.group.ledger.restore(state)
    scene.group.is_serving = True
    assert scene.knows('a', WALL_MS)


def test_account_outlives_a_jump_longer_than_its_retention() -> None:
    # A program whose account is dropped gets its whole budget again.
    scene = Scene()
    opened = scene.send(
        OpenTurn(turn=key('a'), reservation=BUDGET, at_ms=WALL_MS)
    )
    assert isinstance(opened, OpenReply)
    ahead_ms = WALL_MS + ACCOUNT_RETENTION_MS + 1
    scene.knows('none', ahead_ms)
    again = scene.send(
        OpenTurn(turn=key('b'), reservation=BUDGET, at_ms=ahead_ms)
    )
    assert isinstance(again, OpenReply)
    assert again.outcome is OpenOutcome.EXHAUSTED


def test_origin_of_a_stream_outlives_a_jump() -> None:
    scene = Scene()
    begun = BegunStream(
        origin=StreamOrigin(build.MODEL, '1'),
        number=1,
        until_ms=WALL_MS + RETENTION_MS,
    )
    scene.send(OpenTurn(turn=key('a'), begins=begun, at_ms=WALL_MS))
    ahead_ms = WALL_MS + RETENTION_MS + JUMP_MS
    scene.knows('none', ahead_ms)
    reply = scene.send(OpenTurn(turn=key('b'), resumes='a', at_ms=ahead_ms))
    assert isinstance(reply, OpenReply)
    assert reply.origin == begun.origin


def test_ledger_time_starts_at_the_wall_time_of_its_senders() -> None:
    # An instance of an earlier build that comes to lead compares both.
    scene = Scene()
    scene.keep('a', WALL_MS)
    state = msgspec.msgpack.decode(scene.group.ledger.snapshot())
    assert state['now_ms'] == WALL_MS
