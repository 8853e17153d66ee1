"""The home of programs: answers every request about those it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import StepNumber
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.programs import api, expiry
from acaciaramp.programs.commands import (
    BeginStep,
    CreateProgram,
    EndProgram,
    FailStep,
    FinishStep,
    ForgetProgram,
)
from acaciaramp.programs.create import new_record
from acaciaramp.programs.dispatch import verdict_of
from acaciaramp.programs.log import CommitError
from acaciaramp.programs.reserve import worst_case
from acaciaramp.programs.runs import Run
from acaciaramp.programs.views import check_same, page_of, view_of
from acaciaramp.records import (
    Answer,
    EndReason,
    Program,
    ProgramState,
    Step,
)
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.errors import Refusal
    from acaciaramp.ids import ProgramId, WorkspaceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.programs.dispatch import Dispatcher
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.machine import Programs
    from acaciaramp.programs.releases import Releases
    from acaciaramp.settings.model import Settings

logger = get_logger('programs')


_MOVED = CallError(
    ErrorCode.NOT_LEADER, 'another instance owns the program now'
).refusal


class Home:
    """Owns programs and runs their steps."""

    def __init__(
        self,
        *,
        state: Programs,
        log: CommandLog,
        registry: Registry,
        dispatcher: Dispatcher,
        releases: Releases,
        settings: Settings,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Create the home.

        Args:
            state: The programs.
            log: Makes every change durable before it is applied.
            registry: The document in force.
            dispatcher: Sends steps to endpoints.
            releases: Frees engine memory of programs that have ended.
            settings: Longest waits and the most programs.
            clock: Source of time.
            metrics: Counts steps and programs.
            tasks: Where steps run.
        """
        self._state = state
        self._log = log
        self._registry = registry
        self._dispatcher = dispatcher
        self._releases = releases
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._tasks = tasks
        self._is_refusing = False
        self._runs: dict[tuple[ProgramId, StepNumber], Run] = {}

    @property
    def running(self) -> int:
        """How many steps are under way."""
        return len(self._runs)

    async def create(self, req: api.Create) -> api.View:
        """Create a program, or return the one that the request made before.

        Raises:
            CallError: The budget, the parent or the service does not allow it.
        """
        existing = self._state.by_id.get(req.program)
        if existing is not None:
            check_same(existing, req)
            return view_of(existing, steps=False)
        if len(self._state.by_id) >= self._settings.programs:
            raise CallError(
                ErrorCode.PROGRAM_LIMIT,
                'this instance holds as many programs as it may',
                retry_after_ms=self._settings.waits.queue_ms,
            )
        if req.parent is not None:
            self._owned(req.parent, req.workspace)
        record = new_record(req, self._registry, self._clock.wall_ms())
        await self._log.commit(CreateProgram(record))
        self._metrics.count(Counter.PROGRAM_CREATED)
        return view_of(record, steps=False)

    async def submit(self, req: api.Submit) -> api.Done:
        """Begin a step, or join the same step if it began before.

        Raises:
            CallError: Order, budget, limits or another body forbid it.
        """
        record = self._owned(req.program, req.workspace)
        await self._wait_previous(record, req.number)
        known = record.steps.get(req.number)
        if known is not None:
            if known.fingerprint == req.request.fingerprint():
                return api.Done()
            raise CallError(
                ErrorCode.STEP_CONFLICT,
                f'step {req.number} exists with another body',
            )
        if self._is_refusing:
            raise CallError.from_refusal(_MOVED)
        service = self._registry.service(req.request.service)
        await self._log.commit(
            BeginStep(
                program=req.program,
                number=req.number,
                request=req.request,
                reserved=worst_case(record, req.request, service.max_tokens),
                at_ms=self._clock.wall_ms(),
            )
        )
        self._start(record, record.steps[req.number], keep=req.keep)
        return api.Done()

    async def read(self, req: api.Read) -> api.Page:
        """Return what is new in the answer of a step, waiting for it.

        Raises:
            CallError: There is no such program or step.
        """
        self._owned(req.program, req.workspace)
        run = self._runs.get((req.program, req.number))
        if run is None:
            return page_of(self._state.step(req.program, req.number))
        try:
            with self._clock.timeout(req.wait_ms):
                await run.wait_news(req)
        except TimeoutError:
            return run.page(req)
        page = run.page(req)
        if page.refusal == _MOVED:
            raise CallError.from_refusal(_MOVED)
        return page

    async def show(self, req: api.Show) -> api.View:
        """Return the state of a program.

        Raises:
            CallError: There is no such program.
        """
        return view_of(self._owned(req.program, req.workspace), steps=req.steps)

    async def end(self, req: api.End) -> api.Done:
        """End a program and cancel its step under way.

        Raises:
            CallError: There is no such program.
        """
        self._owned(req.program, req.workspace)
        await self.end_program(req.program, EndReason.CALLER)
        return api.Done()

    async def cancel(self, req: api.Cancel) -> api.Done:
        """Cancel a step whose caller has gone, unless it is to be kept."""
        self._owned(req.program, req.workspace)
        run = self._runs.get((req.program, req.number))
        if run is not None and not run.keep:
            run.scope.cancel()
        return api.Done()

    async def end_program(self, program: ProgramId, reason: EndReason) -> None:
        """End a program and all its children."""
        record = self._state.get(program)
        if record.state is ProgramState.ENDED:
            return
        at_ms = self._clock.wall_ms()
        await self._log.commit(
            EndProgram(program=program, reason=reason, at_ms=at_ms)
        )
        self._metrics.count(Counter.PROGRAM_ENDED, reason)
        self._after_end(record)

    async def expire(self) -> None:
        """End the programs that are over and forget old ones."""
        now_ms = self._clock.wall_ms()
        for program, reason in expiry.overdue(self._state, now_ms):
            await self.end_program(program, reason)
        retention_s = self._registry.document.retention_s
        for program in expiry.forgettable(self._state, now_ms, retention_s):
            await self._log.commit(ForgetProgram(program))

    async def recover(self) -> None:
        """Go on with the steps that an earlier leader had under way.

        A call that must not be repeated and may have been sent is ended with
        an unknown outcome; everything else runs again.
        """
        for record in list(self._state.by_id.values()):
            step = record.running
            if step is None:
                continue
            if step.request.repeatable or not step.attempts:
                self._start(record, step, keep=True)
                continue
            refusal = CallError(
                ErrorCode.OUTCOME_UNKNOWN,
                'the instance was lost that had sent the call',
                verdict_of(step),
            ).refusal
            await self._fail(record, step, Run(keep=True), refusal)

    def is_gone(self, program: ProgramId) -> bool:
        """Return whether no engine needs to remember a program."""
        record = self._state.by_id.get(program)
        if record is None:
            return True
        return record.state is ProgramState.ENDED and record.running is None

    def refuse_new(self) -> None:
        """Send new steps elsewhere from now on."""
        self._is_refusing = True

    def abandon(self) -> None:
        """Send all readers elsewhere: another instance owns the programs."""
        for run in self._runs.values():
            if not run.is_over:
                run.fail(_MOVED)

    async def wait_idle(self) -> None:
        """Return once no step is under way."""
        while self._runs:
            run = next(iter(self._runs.values()))
            await run.wait_change()

    def _after_end(self, record: Program) -> None:
        step = record.running
        if step is None:
            self._releases.add(record)
        else:
            self._cancel(record.program, step.number)
        for name in record.children:
            child = self._state.by_id.get(name)
            if child is not None:
                self._after_end(child)

    def _cancel(self, program: ProgramId, number: StepNumber) -> None:
        run = self._runs.get((program, number))
        if run is not None:
            run.scope.cancel()

    def _owned(self, program: ProgramId, workspace: WorkspaceId) -> Program:
        record = self._state.get(program)
        if record.workspace != workspace:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return record

    async def _wait_previous(self, record: Program, number: StepNumber) -> None:
        previous = record.program, StepNumber(number - 1)
        try:
            with self._clock.timeout(self._settings.waits.previous_step_ms):
                while previous in self._runs and number not in record.steps:
                    await self._runs[previous].wait_change()
        except TimeoutError:
            raise CallError(
                ErrorCode.STEP_CONFLICT,
                f'step {number - 1} is still under way',
                retry_after_ms=self._settings.waits.previous_step_ms,
            ) from None
        if number > record.next_step:
            raise CallError(
                ErrorCode.STEP_SKIPPED,
                f'the next step is {record.next_step}, not {number}',
            )

    def _start(self, record: Program, step: Step, *, keep: bool) -> None:
        run = Run(keep=keep)
        self._runs[record.program, step.number] = run
        self._metrics.count(Counter.STARTED, step.request.kind)
        self._tasks.start_soon(self._run_step, record, step, run)

    async def _run_step(self, record: Program, step: Step, run: Run) -> None:
        started_ms = self._clock.now_ms()
        try:
            await self._run_to_end(record, step, run)
        except CommitError:
            run.fail(_MOVED)
        finally:
            self._after_run(record, step)
            self._metrics.time(Timer.STEP, self._clock.now_ms() - started_ms)

    def _after_run(self, record: Program, step: Step) -> None:
        self._runs.pop((record.program, step.number), None)
        if record.state is ProgramState.ENDED:
            self._releases.add(record)

    async def _run_to_end(self, record: Program, step: Step, run: Run) -> None:
        longest_ms = min(
            self._settings.waits.step_ms,
            max(1, record.deadline_ms - self._clock.wall_ms()),
        )
        try:
            with run.scope, self._clock.timeout(longest_ms):
                service = self._registry.service(step.request.service)
                answer = await self._dispatcher.run(
                    self._log, service, record, step, run
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
            self._metrics.count(Counter.CANCELLED)
            refusal = CallError(
                ErrorCode.CANCELLED, 'the step was cancelled', verdict_of(step)
            ).refusal
        with anyio.CancelScope(shield=True):
            await self._fail(record, step, run, refusal)

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
        self._metrics.count(Counter.FINISHED, step.request.kind)
        run.finish(command.answer)

    async def _fail(
        self, record: Program, step: Step, run: Run, refusal: Refusal
    ) -> None:
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
        self._metrics.count(Counter.FAILED, refusal.code)
        run.fail(refusal)
