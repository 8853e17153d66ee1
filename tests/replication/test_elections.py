"""Elections of a group whose replicas campaign at the same moment."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.ids import InstanceId
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.replica import Replica
from acaciaramp.replication.state import Role
from acaciaramp.replication.store import NullStore
from acaciaramp.roles.common import LOG_TIMING
from tests.replication.fuzz import Recorder

if TYPE_CHECKING:
    from acaciaramp.replication import messages as msgs

A, B, LOST = (Member(InstanceId(name), '0') for name in 'abc')
WAY_MS = 2
SYNC_MS = 5
# Both replicas draw this part of the spread first.
FIRST_DRAW_MS = 70


class SlowStore(NullStore):
    """A store whose syncs take time."""

    def __init__(self, clock: ManualClock) -> None:
        """Create it empty."""
        super().__init__()
        self._clock = clock

    async def sync(self) -> None:
        """Sync in ``SYNC_MS``."""
        await self._clock.sleep_ms(SYNC_MS)


class FirstDrawRandom(random.Random):
    """Random numbers of which the first one is given."""

    def __init__(self, seed: str) -> None:
        """Create it with the seed of the later ones."""
        super().__init__(seed)
        self._given = [FIRST_DRAW_MS]

    def randint(self, low: int, high: int) -> int:
        """Return ``FIRST_DRAW_MS``, then random numbers."""
        return self._given.pop() if self._given else super().randint(low, high)


class Pair:
    """Two voters of a group of three; the third never replies."""

    def __init__(self, seed: int) -> None:
        """Create both with timers that expire at the same moment."""
        self.clock = ManualClock(60_000)
        self.replicas = {
            me.instance: Replica(
                me=me,
                initial_members=Members((A, B, LOST)),
                store=SlowStore(self.clock),
                state_machine=Recorder(),
                send=self._send,
                clock=self.clock,
                rng=FirstDrawRandom(f'{seed} {me.instance}'),
                timing=LOG_TIMING,
            )
            for me in (A, B)
        }

    @property
    def leads(self) -> bool:
        """Whether one of them leads."""
        return any(item.role is Role.LEADER for item in self.replicas.values())

    async def run(self, most_ms: int) -> int:
        """Return after how many milliseconds one of them leads."""
        started_ms = self.clock.now_ms()
        async with anyio.create_task_group() as tasks:
            for item in self.replicas.values():
                tasks.start_soon(item.run)
            while self.clock.now_ms() < started_ms + most_ms:
                await anyio.wait_all_tasks_blocked()
                if self.leads:
                    break
                self.clock.advance(1)
            tasks.cancel_scope.cancel()
        return self.clock.now_ms() - started_ms

    async def _send(
        self, instance: InstanceId, req: msgs.Request
    ) -> msgs.Reply:
        await self.clock.sleep_ms(WAY_MS)
        if instance == LOST.instance:
            await anyio.sleep_forever()
        try:
            reply = await self.replicas[instance].handle(req)
        except KeyError:
            raise PeerError('unknown') from None
        await self.clock.sleep_ms(WAY_MS)
        return reply


@pytest.mark.parametrize('seed', range(20))
def test_two_voters_that_campaign_at_once_elect_one_of_them(seed: int) -> None:
    """Guards against campaigns that begin together again after each defeat."""
    assert anyio.run(Pair(seed).run, 3_000) < 3_000
