"""AdmissionQueue serves waiters by rank, within bounds, and loses no slot."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.clock import ManualClock
from acaciaramp.errors import ErrorCode
from acaciaramp.scheduling.admission_queue import AdmissionQueue, QueueRefusal
from acaciaramp.scheduling.demand import Demand

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def demand(priority: int = 0, **overrides: Any) -> Demand:
    fields: dict[str, Any] = {
        'priority': priority,
        'is_running': False,
        'latest_start_ms': 10_000,
    }
    return Demand(**(fields | overrides))


class Slots:
    """A queue for a number of slots, with a log of what was served."""

    def __init__(self, tasks: anyio.abc.TaskGroup, max_waiting: int) -> None:
        self.clock = ManualClock()
        self.queue = AdmissionQueue(self.clock, max_waiting)
        self.free = 0
        self.served: list[str] = []
        self.refused: dict[str, QueueRefusal] = {}
        self._tasks = tasks

    async def add(
        self, name: str, wanted: Demand, max_wait_ms: int = 1_000
    ) -> anyio.CancelScope:
        scope = anyio.CancelScope()

        async def run() -> None:
            with scope:
                taken = await self.queue.wait(
                    wanted, max_wait_ms, self._claim, self._release
                )
                if isinstance(taken, QueueRefusal):
                    self.refused[name] = taken
                else:
                    await self._use(name, taken)

        self._tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        return scope

    async def free_slots(self, count: int) -> None:
        for _ in range(count):
            self.free += 1
            self.queue.wake()
            await anyio.wait_all_tasks_blocked()

    async def advance(self, duration_ms: int) -> None:
        self.clock.advance(duration_ms)
        await anyio.wait_all_tasks_blocked()

    async def _use(self, name: str, taken: str) -> None:
        try:
            await anyio.lowlevel.checkpoint()
        except BaseException:
            self._release(taken)
            self.queue.wake()
            raise
        self.served.append(name)

    def _claim(self) -> str | None:
        if not self.free:
            return None
        self.free -= 1
        return 'slot'

    def _release(self, _: str) -> None:
        self.free += 1


def run(
    scenario: Callable[[Slots], Awaitable[None]], max_waiting: int = 64
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(Slots(tasks, max_waiting))
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_free_capacity_is_taken_at_once() -> None:
    async def scenario(slots: Slots) -> None:
        slots.free = 1
        await slots.add('a', demand(), 0)
        assert slots.served == ['a']
        assert not len(slots.queue)

    run(scenario)


def test_waiters_are_served_by_rank() -> None:
    """Guards against service in order of arrival."""

    async def scenario(slots: Slots) -> None:
        await slots.add('low', demand(2))
        await slots.add('new', demand(0))
        await slots.add('running', demand(0, is_running=True))
        await slots.add('urgent', demand(0, latest_start_ms=5_000))
        await slots.free_slots(4)
        assert slots.served == ['running', 'urgent', 'new', 'low']

    run(scenario)


def test_a_newcomer_does_not_overtake_a_better_waiter() -> None:
    async def scenario(slots: Slots) -> None:
        await slots.add('running', demand(is_running=True))
        slots.free = 1
        await slots.add('new', demand())
        assert slots.served == ['running']

    run(scenario)


def test_the_oldest_waiter_is_served_behind_steady_higher_ranks() -> None:
    """Guards against the starvation of a lower priority."""

    async def scenario(slots: Slots) -> None:
        await slots.add('low', demand(2))
        for number in range(8):
            await slots.add(f'high-{number}', demand(0))
        await slots.free_slots(6)
        assert 'low' in slots.served

    run(scenario)


def test_a_waiter_is_refused_when_its_time_is_over() -> None:
    async def scenario(slots: Slots) -> None:
        await slots.add('short', demand(), 70)
        await slots.add('no slack', demand(latest_start_ms=40))
        await slots.add('past', demand(latest_start_ms=0))
        assert slots.refused.keys() == {'past'}
        await slots.advance(40)
        assert slots.refused.keys() == {'past', 'no slack'}
        await slots.advance(30)
        assert slots.refused['short'].code is ErrorCode.QUEUE_TIMEOUT
        await slots.free_slots(1)
        assert slots.free == 1

    run(scenario)


def test_a_full_queue_refuses_the_lowest_rank_at_once() -> None:
    """Guards against an unbounded queue, and against dropping the newest."""

    async def scenario(slots: Slots) -> None:
        await slots.add('low', demand(2))
        await slots.add('high', demand(0))
        await slots.add('new high', demand(0))
        assert slots.refused['low'].code is ErrorCode.QUEUE_FULL
        await slots.add('lowest', demand(5))
        assert slots.refused.keys() == {'low', 'lowest'}
        assert len(slots.queue) == 2

    run(scenario, max_waiting=2)


def test_a_wait_that_cannot_end_in_time_is_refused_at_once() -> None:
    """Guards against refusals that come only when the time is used up."""

    async def scenario(slots: Slots) -> None:
        for number in range(20):
            await slots.add(f'running-{number}', demand(is_running=True))
        await slots.free_slots(10)
        # Ten are ahead, and ten were served in the last second.
        await slots.add('new', demand(), 500)
        assert slots.refused['new'].code is ErrorCode.QUEUE_TIMEOUT
        assert 900 <= slots.refused['new'].retry_after_ms <= 1_200
        await slots.add('patient', demand(), 2_000)
        assert slots.refused.keys() == {'new'}

    run(scenario)


def test_a_caller_that_goes_leaves_no_slot_taken() -> None:
    """Guards against slots that are lost with each caller that gives up."""

    async def scenario(slots: Slots) -> None:
        gone = await slots.add('gone', demand())
        await slots.add('next', demand())
        slots.free += 1
        # Granted and cancelled before the request takes notice.
        slots.queue.wake()
        gone.cancel()
        await anyio.wait_all_tasks_blocked()
        assert slots.served == ['next']
        torn = await slots.add('torn', demand())
        await slots.add('heir', demand(2))
        # Cancelled, and granted before the request takes notice.
        torn.cancel()
        slots.free += 1
        slots.queue.wake()
        await anyio.wait_all_tasks_blocked()
        assert slots.served == ['next', 'heir']
        assert slots.free == 0
        left = await slots.add('left', demand())
        left.cancel()
        await anyio.wait_all_tasks_blocked()
        assert not len(slots.queue)
        await slots.free_slots(1)
        assert slots.free == 1

    run(scenario)


def test_capacity_that_the_best_cannot_use_goes_to_the_next() -> None:
    async def scenario(slots: Slots) -> None:
        outcome: list[Any] = []

        async def wait_for_other_version() -> None:
            outcome.append(
                await slots.queue.wait(demand(), 50, lambda: None, print)
            )

        slots._tasks.start_soon(wait_for_other_version)
        await slots.add('low', demand(2))
        await slots.free_slots(1)
        assert slots.served == ['low']
        await slots.advance(50)
        assert isinstance(outcome[0], QueueRefusal)

    run(scenario)
