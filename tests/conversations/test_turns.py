"""An entry knows which turns it has yet to settle."""

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
    """A ledger that settles only when it is told to."""

    def __init__(self) -> None:
        """Create the ledger."""
        self.go_on = anyio.Event()

    async def close(self, req: CloseTurn, wait_ms: int) -> None:
        """End a turn."""
        await self.go_on.wait()


def test_a_turn_is_unsettled_until_the_ledger_has_answered() -> None:
    async def scenario() -> list[int]:
        ledger = SlowLedger()
        async with anyio.create_task_group() as tasks:
            turns = TurnManager(
                cast('LedgerClient', ledger), ChainCache(), SystemClock(), tasks
            )
            turns.give_back(PLAN)
            await anyio.wait_all_tasks_blocked()
            seen = [turns.pending_settlements]
            ledger.go_on.set()
            await anyio.wait_all_tasks_blocked()
        return [*seen, turns.pending_settlements]

    assert anyio.run(scenario) == [1, 0]
