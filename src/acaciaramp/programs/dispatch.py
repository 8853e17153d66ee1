"""Sends a step to endpoints until one answers or a retry is not allowed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from acaciaramp.endpoints.calls import Call
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import EndpointId
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.programs.commands import BeginAttempt, EndAttempt
from acaciaramp.programs.history import messages_before
from acaciaramp.programs.reservation import output_limit
from acaciaramp.retries.backoff import backoff_ms
from acaciaramp.retries.budget import RetryBudget
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict, combine_verdicts

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Service
    from acaciaramp.endpoints.calls import Sender
    from acaciaramp.ids import ProgramId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.programs.log import CommandLog
    from acaciaramp.programs.runs import StepRun
    from acaciaramp.records import Answer, Program, Step
    from acaciaramp.scheduling.placement import Placement, SlotClaim
    from acaciaramp.scheduling.scheduler import Scheduler
    from acaciaramp.settings.model import Retries

logger = get_logger('dispatch')


class Dispatcher:
    """Sends steps to endpoints and retries failed attempts where allowed."""

    def __init__(
        self,
        *,
        scheduler: Scheduler,
        send: Sender,
        retries: Retries,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        """Create the dispatcher.

        Args:
            scheduler: Chooses an endpoint for each attempt.
            send: Sends one attempt to an endpoint.
            retries: Limits and pauses of retries.
            clock: Times the pauses and measures durations.
            metrics: Counts retries by kind of failure.
            rng: Source of the backoff's jitter; seeded by tests.
        """
        self._scheduler = scheduler
        self._send = send
        self._retries = retries
        self._clock = clock
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._retry_budget = RetryBudget(retries.ratio, retries.reserve)

    async def dispatch(
        self,
        log: CommandLog,
        service: Service,
        record: Program,
        step: Step,
        run: StepRun,
        claim: SlotClaim | None = None,
    ) -> Answer:
        """Return the complete answer of a step.

        Args:
            log: Records each attempt before it is sent.
            service: The service that the step calls.
            record: The step's program.
            step: The step.
            run: Receives the pieces of the answer as they arrive.
            claim: The slot of the first attempt, if that was committed together
                with the step; None to wait for a slot.

        Raises:
            CallError: No attempt succeeded, with the verdict on all of them;
                or the queue for a slot was full or timed out, with the verdict
                ``NOT_RUN``.
            CommitError: This instance lost the leadership of the cell.
        """
        self._retry_budget.on_request()
        while True:
            if claim is None:
                slot = self._scheduler.acquire_slot(service, record, step)
            else:
                slot = claim.occupy()
            async with slot as placement:
                if claim is None:
                    await log.commit(
                        make_begin_attempt(record.program, step, placement)
                    )
                try:
                    return await self._send_attempt(
                        log, service, record, step, run, placement
                    )
                except EndpointError as exc:
                    error = exc
            claim = None
            await self._wait_before_retry(step, error)
            run.restart()

    def try_acquire_slot(
        self, service: Service, record: Program, step: Step
    ) -> SlotClaim | None:
        """Acquire a slot for a new step; return None if none is free now."""
        return self._scheduler.try_acquire_slot(service, record, step)

    async def _send_attempt(
        self,
        log: CommandLog,
        service: Service,
        record: Program,
        step: Step,
        run: StepRun,
        placement: Placement,
    ) -> Answer:
        call = Call(
            program=record.program,
            request=step.request,
            history=messages_before(record, step.number),
            max_tokens=output_limit(record, step),
            inactivity_ms=service.inactivity_ms,
        )
        started_ms = self._clock.now_ms()
        try:
            answer = await self._send(
                placement.endpoint, call, run.append_piece
            )
        except EndpointError as exc:
            self._scheduler.record_failure(placement.endpoint, exc)
            await log.commit(
                EndAttempt(
                    program=record.program,
                    number=step.number,
                    attempt=len(step.attempts) - 1,
                    verdict=exc.verdict,
                    failure=exc.failure.value,
                )
            )
            raise
        self._scheduler.record_success(placement.endpoint)
        self._metrics.record_duration(
            Timer.ENDPOINT, self._clock.now_ms() - started_ms
        )
        return answer

    async def _wait_before_retry(
        self, step: Step, error: EndpointError
    ) -> None:
        """Sleep for the backoff of the next attempt.

        Raises:
            CallError: The request must not be sent again, or the attempts or
                the retry budget are used up.
        """
        if not self._is_retry_allowed(step, error):
            raise _final_error(step, error)
        if not self._retry_budget.try_retry():
            self._metrics.count(Counter.RETRY_DENIED, error.failure)
            raise _final_error(step, error)
        self._metrics.count(Counter.RETRIED, error.failure)
        failed_attempt = len(step.attempts) - 1
        pause_ms = backoff_ms(self._retries, failed_attempt, self._rng)
        logger.info(
            'The attempt failed; retrying after a pause.',
            failure=error.failure.value,
            pause_ms=pause_ms,
        )
        await self._clock.sleep_ms(pause_ms)

    def _is_retry_allowed(self, step: Step, error: EndpointError) -> bool:
        """Return whether attempts are left and the request may be resent.

        A request that may have run is resent only if it is repeatable.
        """
        if len(step.attempts) >= self._retries.attempts:
            return False
        if error.verdict is Verdict.RAN:
            return False
        return step.request.repeatable or error.verdict is Verdict.NOT_RUN


def make_begin_attempt(
    program: ProgramId, step: Step, placement: Placement
) -> BeginAttempt:
    """Return the command that records the intent to send a step."""
    return BeginAttempt(
        program=program,
        number=step.number,
        attempt=len(step.attempts),
        endpoint=EndpointId(placement.endpoint.id),
        reason=placement.reason.value,
        queued_ms=placement.queued_ms,
    )


def step_verdict(step: Step) -> Verdict:
    """Return the verdict on all attempts of a running step.

    An attempt without a recorded verdict may have run.
    """
    verdict = Verdict.NOT_RUN
    for attempt in step.attempts:
        verdict = combine_verdicts(
            verdict, attempt.verdict or Verdict.MAY_HAVE_RUN
        )
    return verdict


def _final_error(step: Step, error: EndpointError) -> CallError:
    verdict = step_verdict(step)
    if verdict is Verdict.NOT_RUN and error.failure is Failure.CONNECT:
        return CallError(ErrorCode.NO_ENDPOINT, str(error), verdict)
    if verdict is Verdict.MAY_HAVE_RUN and not step.request.repeatable:
        return CallError(
            ErrorCode.OUTCOME_UNKNOWN,
            f'{error}; the call must not be repeated and was sent once',
            verdict,
        )
    return CallError(ErrorCode.ENDPOINT_FAILED, str(error), verdict)
