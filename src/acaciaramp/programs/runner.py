"""Runs the steps of programs and records their results."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import StepNumber
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.programs.commands import FailStep, FinishStep
from acaciaramp.programs.dispatch import step_verdict
from acaciaramp.programs.log import CommitError
from acaciaramp.programs.runs import StepRun
from acaciaramp.records import Answer, Program, ProgramState, Step
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import combine_verdicts

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

# Refusal of requests to an instance that no longer leads the program's cell.
PROGRAM_MOVED = CallError(
    ErrorCode.NOT_LEADER, 'another instance owns the program now'
).refusal


class StepRunner:
    """Runs the steps of one cell's programs, each in a task of its own."""

    def __init__(
        self,
        *,
        log: CommandLog,
        registry: Registry,
        dispatcher: Dispatcher,
        session_releaser: SessionReleaser,
        step_timeout_ms: int,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Create the runner without steps.

        Args:
            log: Makes every command durable before it is applied.
            registry: The active document.
            dispatcher: Sends steps to endpoints.
            session_releaser: Releases the engine sessions of ended programs.
            step_timeout_ms: Longest duration of a step, milliseconds.
            clock: Source of time.
            metrics: Counts and times steps.
            tasks: Task group that the steps run in.
        """
        self._log = log
        self._registry = registry
        self._dispatcher = dispatcher
        self._session_releaser = session_releaser
        self._step_timeout_ms = step_timeout_ms
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._runs: dict[tuple[ProgramId, StepNumber], StepRun] = {}
        self._run_removed = anyio.Event()

    @property
    def running_count(self) -> int:
        """Number of running steps."""
        return len(self._runs)

    def find(self, program: ProgramId, number: StepNumber) -> StepRun | None:
        """Return the run of a step, or None if the step is not running."""
        return self._runs.get((program, number))

    def cancel(self, program: ProgramId, number: StepNumber) -> None:
        """Cancel a step if it is running."""
        run = self.find(program, number)
        if run is not None:
            run.scope.cancel()

    async def wait_for_previous(
        self, record: Program, number: StepNumber
    ) -> None:
        """Return once a step exists or the step before it is not running."""
        previous = self.find(record.program, StepNumber(number - 1))
        if previous is None:
            return
        while not previous.is_finished and number not in record.steps:
            await previous.wait_change()

    def redirect_readers(self) -> None:
        """Fail all runs for their readers, as the leadership was lost.

        The readers then ask the new leader, which resumes the steps.
        """
        for run in self._runs.values():
            if not run.is_finished:
                run.fail(PROGRAM_MOVED)

    async def wait_until_idle(self) -> None:
        """Return once no step is running."""
        while self._runs:
            await self._run_removed.wait()

    def start(
        self,
        record: Program,
        step: Step,
        claim: SlotClaim | None,
        *,
        keep: bool,
    ) -> None:
        """Run a step whose start has been committed.

        Args:
            record: The step's program.
            step: The step.
            claim: The slot of its first attempt, if that has been committed
                as well.
            keep: Whether the step continues after its caller has disconnected.
        """
        run = StepRun(keep=keep)
        self._runs[record.program, step.number] = run
        self._metrics.count(Counter.STEP_STARTED, step.request.kind)
        self._tasks.start_soon(self._run_step, record, step, run, claim)

    async def fail_step(
        self, record: Program, step: Step, run: StepRun, refusal: Refusal
    ) -> None:
        """Record that a step failed, and fail its run.

        Raises:
            CommitError: This instance lost the leadership of the cell.
        """
        logger.warning(
            'The step failed; recording the refusal.',
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
        self, record: Program, step: Step, run: StepRun, claim: SlotClaim | None
    ) -> None:
        started_ms = self._clock.now_ms()
        try:
            await self._execute(record, step, run, claim)
        except CommitError:
            run.fail(PROGRAM_MOVED)
        finally:
            self._release_resources(record, step, claim)
            self._metrics.record_duration(
                Timer.STEP, self._clock.now_ms() - started_ms
            )

    def _release_resources(
        self, record: Program, step: Step, claim: SlotClaim | None
    ) -> None:
        if claim is not None:
            claim.release()
        self._runs.pop((record.program, step.number), None)
        self._run_removed.set()
        self._run_removed = anyio.Event()
        if record.state is ProgramState.ENDED:
            self._session_releaser.add_program(record)

    async def _execute(
        self, record: Program, step: Step, run: StepRun, claim: SlotClaim | None
    ) -> None:
        """Run a step and record its answer or the refusal it failed with.

        The step is limited by the step timeout and by the program's deadline.
        """
        timeout_ms = min(
            self._step_timeout_ms,
            max(1, record.deadline_ms - self._clock.wall_ms()),
        )
        try:
            with run.scope, self._clock.timeout(timeout_ms):
                service = self._registry.service(step.request.service)
                answer = await self._dispatcher.dispatch(
                    self._log, service, record, step, run, claim
                )
                await self._finish_step(record, step, run, answer)
                return
        except TimeoutError:
            refusal = CallError(
                ErrorCode.DEADLINE_EXCEEDED,
                'the step took longer than it may',
                step_verdict(step),
            ).refusal
        except CallError as exc:
            refusal = _with_attempts(exc.refusal, step)
        else:
            self._metrics.count(Counter.STEP_CANCELLED)
            refusal = CallError(
                ErrorCode.CANCELLED,
                'the step was cancelled',
                step_verdict(step),
            ).refusal
        with anyio.CancelScope(shield=True):
            await self.fail_step(record, step, run, refusal)

    async def _finish_step(
        self, record: Program, step: Step, run: StepRun, answer: Answer
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


def _with_attempts(refusal: Refusal, step: Step) -> Refusal:
    """Return the refusal with a verdict that covers all attempts of its step.

    A retry may be refused before it is sent although an earlier attempt has
    been sent.
    """
    verdict = combine_verdicts(refusal.verdict, step_verdict(step))
    return msgspec.structs.replace(refusal, verdict=verdict)
