"""The home of a cell's programs: serves all requests about them.

The home of a program is the instance that leads its cell and runs its steps.
"""

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
from acaciaramp.programs.create import make_program
from acaciaramp.programs.dispatch import make_begin_attempt, step_verdict
from acaciaramp.programs.reservation import worst_case_budget
from acaciaramp.programs.runner import PROGRAM_MOVED, StepRunner
from acaciaramp.programs.runs import StepRun
from acaciaramp.programs.state_machine import new_step
from acaciaramp.programs.views import check_matches, make_page, make_view
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
    """Serves requests about a cell's programs while this instance leads it.

    Methods that change programs raise ``CommitError`` if the leadership is lost
    before the change is committed.
    """

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
            state: The cell's programs; changed through the log only.
            log: Makes every command durable before it is applied.
            registry: The active document.
            dispatcher: Sends steps to endpoints.
            session_releaser: Releases the engine sessions of ended programs.
            settings: Timeouts and the maximum number of programs.
            clock: Source of time.
            metrics: Counts steps and programs.
            tasks: Task group that the steps run in.
        """
        self._state = state
        self._log = log
        self._registry = registry
        self._dispatcher = dispatcher
        self._session_releaser = session_releaser
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._is_refusing_steps = False
        self._runner = StepRunner(
            log=log,
            registry=registry,
            dispatcher=dispatcher,
            session_releaser=session_releaser,
            step_timeout_ms=settings.waits.step_ms,
            clock=clock,
            metrics=metrics,
            tasks=tasks,
        )

    @property
    def running_count(self) -> int:
        """Number of running steps."""
        return self._runner.running_count

    async def create(self, req: api.Create) -> api.View:
        """Create a program; return the existing one if this is a resend.

        Raises:
            CallError: The service or the parent is unknown, the parent has
                ended, the budget is too large, this instance has too many
                programs, or the id was used for another request.
        """
        existing = self._state.by_id.get(req.program)
        if existing is not None:
            check_matches(existing, req)
            return make_view(existing, steps=False)
        if req.parent is not None:
            self._get_program(req.parent, req.workspace)
        record = self._make_program(req)
        await self._log.commit(CreateProgram(record))
        self._metrics.count(Counter.PROGRAM_CREATED)
        return make_view(record, steps=False)

    async def submit(self, req: api.Submit) -> api.Done:
        """Start a step; do nothing if the same step exists already.

        Raises:
            CallError: The step is out of order, exceeds the budget or a limit,
                or exists with another body.
        """
        record = self._program_for_step(req)
        await self._wait_for_previous(record, req.number)
        existing = record.steps.get(req.number)
        if existing is not None:
            if existing.fingerprint == req.request.fingerprint():
                return api.Done()
            raise CallError(
                ErrorCode.STEP_CONFLICT,
                f'step {req.number} exists with another body',
            )
        if self._is_refusing_steps:
            raise CallError.from_refusal(PROGRAM_MOVED)
        await self._start_step(record, req)
        return api.Done()

    async def read(self, req: api.Read) -> api.Page:
        """Return the part of a step's answer that the reader does not have.

        Waits up to ``req.wait_ms`` for an update. If there is none, the page
        has no pieces.

        Raises:
            CallError: The program or the step is unknown, or this instance lost
                the leadership of the cell during the wait.
        """
        self._get_program(req.program, req.workspace)
        run = self._runner.find(req.program, req.number)
        if run is None:
            return make_page(self._state.get_step(req.program, req.number))
        try:
            with self._clock.timeout(req.wait_ms):
                await run.wait_for_update(req)
        except TimeoutError:
            return run.make_page(req)
        page = run.make_page(req)
        if page.refusal == PROGRAM_MOVED:
            raise CallError.from_refusal(PROGRAM_MOVED)
        return page

    async def show(self, req: api.Show) -> api.View:
        """Return the state of a program.

        Raises:
            CallError: The program is unknown.
        """
        return make_view(
            self._get_program(req.program, req.workspace), steps=req.steps
        )

    async def end(self, req: api.End) -> api.Done:
        """End a program and cancel its running step.

        Raises:
            CallError: The program is unknown.
        """
        self._get_program(req.program, req.workspace)
        await self.end_program(req.program, EndReason.CALLER)
        return api.Done()

    async def cancel(self, req: api.Cancel) -> api.Done:
        """Cancel a step of a disconnected caller, unless it has ``keep`` set.

        Raises:
            CallError: The program is unknown.
        """
        self._get_program(req.program, req.workspace)
        run = self._runner.find(req.program, req.number)
        if run is not None and not run.keep:
            run.scope.cancel()
        return api.Done()

    async def end_program(self, program: ProgramId, reason: EndReason) -> None:
        """End a program and all its children; do nothing if it has ended.

        Running steps are cancelled.

        Raises:
            CallError: The program is unknown.
        """
        record = self._state.get(program)
        if record.state is ProgramState.ENDED:
            return
        at_ms = self._clock.wall_ms()
        await self._log.commit(
            EndProgram(program=program, reason=reason, at_ms=at_ms)
        )
        self._metrics.count(Counter.PROGRAM_ENDED, reason)
        self._cancel_or_release(record)

    async def expire(self) -> None:
        """End expired programs; remove those past their retention period."""
        now_ms = self._clock.wall_ms()
        for program, reason in expiry.find_expired(self._state, now_ms):
            await self.end_program(program, reason)
        retention_s = self._registry.document.retention_s
        for program in expiry.find_removable(self._state, now_ms, retention_s):
            await self._log.commit(ForgetProgram(program))

    async def recover(self) -> None:
        """Resume the steps that were running under the previous leader.

        A call that is not repeatable and may have been sent fails with an
        unknown outcome; all others run again.
        """
        for record in list(self._state.by_id.values()):
            step = record.running_step
            if step is None:
                continue
            if step.request.repeatable or not step.attempts:
                self._runner.start(record, step, None, keep=True)
                continue
            refusal = CallError(
                ErrorCode.OUTCOME_UNKNOWN,
                'the instance was lost that had sent the call',
                step_verdict(step),
            ).refusal
            await self._runner.fail_step(
                record, step, StepRun(keep=True), refusal
            )

    def is_session_releasable(self, program: ProgramId) -> bool:
        """Return whether the engine sessions of a program can be released.

        That is the case if it is unknown, or has ended and has no running step.
        """
        record = self._state.by_id.get(program)
        if record is None:
            return True
        return (
            record.state is ProgramState.ENDED and record.running_step is None
        )

    def redirect_readers(self) -> None:
        """Redirect all readers to the new leader of the cell."""
        self._runner.redirect_readers()

    async def wait_until_idle(self) -> None:
        """Return once no step is running."""
        await self._runner.wait_until_idle()

    def refuse_new_steps(self) -> None:
        """Refuse new steps from now on; their callers ask other instances."""
        self._is_refusing_steps = True

    def _program_for_step(self, req: api.Submit) -> Program:
        """Return the program of a step, or a new record for a single step."""
        if not req.is_single:
            return self._get_program(req.program, req.workspace)
        existing = self._state.by_id.get(req.program)
        if existing is None:
            return self._make_program(req.create_request())
        check_matches(existing, req.create_request())
        return existing

    def _make_program(self, req: api.Create) -> Program:
        if len(self._state.by_id) >= self._settings.programs:
            raise CallError(
                ErrorCode.PROGRAM_LIMIT,
                'this instance holds as many programs as it may',
                retry_after_ms=self._settings.waits.queue_ms,
            )
        return make_program(req, self._registry, self._clock.wall_ms())

    async def _start_step(self, record: Program, req: api.Submit) -> None:
        """Commit the start of a step in one log entry, then run it.

        The entry also creates the program if it is new, and begins the first
        attempt if an endpoint has a free slot.
        """
        service = self._registry.service(req.request.service)
        begin = BeginStep(
            program=req.program,
            number=req.number,
            request=req.request,
            reserved=worst_case_budget(record, req.request, service.max_tokens),
            at_ms=self._clock.wall_ms(),
        )
        commands: list[SingleCommand] = [begin]
        is_new = req.program not in self._state.by_id
        if is_new:
            commands.insert(0, CreateProgram(record))
        step = new_step(begin)
        claim = self._dispatcher.try_acquire_slot(service, record, step)
        if claim is not None:
            commands.append(
                make_begin_attempt(req.program, step, claim.placement)
            )
        try:
            await self._log.commit(Batch(tuple(commands)))
        except BaseException:
            if claim is not None:
                claim.release()
            raise
        if is_new:
            self._metrics.count(Counter.PROGRAM_CREATED)
        started = self._state.get(req.program)
        self._runner.start(
            started, started.steps[req.number], claim, keep=req.keep
        )

    def _cancel_or_release(self, record: Program) -> None:
        """Cancel the running step or release the sessions, also of children.

        The runner releases the sessions after a cancelled step has ended.
        """
        step = record.running_step
        if step is None:
            self._session_releaser.add_program(record)
        else:
            self._runner.cancel(record.program, step.number)
        for name in record.children:
            child = self._state.by_id.get(name)
            if child is not None:
                self._cancel_or_release(child)

    def _get_program(
        self, program: ProgramId, workspace: WorkspaceId
    ) -> Program:
        record = self._state.get(program)
        if record.workspace != workspace:
            raise CallError(
                ErrorCode.UNKNOWN_PROGRAM, f'there is no program "{program}"'
            )
        return record

    async def _wait_for_previous(
        self, record: Program, number: StepNumber
    ) -> None:
        """Wait until a step exists or the step before it is not running.

        Raises:
            CallError: The step before is still running when the wait times
                out, or step numbers were skipped.
        """
        try:
            with self._clock.timeout(self._settings.waits.previous_step_ms):
                await self._runner.wait_for_previous(record, number)
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
