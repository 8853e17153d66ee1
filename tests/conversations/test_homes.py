"""Turns bound to home regions are stored in these only, with exact budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.homes import HomeLedgers
from acaciaramp.conversations.messages import TurnKey
from acaciaramp.conversations.turns import TurnManager, TurnPlan, TurnResult
from acaciaramp.coordination.homes import HomeLedger, HomeSeed
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId, ProgramId
from acaciaramp.replication.members import Member
from tests import builders as build
from tests.forwarding.harness import LocalLedger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.conversations.client import LedgerClient
    from acaciaramp.peering.links import Links

SEED = HomeSeed(Member(InstanceId('s-1'), '1'), 1)
FAR = frozenset(('far',))
BODY = b'confidential'


class Homes(HomeLedgers):
    """Ledgers of regions in this process.

    Attributes:
        ledgers: Ledger of each region.
    """

    def __init__(self, region: str, *regions: str) -> None:
        """Create one ledger for each region."""
        homes = [HomeLedger(region=name, seed=SEED) for name in regions]
        super().__init__(
            cast('Links', None),
            lambda: homes,
            SystemClock(),
            region,
            ('far', 'near', 'other'),
        )
        self.ledgers = {name: LocalLedger() for name in regions}

    def client(self, region: str) -> LedgerClient:
        """Return the ledger of a region."""
        return cast('LedgerClient', self.ledgers[region])


class Entry:
    """An entry instance with a ledger of all regions and ledgers of some.

    Attributes:
        common: Ledger of all regions.
        homes: Ledgers of single regions.
        turns: Opens and stores turns.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, homes: Homes, common: LocalLedger
    ) -> None:
        """Create the instance with an empty cache."""
        self.common = common
        self.homes = homes
        self.turns = TurnManager(
            cast('LedgerClient', common),
            ChainCache(),
            SystemClock(),
            tasks,
            homes,
        )

    async def run_turn(
        self,
        name: str,
        previous: str | None = None,
        regions: frozenset[str] | None = FAR,
        most_tokens: int = 30,
        budget: int | None = 50,
    ) -> bytes:
        """Open and commit a turn of 10 tokens; return its body."""
        plan = TurnPlan(
            key=TurnKey(build.WORKSPACE, name),
            program=ProgramId('p'),
            budget=budget,
            most_tokens=most_tokens,
            previous=previous,
            content=BODY + name.encode(),
            retention_ms=60_000,
            regions=regions,
        )
        turn = await self.turns.open(plan, 1_000)
        await self.turns.commit(turn, TurnResult(tokens=10, output=b'.'))
        await anyio.wait_all_tasks_blocked()
        return turn.body


def run(
    scenario: Callable[[Entry], Awaitable[None]],
    homes: Homes | None = None,
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(
                Entry(tasks, homes or Homes('near', 'far'), LocalLedger())
            )

    anyio.run(main)


def test_body_is_stored_only_in_the_ledger_of_the_home_region() -> None:
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a')
        assert await entry.run_turn('b', 'a') == BODY + b'a.' + BODY + b'b'
        assert BODY not in entry.common.state_machine.snapshot()
        assert BODY in entry.homes.ledgers['far'].state_machine.snapshot()

    run(scenario)


# Guards against bound turns that fail with the ledger of other regions.
def test_a_turn_without_a_budget_needs_the_ledger_of_its_region_only() -> None:
    async def scenario(entry: Entry) -> None:
        entry.common.is_down = True
        await entry.run_turn('a', budget=None)
        assert await entry.run_turn('b', 'a', budget=None)

    run(scenario)


def test_other_entry_finds_the_turn_and_keeps_no_copy_out_of_the_region() -> (
    None
):
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a')
        entry.turns._cache = ChainCache()
        assert await entry.run_turn('b', 'a') == BODY + b'a.' + BODY + b'b'
        assert not entry.turns._cache._chains

    run(scenario)


def test_budget_is_exact_over_bound_and_unbound_turns() -> None:
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a')
        await entry.run_turn('b', regions=None)
        await entry.run_turn('c')
        # 30 of 50 tokens are used; the turn may need 21.
        with pytest.raises(CallError) as caught:
            await entry.run_turn('d', most_tokens=21)
        assert caught.value.refusal.code is ErrorCode.BUDGET_EXHAUSTED
        await entry.run_turn('e', most_tokens=20)

    run(scenario)


def test_turn_of_a_time_without_home_regions_is_continued() -> None:
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a', regions=None)
        await entry.run_turn('b', 'a')
        chain = BODY + b'a.' + BODY + b'b.' + BODY + b'c'
        assert await entry.run_turn('c', 'b') == chain

    run(scenario)


def test_unbound_turn_does_not_get_a_bound_chain() -> None:
    # Its own body may run anywhere, the chain may not.
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a')
        entry.turns._cache = ChainCache()
        with pytest.raises(CallError) as caught:
            await entry.run_turn('b', 'a', regions=None)
        assert caught.value.refusal.code is ErrorCode.UNKNOWN_STEP

    run(scenario, Homes('far', 'far'))


def test_home_region_that_is_cut_off_refuses_and_releases_nothing() -> None:
    async def scenario(entry: Entry) -> None:
        await entry.run_turn('a')
        entry.homes.ledgers['far'].is_down = True
        with pytest.raises(CallError) as caught:
            await entry.run_turn('b', 'a')
        assert caught.value.refusal.code is ErrorCode.HOME_REGION_UNAVAILABLE
        assert caught.value.refusal.retry_after_ms
        entry.homes.ledgers['far'].is_down = False
        await entry.run_turn('c', 'a', most_tokens=40)

    run(scenario)


def test_retained_turn_without_a_ledger_at_home_is_refused_before_it_runs() -> (
    None
):
    async def scenario(entry: Entry) -> None:
        with pytest.raises(CallError) as caught:
            await entry.run_turn('a')
        assert caught.value.refusal.code is ErrorCode.HOME_REGION_UNAVAILABLE

    run(scenario, Homes('near', 'other'))
