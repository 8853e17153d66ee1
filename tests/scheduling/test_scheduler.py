"""Tests of slots, queues, priorities and unavailable endpoints."""

from __future__ import annotations

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.records import Budget, Program, Step
from acaciaramp.scheduling.scheduler import Scheduler
from acaciaramp.verdicts import Verdict
from tests import builders as build

_ENGINES = {'engine-1': 'http://127.0.0.1:1', 'engine-2': 'http://127.0.0.1:2'}


class Fixture:
    """A scheduler that may use one slot at each endpoint."""

    def __init__(self, engines: dict[str, str], queue_length: int = 10) -> None:
        self.clock = ManualClock()
        self.leaving: set[str] = set()
        self.order: list[str] = []
        self.registry = build.registry(engines=engines)
        self.service = self.registry.service(build.MODEL)
        self.scheduler = Scheduler(
            zone='medina-nord',
            instances=8,
            queue_length=queue_length,
            queue_ms=1_000,
            clock=self.clock,
            metrics=Metrics(),
            is_leaving=self.leaving.__contains__,
        )

    async def occupy(
        self, name: str, step: Step, release: anyio.Event, used: int = 0
    ) -> None:
        record = build.program(used=Budget(used, 0))
        async with self.scheduler.acquire_slot(
            self.service, record, step
        ) as placement:
            self.order.append(f'{name}@{placement.endpoint.id}')
            await release.wait()


def step(number: int = 1) -> Step:
    begin = build.begin_step(number)
    return Step(
        number=begin.number,
        request=begin.request,
        fingerprint='',
        reserved=begin.reserved,
        started_ms=0,
    )


def acquired_endpoint(fixture: Fixture, record: Program) -> str:
    async def scenario() -> str:
        async with fixture.scheduler.acquire_slot(
            fixture.service, record, step()
        ) as placement:
            return placement.endpoint.id

    return anyio.run(scenario)


def test_running_program_has_priority_over_a_new_one() -> None:
    async def scenario() -> None:
        fixture = Fixture({'engine-1': 'http://127.0.0.1:1'})
        release = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for name, number, used in (
                ('holder', 1, 0),
                ('new', 1, 0),
                ('heavy', 2, 900),
                ('light', 2, 100),
            ):
                tasks.start_soon(
                    fixture.occupy, name, step(number), release, used
                )
                await anyio.wait_all_tasks_blocked()
            release.set()
        names = [entry.partition('@')[0] for entry in fixture.order]
        assert names == ['holder', 'light', 'heavy', 'new']

    anyio.run(scenario)


def test_full_queue_rejects_at_once() -> None:
    async def scenario() -> None:
        fixture = Fixture({'engine-1': 'http://127.0.0.1:1'}, queue_length=1)
        release = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.occupy, 'a', step(), release)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(fixture.occupy, 'b', step(), release)
            await anyio.wait_all_tasks_blocked()
            with pytest.raises(CallError) as caught:
                await fixture.occupy('c', step(), release)
            release.set()
        assert caught.value.refusal.code is ErrorCode.QUEUE_FULL
        assert caught.value.refusal.verdict is Verdict.NOT_RUN

    anyio.run(scenario)


def test_wait_is_bounded() -> None:
    async def scenario() -> None:
        fixture = Fixture({'engine-1': 'http://127.0.0.1:1'})
        release = anyio.Event()
        codes = []

        async def waiter() -> None:
            try:
                await fixture.occupy('b', step(), release)
            except CallError as exc:
                codes.append(exc.refusal.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.occupy, 'a', step(), release)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(waiter)
            await anyio.wait_all_tasks_blocked()
            fixture.clock.advance(1_000)
            await anyio.wait_all_tasks_blocked()
            release.set()
        assert codes == [ErrorCode.QUEUE_TIMEOUT]

    anyio.run(scenario)


def test_leaving_endpoint_gets_no_new_steps() -> None:
    fixture = Fixture(_ENGINES)
    fixture.leaving.add('engine-1')
    assert acquired_endpoint(fixture, build.program()) == 'engine-2'


def test_failed_endpoint_is_paused_and_used_again() -> None:
    fixture = Fixture(_ENGINES)
    failed = fixture.registry.endpoints['engine-1']
    error = EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'down')
    fixture.scheduler.record_failure(failed, error)
    assert acquired_endpoint(fixture, build.program()) == 'engine-2'
    fixture.clock.advance(500)
    assert acquired_endpoint(fixture, build.program()) == 'engine-1'


def test_cancelled_waiter_does_not_block_the_next_one() -> None:
    async def scenario() -> None:
        fixture = Fixture({'engine-1': 'http://127.0.0.1:1'})
        release = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.occupy, 'a', step(), release)
            await anyio.wait_all_tasks_blocked()
            async with anyio.create_task_group() as cancelled:
                cancelled.start_soon(fixture.occupy, 'b', step(), release)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(fixture.occupy, 'c', step(), release)
                await anyio.wait_all_tasks_blocked()
                cancelled.cancel_scope.cancel()
            release.set()
        assert fixture.order == ['a@engine-1', 'c@engine-1']

    anyio.run(scenario)


def test_claim_occupies_a_slot_until_it_is_released() -> None:
    fixture = Fixture({'engine-1': 'http://127.0.0.1:1'})
    record = build.program()
    claim = fixture.scheduler.try_acquire_slot(fixture.service, record, step())
    assert claim is not None
    assert (
        fixture.scheduler.try_acquire_slot(fixture.service, record, step())
        is None
    )
    claim.release()
    claim.release()
    assert (
        fixture.scheduler.try_acquire_slot(fixture.service, record, step())
        is not None
    )
    assert (
        fixture.scheduler.try_acquire_slot(fixture.service, record, step())
        is None
    )


def test_queued_step_gets_the_endpoint_when_a_later_pause_ends() -> None:
    async def scenario() -> None:
        fixture = Fixture({'engine-1': 'http://127.0.0.1:1'})
        release = anyio.Event()
        error = EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'down')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fixture.occupy, 'first', step(), release)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(fixture.occupy, 'queued', step(2), release)
            await anyio.wait_all_tasks_blocked()
            fixture.scheduler.record_failure(
                fixture.registry.endpoints['engine-1'], error
            )
            release.set()
            await anyio.wait_all_tasks_blocked()
            fixture.clock.advance(500)
            await anyio.wait_all_tasks_blocked()
            assert fixture.order == ['first@engine-1', 'queued@engine-1']

    anyio.run(scenario)


def test_pause_stays_bounded_after_many_failures() -> None:
    fixture = Fixture(_ENGINES)
    failed = fixture.registry.endpoints['engine-1']
    error = EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'down')
    for _ in range(5_000):
        fixture.scheduler.record_failure(failed, error)
    fixture.clock.advance(15_000)
    assert acquired_endpoint(fixture, build.program()) == 'engine-1'
