"""TurnManager counts pending settlements, and bounds the commits under way."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import msgspec
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.conversations import turns as turns_module
from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.messages import CloseReply, CloseTurn, TurnKey
from acaciaramp.conversations.turns import (
    OpenedTurn,
    TurnManager,
    TurnPlan,
    TurnResult,
)
from acaciaramp.errors import CallError
from acaciaramp.ids import ProgramId
from acaciaramp.peering.framing import FrameRoom
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.conversations.client import LedgerClient

PLAN = TurnPlan(
    key=TurnKey(build.WORKSPACE, 'a'),
    program=ProgramId('program'),
    budget=100,
    most_tokens=30,
    previous=None,
    content=b'',
    retention_ms=0,
)


class SlowLedger:
    """A ledger whose replies wait until ``may_reply`` is set.

    Attributes:
        may_reply: Whether it replies.
        asked: Number of turns that it was asked to close.
    """

    def __init__(self) -> None:
        """Create the ledger."""
        self.may_reply = anyio.Event()
        self.asked = 0

    async def close_turn(self, req: CloseTurn, wait_ms: int) -> CloseReply:
        """Close a turn once ``may_reply`` is set."""
        self.asked += 1
        await self.may_reply.wait()
        return CloseReply()


LARGE_PLAN = msgspec.structs.replace(
    PLAN, content=100_000 * b'x', retention_ms=1
)
RESULT = TurnResult(tokens=1, output=b'')


def test_a_settlement_is_pending_until_the_ledger_replies() -> None:
    async def scenario() -> list[int]:
        ledger = SlowLedger()
        async with anyio.create_task_group() as tasks:
            turns = TurnManager(
                cast('LedgerClient', ledger), ChainCache(), SystemClock(), tasks
            )
            turns.release(PLAN)
            await anyio.wait_all_tasks_blocked()
            pending = [turns.pending_settlements]
            ledger.may_reply.set()
            await anyio.wait_all_tasks_blocked()
        return [*pending, turns.pending_settlements]

    assert anyio.run(scenario) == [1, 0]


# Guards against contents that are held several times, each by a turn of its own.
def test_large_turns_are_committed_one_after_the_other() -> None:
    async def scenario() -> list[int]:
        ledger = SlowLedger()
        async with anyio.create_task_group() as tasks:
            turns = TurnManager(
                cast('LedgerClient', ledger),
                ChainCache(),
                SystemClock(),
                tasks,
                commits=FrameRoom(150_000),
            )
            for plan in (LARGE_PLAN, LARGE_PLAN, PLAN):
                turn = OpenedTurn(plan, b'', is_new=True)
                tasks.start_soon(turns.commit, turn, RESULT)
            await anyio.wait_all_tasks_blocked()
            asked = [ledger.asked]
            ledger.may_reply.set()
        return [*asked, ledger.asked]

    assert anyio.run(scenario) == [2, 3]


# Guards against a turn that waits for others without an end.
def test_a_large_turn_that_gets_no_room_in_time_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(turns_module, '_ROOM_TIMEOUT_MS', 10)

    async def scenario() -> None:
        room = FrameRoom(150_000)
        size = len(LARGE_PLAN.content)
        async with anyio.create_task_group() as tasks, room.taken(size):
            turns = TurnManager(
                cast('LedgerClient', SlowLedger()),
                ChainCache(),
                SystemClock(),
                tasks,
                commits=room,
            )
            turn = OpenedTurn(LARGE_PLAN, b'', is_new=True)
            with pytest.raises(CallError, match='other large turns'):
                await turns.commit(turn, RESULT)

    anyio.run(scenario)
