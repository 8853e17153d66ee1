"""Runs the steps of programs and records how they end."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import StepNumber
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.programs.commands import FailStep, FinishStep
from acaciaramp.programs.dispatch import verdict_of
from acaciaramp.programs.log import CommitError
from acaciaramp.programs.runs import Run
from acaciaramp.records import Answer, Program, ProgramState, Step
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.errors import Refusal
    from acaciaramp.ids import ProgramId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.programs.dispatch import Dispatcher
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.session_releaser import SessionReleaser
    from acaciaramp.scheduling.placement import SlotClaim

logger = get_logger('programs')

MOVED = CallError(
    ErrorCode.NOT_LEADER, 'another instance owns the program now'
).refusal


class Runner:
    """The steps that are under way at one home."""

    def __init__(
        self,
        *,
        log: CommandLog,
        registry: Registry,
        dispatcher: Dispatcher,
        session_releaser: SessionReleaser,
        longest_ms: int,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Create the runner without steps.

        Args:
            log: Makes every change durable before it is applied.
            registry: The document in force.
            dispatcher: Sends steps to endpoints.
            session_releaser: Frees engine memory of programs that have ended.
            longest_ms: Longest time for a step, milliseconds.
            clock: Source of time.
            metrics: Counts steps.
            tasks: Where steps run.
        """
        self._log = log
        self._registry = registry
        self._dispatcher = dispatcher
        self._releases = session_releaser
        self._longest_ms = longest_ms
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._runs: dict[tuple[ProgramId, StepNumber], Run] = {}

    @property
    def running(self) -> int:
        """How many steps are under way."""
        return len(self._runs)

    def find(self, program: ProgramId, number: StepNumber) -> Run | None:
        """Return a step that is under way."""
        return self._runs.get((program, number))

    def cancel(self, program: ProgramId, number: StepNumber) -> None:
        """Cancel a step if it is under way."""
        run = self.find(program, number)
        if run is not None:
            run.scope.cancel()

    async def wait_before(self, record: Program, number: StepNumber) -> None:
        """Return once a step exists or the one before is not under way."""
        previous = record.program, StepNumber(number - 1)
        while previous in self._runs and number not in record.steps:
            await self._runs[previous].wait_change()

    def abandon(self) -> None:
        """Send all readers elsewhere: another instance owns the programs."""
        for run in self._runs.values():
            if not run.is_over:
                run.fail(MOVED)

    async def wait_idle(self) -> None:
        """Return once no step is under way."""
        while self._runs:
            run = next(iter(self._runs.values()))
            await run.wait_change()

    def start(
        self,
        record: Program,
        step: Step,
        claim: SlotClaim | None,
        *,
        keep: bool,
    ) -> None:
        """Run a step that the log has.

        Args:
            record: The step's program.
            step: The step.
            claim: The place of its first attempt, if the log has that too.
            keep: Whether the step goes on when its caller has gone.
        """
        run = Run(keep=keep)
        self._runs[record.program, step.number] = run
        self._metrics.count(Counter.STEP_STARTED, step.request.kind)
        self._tasks.start_soon(self._run_step, record, step, run, claim)

    async def fail(
        self, record: Program, step: Step, run: Run, refusal: Refusal
    ) -> None:
        """End a step without an answer."""
        logger.warning(
            'The step failed.',
            program=record.program,
            step=step.number,
            code=refusal.code.value,
            verdict=refusal.verdict.value,
        )
        await self._log.commit(
            FailStep(
                program=record.program,
                number=step.number,
                refusal=refusal,
                at_ms=self._clock.wall_ms(),
            )
        )
        self._metrics.count(Counter.STEP_FAILED, refusal.code)
        run.fail(refusal)

    async def _run_step(
        self, record: Program, step: Step, run: Run, claim: SlotClaim | None
    ) -> None:
        started_ms = self._clock.now_ms()
        try:
            await self._run_to_end(record, step, run, claim)
        except CommitError:
            run.fail(MOVED)
        finally:
            self._after_run(record, step, claim)
            self._metrics.record_duration(
                Timer.STEP, self._clock.now_ms() - started_ms
            )

    def _after_run(
        self, record: Program, step: Step, claim: SlotClaim | None
    ) -> None:
        if claim is not None:
            claim.release()
        self._runs.pop((record.program, step.number), None)
        if record.state is ProgramState.ENDED:
            self._releases.add(record)

    async def _run_to_end(
        self, record: Program, step: Step, run: Run, claim: SlotClaim | None
    ) -> None:
        longest_ms = min(
            self._longest_ms,
            max(1, record.deadline_ms - self._clock.wall_ms()),
        )
        try:
            with run.scope, self._clock.timeout(longest_ms):
                service = self._registry.service(step.request.service)
                answer = await self._dispatcher.run(
                    self._log, service, record, step, run, claim
                )
                await self._finish(record, step, run, answer)
                return
        except TimeoutError:
            refusal = CallError(
                ErrorCode.DEADLINE_EXCEEDED,
                'the step took longer than it may',
                verdict_of(step),
            ).refusal
        except CallError as exc:
            refusal = exc.refusal
        else:
            self._metrics.count(Counter.STEP_CANCELLED)
            refusal = CallError(
                ErrorCode.CANCELLED, 'the step was cancelled', verdict_of(step)
            ).refusal
        with anyio.CancelScope(shield=True):
            await self.fail(record, step, run, refusal)

    async def _finish(
        self, record: Program, step: Step, run: Run, answer: Answer
    ) -> None:
        with anyio.CancelScope(shield=True):
            command = FinishStep(
                program=record.program,
                number=step.number,
                answer=answer,
                at_ms=self._clock.wall_ms(),
            )
            await self._log.commit(command)
        self._metrics.count(Counter.STEP_FINISHED, step.request.kind)
        run.finish(command.answer)
