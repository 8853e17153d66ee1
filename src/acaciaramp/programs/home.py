"""The home of programs: answers every request about those it owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter
from acaciaramp.programs import api, expiry
from acaciaramp.programs.commands import (
    Batch,
    BeginStep,
    CreateProgram,
    EndProgram,
    ForgetProgram,
    SingleCommand,
)
from acaciaramp.programs.create import new_record
from acaciaramp.programs.dispatch import begin_attempt, verdict_of
from acaciaramp.programs.reserve import worst_case
from acaciaramp.programs.runner import MOVED, Runner
from acaciaramp.programs.runs import Run
from acaciaramp.programs.state_machine import new_step
from acaciaramp.programs.views import check_same, page_of, view_of
from acaciaramp.records import (
    EndReason,
    Program,
    ProgramState,
)
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.documents.registry import Registry
    from acaciaramp.ids import ProgramId, StepNumber, WorkspaceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.programs.dispatch import Dispatcher
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.session_releaser import SessionReleaser
    from acaciaramp.programs.state_machine import Programs
    from acaciaramp.settings.model import Settings

logger = get_logger('programs')


class Home:
    """Owns programs and runs their steps."""

    def __init__(
        self,
        *,
        state: Programs,
        log: CommandLog,
        registry: Registry,
        dispatcher: Dispatcher,
        session_releaser: SessionReleaser,
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
            session_releaser: Frees engine memory of programs that have ended.
            settings: Longest waits and the most programs.
            clock: Source of time.
            metrics: Counts steps and programs.
            tasks: Where steps run.
        """
        self._state = state
        self._log = log
        self._registry = registry
        self._dispatcher = dispatcher
        self._releases = session_releaser
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._is_refusing = False
        self._runner = Runner(
            log=log,
            registry=registry,
            dispatcher=dispatcher,
            session_releaser=session_releaser,
            longest_ms=settings.waits.step_ms,
            clock=clock,
            metrics=metrics,
            tasks=tasks,
        )

    @property
    def running(self) -> int:
        """How many steps are under way."""
        return self._runner.running

    async def create(self, req: api.Create) -> api.View:
        """Create a program, or return the one that the request made before.

        Raises:
            CallError: The budget, the parent or the service does not allow it.
        """
        existing = self._state.by_id.get(req.program)
        if existing is not None:
            check_same(existing, req)
            return view_of(existing, steps=False)
        if req.parent is not None:
            self._owned(req.parent, req.workspace)
        record = self._new_record(req)
        await self._log.commit(CreateProgram(record))
        self._metrics.count(Counter.PROGRAM_CREATED)
        return view_of(record, steps=False)

    async def submit(self, req: api.Submit) -> api.Done:
        """Begin a step, or join the same step if it began before.

        Raises:
            CallError: Order, budget, limits or another body forbid it.
        """
        record = self._record_of(req)
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
            raise CallError.from_refusal(MOVED)
        await self._begin(record, req)
        return api.Done()

    async def read(self, req: api.Read) -> api.Page:
        """Return what is new in the answer of a step, waiting for it.

        Raises:
            CallError: There is no such program or step.
        """
        self._owned(req.program, req.workspace)
        run = self._runner.find(req.program, req.number)
        if run is None:
            return page_of(self._state.step(req.program, req.number))
        try:
            with self._clock.timeout(req.wait_ms):
                await run.wait_news(req)
        except TimeoutError:
            return run.page(req)
        page = run.page(req)
        if page.refusal == MOVED:
            raise CallError.from_refusal(MOVED)
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
        run = self._runner.find(req.program, req.number)
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
                self._runner.start(record, step, None, keep=True)
                continue
            refusal = CallError(
                ErrorCode.OUTCOME_UNKNOWN,
                'the instance was lost that had sent the call',
                verdict_of(step),
            ).refusal
            await self._runner.fail(record, step, Run(keep=True), refusal)

    def is_gone(self, program: ProgramId) -> bool:
        """Return whether no engine needs to remember a program."""
        record = self._state.by_id.get(program)
        if record is None:
            return True
        return record.state is ProgramState.ENDED and record.running is None

    def abandon(self) -> None:
        """Send all readers elsewhere: another instance owns the programs."""
        self._runner.abandon()

    async def wait_idle(self) -> None:
        """Return once no step is under way."""
        await self._runner.wait_idle()

    def refuse_new(self) -> None:
        """Send new steps elsewhere from now on."""
        self._is_refusing = True

    def _record_of(self, req: api.Submit) -> Program:
        """Return the program of a step; a new one if it is made for it."""
        if not req.is_single:
            return self._owned(req.program, req.workspace)
        existing = self._state.by_id.get(req.program)
        if existing is None:
            return self._new_record(req.own_program())
        check_same(existing, req.own_program())
        return existing

    def _new_record(self, req: api.Create) -> Program:
        if len(self._state.by_id) >= self._settings.programs:
            raise CallError(
                ErrorCode.PROGRAM_LIMIT,
                'this instance holds as many programs as it may',
                retry_after_ms=self._settings.waits.queue_ms,
            )
        return new_record(req, self._registry, self._clock.wall_ms())

    async def _begin(self, record: Program, req: api.Submit) -> None:
        """Begin a step: its program, the step and its attempt in one entry."""
        service = self._registry.service(req.request.service)
        begin = BeginStep(
            program=req.program,
            number=req.number,
            request=req.request,
            reserved=worst_case(record, req.request, service.max_tokens),
            at_ms=self._clock.wall_ms(),
        )
        commands: list[SingleCommand] = [begin]
        is_new = req.program not in self._state.by_id
        if is_new:
            commands.insert(0, CreateProgram(record))
        step = new_step(begin)
        claim = self._dispatcher.try_claim(service, record, step)
        if claim is not None:
            commands.append(begin_attempt(req.program, step, claim.placement))
        try:
            await self._log.commit(Batch(tuple(commands)))
        except BaseException:
            if claim is not None:
                claim.release()
            raise
        if is_new:
            self._metrics.count(Counter.PROGRAM_CREATED)
        begun = self._state.get(req.program)
        self._runner.start(begun, begun.steps[req.number], claim, keep=req.keep)

    def _after_end(self, record: Program) -> None:
        step = record.running
        if step is None:
            self._releases.add(record)
        else:
            self._runner.cancel(record.program, step.number)
        for name in record.children:
            child = self._state.by_id.get(name)
            if child is not None:
                self._after_end(child)

    def _owned(self, program: ProgramId, workspace: WorkspaceId) -> Program:
        record = self._state.get(program)
        if record.workspace != workspace:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return record

    async def _wait_previous(self, record: Program, number: StepNumber) -> None:
        try:
            with self._clock.timeout(self._settings.waits.previous_step_ms):
                await self._runner.wait_before(record, number)
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
