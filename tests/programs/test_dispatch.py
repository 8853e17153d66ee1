"""Retries follow the verdict, the request and the retry budget."""

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
from acaciaramp.programs.runs import Run
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


class Bench:
    """A dispatcher before endpoints that follow a script."""

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
        return await self.dispatcher.run(
            MemoryLog(self.state),
            service,
            record,
            record.steps[build.FIRST_STEP],
            Run(keep=True),
        )

    async def _send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        self.sent.append(endpoint.id)
        step = self._script.pop(0)
        if isinstance(step, EndpointError):
            raise step
        return step


def error(
    verdict: Verdict, failure: Failure = Failure.CONNECTION_LOST
) -> EndpointError:
    return EndpointError(failure, verdict, 'scripted')


async def drive(bench: Bench, request: StepRequest) -> Answer | CallError:
    """Run a step to its end, firing every pause at once."""
    results: list[Answer | CallError] = []

    async def work() -> None:
        try:
            results.append(await bench.run(request))
        except CallError as exc:
            results.append(exc)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(work)
        while not results:
            await anyio.lowlevel.checkpoint()
            bench.clock.advance(1)
    return results[0]


def outcome(
    script: Script, request: StepRequest, retries: Retries | None = None
) -> tuple[Bench, Answer | CallError]:
    bench = Bench(script, retries or Retries())
    return bench, anyio.run(drive, bench, request)


def test_model_call_runs_again_on_another_endpoint() -> None:
    script: Script = [error(Verdict.MAY_HAVE_RUN), build.answer()]
    bench, result = outcome(script, build.chat_request())
    assert isinstance(result, Answer)
    assert bench.sent == ['engine-1', 'engine-2']
    assert bench.metrics.counts['retried.cut'] == 1


def test_call_that_must_not_be_repeated_is_sent_once() -> None:
    script: Script = [error(Verdict.MAY_HAVE_RUN), build.answer()]
    bench, result = outcome(script, build.tool_request())
    assert isinstance(result, CallError)
    assert result.refusal.code is ErrorCode.OUTCOME_UNKNOWN
    assert result.refusal.verdict is Verdict.MAY_HAVE_RUN
    assert len(bench.sent) == 1


def test_call_that_was_not_sent_is_tried_again() -> None:
    failure = error(Verdict.NOT_RUN, Failure.CONNECT)
    bench, result = outcome([failure, build.answer()], build.tool_request())
    assert isinstance(result, Answer)
    assert len(bench.sent) == 2


def test_refusal_is_not_run_when_no_attempt_was_sent() -> None:
    script: Script = [error(Verdict.NOT_RUN, Failure.CONNECT) for _ in range(3)]
    _, result = outcome(script, build.tool_request())
    assert isinstance(result, CallError)
    assert result.refusal.verdict is Verdict.NOT_RUN


def test_refusal_remembers_an_attempt_that_may_have_run() -> None:
    script: Script = [
        error(Verdict.MAY_HAVE_RUN),
        error(Verdict.NOT_RUN, Failure.CONNECT),
        error(Verdict.NOT_RUN, Failure.CONNECT),
    ]
    _, result = outcome(script, build.chat_request())
    assert isinstance(result, CallError)
    assert result.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_retry_budget_bounds_the_retries() -> None:
    script: Script = [error(Verdict.MAY_HAVE_RUN), build.answer()]
    bench, result = outcome(script, build.chat_request(), Retries(reserve=0))
    assert isinstance(result, CallError)
    assert bench.metrics.counts['retry_denied.cut'] == 1
    assert len(bench.sent) == 1


@pytest.mark.parametrize('make', [build.chat_request, build.tool_request])
def test_intent_is_recorded_before_it_is_sent(
    make: Callable[[], StepRequest],
) -> None:
    bench, _ = outcome([build.answer()], make())
    attempts = bench.state.step(build.PROGRAM, build.FIRST_STEP).attempts
    assert [attempt.endpoint for attempt in attempts] == bench.sent
