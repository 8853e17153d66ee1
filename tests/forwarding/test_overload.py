"""OverloadControl within the gateway: refusals, queue and retries."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from unittest import mock

import anyio
import msgspec
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.forwarding.chooser import EndpointChooser
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.overload import OverloadControl
from acaciaramp.forwarding.service_load import SelectorLoad
from acaciaramp.routing.model import RouteKind, WorkspacePolicy
from acaciaramp.scheduling.demand import position_of
from acaciaramp.scheduling.pressure import Pressure
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
)
from tests.forwarding.harness import (
    NOT_EXECUTED_HEADER,
    SERVICE_UNAVAILABLE,
    TURN_HEADERS,
    Harness,
    complete,
    dropped,
    refused,
    run,
    streamed,
)

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import ServiceName

RETAINED = build.route(
    is_retained=True, retention_ms=60_000, objective_ms=200, timeout_ms=1_000
)
STREAMING = build.route(objective_ms=200, timeout_ms=1_000)
TOOL = build.route(kind=RouteKind.IDEMPOTENT, timeout_ms=600, attempts=3)
BUSY = Pressure(running=95, slots=100, known_share=1)
UNDER_HALF = Pressure(running=45, waiting=4, slots=100, known_share=1)
# A program with a high position is refused by every level below full admission.
REFUSED_PROGRAM = next(
    f'p-{number}'.encode()
    for number in range(1_000)
    if position_of(f'p-{number}') > 0.95
)


class FakeLoad:
    """Load that a test sets.

    Attributes:
        pressure: Load of the service.
        free: Number of requests that the endpoints can take.
    """

    def __init__(self) -> None:
        self.pressure = BUSY
        self.free = 100

    def pressure_of(self, service: ServiceName) -> Pressure:
        return self.pressure

    def has_capacity(self, endpoint: Endpoint, claimed: int) -> bool:
        return claimed < self.free


def control(harness: Harness, percent: int = 100) -> FakeLoad:
    """Turn on admission control at a level; return its load."""
    load = FakeLoad()
    harness.chooser.overload = OverloadControl(
        load,
        lambda name: harness.router.workspaces[name].priority,
        SystemClock(),
        harness.metrics,
        random.Random(1),
    )
    level = harness.chooser.overload._state(build.MODEL).level
    level._percents = {0: percent}
    return load


def claims(harness: Harness) -> int:
    assert harness.chooser.overload is not None
    return sum(harness.chooser.overload._claims.values())


def program(name: bytes = REFUSED_PROGRAM) -> tuple[tuple[bytes, bytes], ...]:
    return ((b'x-program-id', name), *TURN_HEADERS[1:])


def error(caller: FakeCaller) -> tuple[str, str]:
    fields = msgspec.json.decode(caller.body)['error']
    return fields['code'], fields['verdict']


def test_a_new_program_is_refused_before_the_ledger_is_asked() -> None:
    """Guards against commits and tokens that a refused program costs."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        control(harness, percent=20)
        harness.ledger.is_down = True
        caller = await harness.request('a1', *program())
        assert caller.status == 503
        assert error(caller) == ('overloaded', 'not_run')
        assert 0.8 * 1.6 < float(caller.headers[b'retry-after']) < 1.6 * 1.6
        assert harness.metrics.counts['refused.overloaded'] == 1
        assert not fakes[0].received

    run(RETAINED, scenario, streamed)


def test_a_program_that_the_ledger_calls_new_is_refused_and_released() -> None:
    """Guards against a budget that stays reserved for a refused program."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        control(harness, percent=20)
        caller = await harness.request('a1', *program())
        assert error(caller) == ('overloaded', 'not_run')
        await anyio.wait_all_tasks_blocked()
        assert [item.turn.attempt for item in harness.ledger.closed] == ['a1']
        assert not fakes[0].received

    run(STREAMING, scenario, streamed)


def test_later_turns_of_an_admitted_program_are_not_refused() -> None:
    """Guards against programs that are abandoned halfway."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        control(harness)
        assert (await harness.request('a1', *program())).status == 200
        control(harness, percent=5)
        previous = (b'x-previous-turn', b'a1')
        later = await harness.request('a2', *program(), previous)
        assert later.status == 200

    run(RETAINED, scenario, streamed)


def test_nothing_is_refused_or_delayed_under_half_of_the_slots() -> None:
    """Guards against refusals by mistake in normal operation."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        load = control(harness, percent=5)
        load.pressure = UNDER_HALF
        load.free = 0
        assert (await harness.request('a1', *program())).status == 200

    run(RETAINED, scenario, streamed)


@pytest.mark.parametrize(
    ('headers', 'is_running'), [((), False), (program()[:1], True)]
)
def test_tool_calls_rank_as_their_program(
    headers: tuple[tuple[bytes, bytes], ...], *, is_running: bool
) -> None:
    """Guards against programs that lose their tools to new programs."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        control(harness, percent=5)
        # Without a program, the request's own id decides.
        attempt = REFUSED_PROGRAM.decode()
        status = (await harness.request(attempt, *headers)).status
        assert status == (200 if is_running else 503)

    run(TOOL, scenario, complete)


def test_the_priority_of_the_workspace_precedes_that_of_the_route() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        control(harness)
        workspace = WorkspacePolicy(
            name=build.WORKSPACE, keys=(build.KEY,), priority=2
        )
        harness.router.install_table(
            build.routing_table(TOOL, version=2, workspaces=(workspace,))
        )
        await harness.request()
        assert harness.chooser.overload is not None
        level = harness.chooser.overload._state(build.MODEL).level
        assert list(level._mix) == [2]

    run(TOOL, scenario, complete)


def test_a_request_waits_for_capacity_and_is_sent_when_it_comes() -> None:
    """Guards against requests that fill the queues of full endpoints."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        load.free = 0
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, harness, caller)
            await anyio.sleep(0.05)
            assert not fakes[0].received
            load.free = 1
            assert harness.chooser.overload is not None
            harness.chooser.overload.wake(build.MODEL)
        assert caller.status == 200
        assert claims(harness) == 0

    run(TOOL, scenario, complete)


def test_a_request_without_capacity_in_time_is_refused_as_not_run() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        load.free = 0
        caller = await harness.request('a1', *program())
        assert caller.status == 503
        assert error(caller) == ('queue_timeout', 'not_run')
        assert float(caller.headers[b'retry-after']) >= 0.1
        assert not fakes[0].received
        await anyio.wait_all_tasks_blocked()
        assert [item.turn.attempt for item in harness.ledger.closed] == ['a1']

    run(STREAMING, scenario, streamed)


def test_a_caller_that_goes_while_it_waits_leaves_nothing_taken() -> None:
    """Guards against capacity that is lost with each caller that gives up."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        load.free = 0
        gone = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, harness, gone)
            await anyio.sleep(0.02)
            gone.disconnected.set()
        load.free = 1
        assert (await harness.request('a2')).status == 200
        assert claims(harness) == 0
        assert len(fakes[0].received) == 1

    run(TOOL, scenario, complete)


def test_a_grant_to_a_request_that_was_just_ended_is_taken_back() -> None:
    """Guards against capacity that nobody uses after a stop of requests."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        load.free = 0
        ended = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, harness, ended)
            await anyio.sleep(0.02)
            harness.gateway.end_requests()
            load.free = 1
            assert harness.chooser.overload is not None
            harness.chooser.overload.wake(build.MODEL)
            assert claims(harness) == 1
        assert claims(harness) == 0

    run(TOOL, scenario, complete)


def test_a_caller_that_goes_while_an_origin_is_stored_frees_its_claim() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        load.free = 1
        stored = anyio.Event()

        async def never_stored(*_: object) -> None:
            stored.set()
            await anyio.sleep_forever()

        harness.chooser._record_origin = never_stored
        gone = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, harness, gone, (b'x-program-id', b'p'))
            await anyio.sleep(0.02)
            assert stored.is_set()
            assert claims(harness) == 1
            gone.disconnected.set()
        assert claims(harness) == 0

    route = build.route(is_resumable=True, timeout_ms=1_000)
    # Nothing is expected, so that the origin is stored before the stream begins.
    with mock.patch.object(
        EndpointChooser, 'expected_origin', return_value=None
    ):
        run(route, scenario, streamed)


def full_and_refused(request: ReceivedRequest) -> list[bytes | None]:
    head = f'{NOT_EXECUTED_HEADER}x-instance-load: 4,24,4\r\n'
    return [response_to(request, b'', SERVICE_UNAVAILABLE, head)]


def test_no_retry_is_sent_while_every_endpoint_is_full() -> None:
    """Guards against retries that only get the same refusal."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        control(harness)
        overload = harness.chooser.overload
        assert overload is not None
        overload._load = SelectorLoad(harness.selector, SystemClock())
        for endpoint in harness.endpoints:
            harness.selector.record_load(endpoint, EndpointLoad(4, 0, 4))
        caller = await harness.request()
        assert error(caller) == ('queue_timeout', 'not_run')
        assert [len(fake.received) for fake in fakes] == [1, 1]

    run(TOOL, scenario, full_and_refused, full_and_refused)


def test_retries_have_a_budget_under_load_only() -> None:
    """Guards against retries that multiply an overload."""

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        load = control(harness)
        callers = [await harness.request(f'a{number}') for number in range(8)]
        assert {caller.status for caller in callers} == {503}
        assert harness.metrics.counts['retry_denied.refused'] == 8
        assert sum(len(fake.received) for fake in fakes) <= 8 + 3
        load.pressure = UNDER_HALF
        # The control looks at the load once in 5 ms.
        await anyio.sleep(0.01)
        before = sum(len(fake.received) for fake in fakes)
        await harness.request('b1')
        assert sum(len(fake.received) for fake in fakes) > before + 4

    run(TOOL, scenario, refused, refused)


def test_attempts_that_reach_no_endpoint_cost_no_retry() -> None:
    """Guards against refusals while a lost machine is still listed."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        control(harness)
        lost = [
            build.listed_endpoint(f'lost-{port}', port=port) for port in (1, 2)
        ]
        harness.selector.replace_endpoints([*harness.endpoints, *lost])
        for number in range(12):
            # Else the lost ones are backed off after their first failure.
            for endpoint in lost:
                harness.selector.record_success(endpoint)
            assert (await harness.request(f'a{number}')).status == 200
        assert harness.metrics.counts['retried.connect'] > 5

    run(TOOL, scenario, complete)


def test_a_denied_retry_of_what_may_have_run_does_not_say_not_run() -> None:
    """Guards against a caller that repeats what was executed."""

    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        control(harness)
        callers = [await harness.request(f'a{number}') for number in range(8)]
        assert callers[-1].status == 502
        assert error(callers[-1]) == ('overloaded', 'may_have_run')

    run(TOOL, scenario, dropped, dropped)


async def send(
    harness: Harness, caller: FakeCaller, *headers: tuple[bytes, bytes]
) -> None:
    await harness.request('a1', *headers, caller=caller)
