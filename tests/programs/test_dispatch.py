"""Retries depend on the verdict, the request and the retry budget."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.programs import commands as cmds
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.programs.log import MemoryLog
from acaciaramp.programs.runs import StepRun
from acaciaramp.programs.state_machine import Programs, apply
from acaciaramp.records import Answer, StepRequest
from acaciaramp.scheduling.scheduler import Scheduler
from acaciaramp.settings.model import Retries
from acaciaramp.verdicts import Verdict
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.documents.model import Endpoint
    from acaciaramp.endpoints.calls import Call, DeltaSink

Script = list[Answer | EndpointError]


class DispatchHarness:
    """A dispatcher whose endpoints reply as a script says."""

    def __init__(self, script: Script, retries: Retries) -> None:
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.sent: list[str] = []
        self.state = Programs()
        self._script = script
        engines = {
            f'engine-{number}': 'http://127.0.0.1:1' for number in (1, 2)
        }
        self.registry = build.registry(engines=engines)
        scheduler = Scheduler(
            zone='medina-nord',
            instances=1,
            queue_length=10,
            queue_ms=10_000,
            clock=self.clock,
            metrics=self.metrics,
            is_leaving=lambda name: False,
        )
        self.dispatcher = Dispatcher(
            scheduler=scheduler,
            send=self._send,
            retries=retries,
            clock=self.clock,
            metrics=self.metrics,
            rng=random.Random(1),
        )

    async def run(self, request: StepRequest) -> Answer:
        apply(self.state, cmds.CreateProgram(build.program()))
        apply(self.state, build.begin_step(1, request=request))
        record = self.state.by_id[build.PROGRAM]
        service = self.registry.service(request.service)
        return await self.dispatcher.dispatch(
            MemoryLog(self.state),
            service,
            record,
            record.steps[build.FIRST_STEP],
            StepRun(keep=True),
        )

    async def _send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        self.sent.append(endpoint.id)
        reply = self._script.pop(0)
        if isinstance(reply, EndpointError):
            raise reply
        return reply


def make_error(
    verdict: Verdict, failure: Failure = Failure.CONNECTION_LOST
) -> EndpointError:
    return EndpointError(failure, verdict, 'scripted')


async def run_step(
    harness: DispatchHarness, request: StepRequest
) -> Answer | CallError:
    """Run a step to its end; the clock advances without real pauses."""
    results: list[Answer | CallError] = []

    async def collect_result() -> None:
        try:
            results.append(await harness.run(request))
        except CallError as exc:
            results.append(exc)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(collect_result)
        while not results:
            await anyio.lowlevel.checkpoint()
            harness.clock.advance(1)
    return results[0]


def run_script(
    script: Script, request: StepRequest, retries: Retries | None = None
) -> tuple[DispatchHarness, Answer | CallError]:
    harness = DispatchHarness(script, retries or Retries())
    return harness, anyio.run(run_step, harness, request)


def test_model_call_is_retried_on_another_endpoint() -> None:
    script: Script = [make_error(Verdict.MAY_HAVE_RUN), build.answer()]
    harness, result = run_script(script, build.chat_request())
    assert isinstance(result, Answer)
    assert harness.sent == ['engine-1', 'engine-2']
    assert harness.metrics.counts['retried.cut'] == 1


def test_non_repeatable_call_that_may_have_run_is_sent_once() -> None:
    script: Script = [make_error(Verdict.MAY_HAVE_RUN), build.answer()]
    harness, result = run_script(script, build.tool_request())
    assert isinstance(result, CallError)
    assert result.refusal.code is ErrorCode.OUTCOME_UNKNOWN
    assert result.refusal.verdict is Verdict.MAY_HAVE_RUN
    assert len(harness.sent) == 1


def test_non_repeatable_call_that_did_not_run_is_retried() -> None:
    failure = make_error(Verdict.NOT_RUN, Failure.CONNECT)
    harness, result = run_script(
        [failure, build.answer()], build.tool_request()
    )
    assert isinstance(result, Answer)
    assert len(harness.sent) == 2


def test_verdict_is_not_run_when_no_attempt_was_sent() -> None:
    script: Script = [
        make_error(Verdict.NOT_RUN, Failure.CONNECT) for _ in range(3)
    ]
    _, result = run_script(script, build.tool_request())
    assert isinstance(result, CallError)
    assert result.refusal.verdict is Verdict.NOT_RUN


def test_verdict_includes_an_earlier_attempt_that_may_have_run() -> None:
    script: Script = [
        make_error(Verdict.MAY_HAVE_RUN),
        make_error(Verdict.NOT_RUN, Failure.CONNECT),
        make_error(Verdict.NOT_RUN, Failure.CONNECT),
    ]
    _, result = run_script(script, build.chat_request())
    assert isinstance(result, CallError)
    assert result.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_exhausted_retry_budget_denies_the_retry() -> None:
    script: Script = [make_error(Verdict.MAY_HAVE_RUN), build.answer()]
    harness, result = run_script(
        script, build.chat_request(), Retries(reserve=0)
    )
    assert isinstance(result, CallError)
    assert harness.metrics.counts['retry_denied.cut'] == 1
    assert len(harness.sent) == 1


@pytest.mark.parametrize('make', [build.chat_request, build.tool_request])
def test_attempt_is_recorded_for_each_request_sent(
    make: Callable[[], StepRequest],
) -> None:
    harness, _ = run_script([build.answer()], make())
    attempts = harness.state.get_step(build.PROGRAM, build.FIRST_STEP).attempts
    assert [attempt.endpoint for attempt in attempts] == harness.sent
