"""TurnManager counts the settlements that are still pending."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.messages import CloseTurn, TurnKey
from acaciaramp.conversations.turns import TurnManager, TurnPlan
from acaciaramp.ids import ProgramId
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
    """A ledger whose replies wait until ``may_reply`` is set."""

    def __init__(self) -> None:
        """Create the ledger."""
        self.may_reply = anyio.Event()

    async def close_turn(self, req: CloseTurn, wait_ms: int) -> None:
        """Close a turn once ``may_reply`` is set."""
        await self.may_reply.wait()


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
