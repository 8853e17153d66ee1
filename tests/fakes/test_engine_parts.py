"""The fake engine behaves like real ones: cache, batch, control commands."""

from __future__ import annotations

import anyio

from acaciaramp.clock import ManualClock
from acaciaramp.fakes.batching import Batch, Sequence, StepTiming
from acaciaramp.fakes.model import PromptMessage, generate
from acaciaramp.fakes.orders import EngineState, Order, OrderKind, apply_order
from acaciaramp.fakes.prefix_cache import CacheChange, PrefixCache


def words(prefix: str, count: int) -> list[str]:
    return [f'{prefix}{number}' for number in range(count)]


def test_cached_prefix_is_found_and_pinned_blocks_are_evicted_last() -> None:
    cache = PrefixCache(4, ManualClock())
    cache.store('kept', words('a', 32))
    cache.store('gone', words('b', 32))
    assert cache.release('gone')
    cache.store('new', words('c', 32))
    assert cache.cached_tokens([*words('a', 32), 'more']) == 32
    assert cache.cached_tokens(words('b', 32)) == 0
    assert set(cache.session_blocks) == {'kept', 'new'}


def test_cache_events_are_delayed_numbered_and_dropped() -> None:
    clock = ManualClock()
    cache = PrefixCache(2, clock)
    cache.store('a', words('a', 48))
    assert not cache.events_after(0, 100, 0)
    clock.advance(100)
    events = cache.events_after(0, 100, 0)
    assert [event.number for event in events] == [1, 2, 3, 4]
    assert events[2].change is CacheChange.EVICTED
    remaining = cache.events_after(0, 100, 2)
    assert [event.number for event in remaining] == [1, 3]


def test_each_step_generates_one_token_per_running_sequence() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        timing = StepTiming(step_ms=10, step_each_ms=5, prefill_tokens_per_ms=1)
        batch = Batch(timing, 2, clock)
        completion = generate([PromptMessage('user', 'hi')], 3)
        sequences = [
            Sequence(str(number), completion, 20) for number in range(3)
        ]
        for sequence in sequences:
            batch.add(sequence)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(batch.run)
            await anyio.wait_all_tasks_blocked()
            # 10 ms for the step, 5 ms for the second sequence and 40 ms for the
            # prefill of two prompts; the third sequence waits for room.
            clock.advance(54)
            await anyio.wait_all_tasks_blocked()
            assert [sequence.generated for sequence in sequences] == [0, 0, 0]
            clock.advance(1)
            await anyio.wait_all_tasks_blocked()
            assert [sequence.generated for sequence in sequences] == [1, 1, 0]
            sequences[0].cancel()
            clock.advance(15)
            await anyio.wait_all_tasks_blocked()
            # The cancelled sequence has left the batch; the third one joins.
            clock.advance(40)
            await anyio.wait_all_tasks_blocked()
            assert [sequence.generated for sequence in sequences] == [2, 3, 1]
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


def test_old_fencing_token_is_rejected_only_if_checked() -> None:
    state = EngineState(models=['a'])
    newer = Order(2, OrderKind.LOAD_MODEL, 'b')
    older = Order(1, OrderKind.UNLOAD_MODEL, 'a')
    assert apply_order(state, newer, checks_fencing=True)
    assert not apply_order(state, older, checks_fencing=True)
    assert state.models == ['a', 'b']
    assert apply_order(state, older, checks_fencing=False)
    assert state.models == ['b']
