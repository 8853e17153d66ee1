"""The end of steps: verdicts over all attempts, and loss of leadership."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, cast

import anyio
import anyio.lowlevel

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.programs import commands as cmds
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.programs.log import CommitError, MemoryLog
from acaciaramp.programs.runner import StepRunner
from acaciaramp.programs.state_machine import Programs, apply
from acaciaramp.scheduling.scheduler import Scheduler
from acaciaramp.settings.model import Retries
from acaciaramp.verdicts import Verdict
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.documents.model import Endpoint
    from acaciaramp.endpoints.calls import Call, DeltaSink
    from acaciaramp.programs.commands import Command
    from acaciaramp.programs.session_releaser import SessionReleaser
    from acaciaramp.records import Answer, StepRequest


class LosableLog(MemoryLog):
    """A log whose instance may lose the leadership of the cell.

    Attributes:
        is_lost: Whether the leadership is lost.
    """

    def __init__(self, state: Programs) -> None:
        """Create the log of a leader."""
        super().__init__(state)
        self.is_lost = False

    async def commit(self, command: Command) -> None:
        """Apply the command while the instance leads."""
        if self.is_lost:
            raise CommitError('not the leader')
        await super().commit(command)


class NoSessions:
    """Stands in for the releaser of engine sessions."""

    def add_program(self, _: object) -> None:
        """Do nothing."""


class RunnerHarness:
    """A runner with one endpoint that has one slot.

    Attributes:
        clock: Clock of the runner.
        state: The programs.
        log: Log of the runner.
        runner: The runner under test.
        fails: Error of each attempt; None lets attempts wait for ever.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        """Create the runner with one program."""
        self.clock = ManualClock()
        self.state = Programs()
        self.log = LosableLog(self.state)
        self.fails: EndpointError | None = None
        self.registry = build.registry(
            engines={'engine-1': 'http://127.0.0.1:1'}
        )
        self.scheduler = Scheduler(
            zone='medina-nord',
            instances=8,
            queue_length=10,
            queue_ms=1_000,
            clock=self.clock,
            metrics=Metrics(),
            is_leaving=lambda name: False,
        )
        dispatcher = Dispatcher(
            scheduler=self.scheduler,
            send=self._send,
            retries=Retries(),
            clock=self.clock,
            metrics=Metrics(),
            rng=random.Random(1),
        )
        self.runner = StepRunner(
            log=self.log,
            registry=self.registry,
            dispatcher=dispatcher,
            session_releaser=cast('SessionReleaser', NoSessions()),
            step_timeout_ms=60_000,
            clock=self.clock,
            metrics=Metrics(),
            tasks=tasks,
        )
        apply(self.state, cmds.CreateProgram(build.program()))

    def start(self, request: StepRequest) -> None:
        """Start the first step of the program."""
        apply(self.state, build.begin_step(1, request=request))
        record = self.state.by_id[build.PROGRAM]
        step = record.steps[build.FIRST_STEP]
        self.runner.start(record, step, None, keep=True)

    async def advance(self, duration_ms: int) -> None:
        """Move the clock in steps of a millisecond."""
        for _ in range(duration_ms):
            self.clock.advance(1)
            await anyio.lowlevel.checkpoint()
            await anyio.lowlevel.checkpoint()

    async def _send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        if self.fails is not None:
            raise self.fails
        await anyio.sleep_forever()
        raise AssertionError('unreachable')


def test_verdict_of_an_earlier_attempt_holds_if_no_slot_comes_free() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            harness = RunnerHarness(tasks)
            harness.fails = EndpointError(
                Failure.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, 'cut'
            )
            # The failure pauses the only endpoint for longer than the queue.
            for _ in range(3):
                harness.scheduler.record_failure(
                    harness.registry.endpoints['engine-1'], harness.fails
                )
            harness.clock.advance(2_000)
            request = build.chat_request()
            harness.start(request)
            run = harness.runner.find(build.PROGRAM, build.FIRST_STEP)
            assert run is not None
            await harness.advance(1_500)
            assert run.refusal is not None
            assert run.refusal.code is ErrorCode.QUEUE_TIMEOUT
            assert run.refusal.verdict is Verdict.MAY_HAVE_RUN
            record = harness.state.by_id[build.PROGRAM]
            assert record.used.tokens > 0

    anyio.run(scenario)


def test_wait_until_idle_returns_after_the_leadership_was_lost() -> None:
    async def scenario() -> None:
        idle = anyio.Event()
        async with anyio.create_task_group() as outer:
            async with anyio.create_task_group() as tasks:
                harness = RunnerHarness(tasks)
                harness.start(build.chat_request())
                await anyio.wait_all_tasks_blocked()

                async def wait() -> None:
                    await harness.runner.wait_until_idle()
                    idle.set()

                outer.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                # A cell that loses its leadership cancels the steps.
                harness.log.is_lost = True
                harness.runner.redirect_readers()
                tasks.cancel_scope.cancel()
            await anyio.wait_all_tasks_blocked()
            assert harness.runner.running_count == 0
            assert idle.is_set()
            outer.cancel_scope.cancel()

    anyio.run(scenario)


def test_a_step_that_is_not_allowed_any_attempt_has_not_run() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            harness = RunnerHarness(tasks)
            harness.fails = EndpointError(
                Failure.CONNECT, Verdict.NOT_RUN, 'down'
            )
            harness.start(build.tool_request(service=build.MODEL))
            run = harness.runner.find(build.PROGRAM, build.FIRST_STEP)
            assert run is not None
            await harness.advance(3_000)
            assert run.refusal is not None
            assert run.refusal.verdict is Verdict.NOT_RUN
            record = harness.state.by_id[build.PROGRAM]
            assert record.reserved.tokens == 0

    anyio.run(scenario)
