"""Requests reach one endpoint, and answers their caller, byte for byte."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.messages import (
    CloseTurn,
    OpenReply,
    OpenTurn,
    TurnKey,
)
from acaciaramp.conversations.turns import TurnManager
from acaciaramp.coordination.codec import encode
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.connections import ConnectionPool
from acaciaramp.forwarding.forwarder import Forwarder
from acaciaramp.forwarding.gateway import Gateway
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.forwarding.turns import TurnLifecycle
from acaciaramp.ids import AvailabilityZone
from acaciaramp.limits.quota import Quota
from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.routing.model import Route, RouteKind, WorkspacePolicy
from acaciaramp.routing.router import Router
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    Heard,
    Script,
    ScriptedEndpoint,
    answer,
    stream_of,
)

if TYPE_CHECKING:
    from acaciaramp.conversations.client import LedgerClient
    from acaciaramp.coordination.messages import Endpoint

PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=500)
AGAIN = build.route(kind=RouteKind.IDEMPOTENT, timeout_ms=500, attempts=2)
TURNS = build.route(is_retained=True, retention_ms=60_000)
TURN = (
    (b'x-program-id', b'p'),
    (b'x-token-budget', b'100'),
    (b'x-token-counts', b'10,40'),
)
SERVER_ERROR = '500 Internal Server Error'
FULL = '503 Service Unavailable'
NOT_EXECUTED = 'x-not-executed: 1\r\n'


class LocalLedger:
    """A ledger in this process.

    Attributes:
        machine: Its state.
        is_down: Whether nobody answers.
        closed: Every turn that was closed.
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.machine = Ledger()
        self.is_down = False
        self.closed: list[CloseTurn] = []

    async def open(self, req: OpenTurn, wait_ms: int) -> OpenReply:
        """Begin a turn."""
        self._check()
        reply = self.machine.apply(encode(req))
        assert isinstance(reply, OpenReply)
        return reply

    async def close(self, req: CloseTurn, wait_ms: int) -> None:
        """End a turn."""
        self._check()
        self.closed.append(req)
        self.machine.apply(encode(req))

    def _check(self) -> None:
        if self.is_down:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'nobody answers')


class Bed:
    """A gateway on a loopback endpoint.

    Attributes:
        gateway: The gateway.
        ledger: Its ledger.
        router: Its routes.
        placement: Its endpoints.
        crashes: Digests of requests under which an endpoint broke off.
        metrics: Its counters.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, route: Route) -> None:
        """Create the gateway without endpoints."""
        clock = SystemClock()
        codec = PlatformCodec()
        self.crashes: list[str] = []
        self.metrics = Metrics()
        self.ledger = LocalLedger()
        self.router = Router(random.Random(1))
        self.router.install_table(build.routing_table(route))
        self.placement = EndpointSelector(
            AvailabilityZone('north'), 'east', {}, clock
        )
        self.quota = Quota(_grant_nothing, 500, clock)
        self.gateway = Gateway(
            codec=codec,
            router=self.router,
            quota=self.quota,
            turns=TurnLifecycle(
                TurnManager(
                    cast('LedgerClient', self.ledger),
                    ChainCache(),
                    clock,
                    tasks,
                ),
                self.router,
                clock,
                self.metrics,
            ),
            forwarder=Forwarder(
                codec,
                self.placement,
                ConnectionPool(clock, lambda _: None),
                clock,
                self.metrics,
                lambda digest, _: self.crashes.append(digest),
            ),
            clock=clock,
            metrics=self.metrics,
        )

    async def ask(
        self,
        attempt: str = 'a1',
        *headers: tuple[bytes, bytes],
        caller: FakeCaller | None = None,
        **changes: Any,
    ) -> FakeCaller:
        """Return the caller of one request, answered."""
        caller = caller or FakeCaller()
        scope = {
            'method': 'POST',
            'raw_path': b'/chat/1',
            'query_string': b'',
            'headers': [
                (b'host', b'example.test'),
                (b'x-attempt-id', attempt.encode()),
                (b'authorization', b'Bearer %s' % build.KEY.encode()),
                *headers,
            ],
        }
        await self.gateway.serve(scope | changes, caller.receive, caller.send)
        return caller


@contextlib.asynccontextmanager
async def bed_of(
    route: Route, *scripts: Script
) -> AsyncIterator[tuple[Bed, list[ScriptedEndpoint]]]:
    fakes = [ScriptedEndpoint(script) for script in scripts]
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        bed = Bed(tasks, route)
        endpoints: list[Endpoint] = []
        for number, fake in enumerate(fakes):
            serving = fake.serving(f'e-{number}')
            endpoints.append(await stack.enter_async_context(serving))
        bed.placement.replace_endpoints(endpoints)
        yield bed, fakes
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()


Scenario = Callable[[Bed, list[ScriptedEndpoint]], Awaitable[None]]


def run(route: Route, scenario: Scenario, *scripts: Script) -> None:
    async def whole() -> None:
        async with bed_of(route, *scripts) as (bed, fakes):
            await scenario(bed, fakes)

    anyio.run(whole)


async def _grant_nothing(*_: object) -> tuple[int, int | None]:
    return 0, None


def whole(heard: Heard) -> list[bytes | None]:
    return [answer(heard, b'thing', more='x-server-signature: s\r\n')]


def cut(_: Heard) -> list[bytes | None]:
    return [None]


def full(heard: Heard) -> list[bytes | None]:
    return [answer(heard, b'', FULL, NOT_EXECUTED)]


def silent(_: Heard) -> list[bytes | None]:
    return []


def streamed(heard: Heard) -> list[bytes | None]:
    return [*stream_of(heard, b'one', b'two')]


def test_an_answer_comes_unchanged() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert (caller.status, caller.body) == (200, b'thing')
        assert caller.headers[b'x-server-signature'] == b's'
        assert caller.is_whole
        (heard,) = fakes[0].heard
        assert heard.head.startswith(b'POST /chat/1 HTTP/1.1')
        assert heard.body == b'input'
        assert build.KEY.encode() not in heard.head

    run(PLAIN, scenario, whole)


def test_connections_are_kept() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        for attempt in 'abc':
            await bed.ask(attempt)
        assert [heard.connection for heard in fakes[0].heard] == [1, 1, 1]

    run(PLAIN, scenario, whole)


def test_a_connection_with_stray_bytes_is_left() -> None:
    def stray(heard: Heard) -> list[bytes | None]:
        return [answer(heard, b'right') + answer(heard, b'stray')]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bodies = [(await bed.ask(attempt)).body for attempt in 'abc']
        assert bodies == [b'right'] * 3
        assert [heard.connection for heard in fakes[0].heard] == [1, 2, 3]
        assert bed.metrics.counts['bad_input.stray_bytes'] == 3

    run(PLAIN, scenario, stray)


def test_headers_of_the_system_from_a_caller_are_left_out_and_counted() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        await bed.ask('a1', (b'x-kv-hold', b'1'), (b'x-tenant', b'other'))
        assert b'x-kv-hold' not in fakes[0].heard[0].head.lower()
        await bed.ask('a2')
        assert bed.metrics.counts['bad_input.forged_header'] == 1

    run(PLAIN, scenario, whole)


def test_an_answer_to_another_request_is_not_handed_on() -> None:
    def crossed(_: Heard) -> list[bytes | None]:
        return [answer(Heard(b'x-attempt-id: other', b'', 1), b'wrong')]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert caller.status == 502
        assert b'wrong' not in caller.body
        assert bed.metrics.counts['bad_input.stray_answer'] == 1

    run(PLAIN, scenario, crossed)


def test_an_answer_without_an_id_is_not_handed_on() -> None:
    def nameless(_: Heard) -> list[bytes | None]:
        return [b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok']

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask()).status == 502

    run(PLAIN, scenario, nameless)


def test_what_may_have_run_is_not_sent_again() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask()).status == 502
        assert sum(len(fake.heard) for fake in fakes) == 1
        assert len(bed.crashes) == 1

    run(PLAIN, scenario, cut, cut)


def test_an_idempotent_request_is_sent_to_another_endpoint() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        callers = [await bed.ask(str(number)) for number in range(4)]
        assert [caller.body for caller in callers] == [b'thing'] * 4
        assert fakes[0].heard
        assert fakes[1].heard

    run(AGAIN, scenario, cut, whole)


def test_attempts_are_bounded() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask()).status == 502
        assert sum(len(fake.heard) for fake in fakes) == 2

    run(AGAIN, scenario, cut, cut, cut)


def test_what_an_endpoint_did_not_run_goes_to_another() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bodies = [(await bed.ask(str(number))).body for number in range(4)]
        assert bodies == [b'thing'] * 4

    run(PLAIN, scenario, full, whole)


def test_a_refusal_of_all_endpoints_is_a_promise_with_a_time() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 0
        assert b'x-server-signature' not in caller.headers

    run(PLAIN, scenario, full)


def test_a_refusal_without_the_word_that_it_was_not_run_is_no_promise() -> None:
    def unsure(heard: Heard) -> list[bytes | None]:
        return [answer(heard, b'', FULL)]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask()).status == 502

    run(PLAIN, scenario, unsure)


def test_an_endpoints_own_failure_is_handed_on() -> None:
    def failing(heard: Heard) -> list[bytes | None]:
        return [answer(heard, b'sorry', SERVER_ERROR)]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert (caller.status, caller.body) == (500, b'sorry')

    run(PLAIN, scenario, failing)


def test_an_endpoint_that_is_silent_costs_no_more_than_the_timeout() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        with anyio.fail_after(5):
            caller = await bed.ask()
        assert caller.status == 504

    run(
        build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=100),
        scenario,
        silent,
    )


def test_no_endpoint_is_a_refusal() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask()).status == 503

    run(build.route(timeout_ms=50), scenario)


def test_a_body_that_is_cut_short_does_not_look_whole() -> None:
    def short(heard: Heard) -> list[bytes | None]:
        return [answer(heard, b'thing')[:-2], None]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert caller.status == 502
        assert b'thi' not in caller.body

    run(PLAIN, scenario, short)


def test_a_stream_that_is_cut_short_does_not_look_whole() -> None:
    def short(heard: Heard) -> list[bytes | None]:
        return [*list(stream_of(heard, b'one', b'two'))[:2], None]

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask()
        assert caller.status == 200
        assert caller.body == b'data: one\n\n'
        assert not caller.is_whole

    run(build.route(), scenario, short)


def test_a_request_ends_at_its_endpoint_when_its_caller_goes() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: bed.ask(caller=caller))
            while not fakes[0].heard:
                await anyio.sleep(0.01)
            caller.gone.set()
        with anyio.fail_after(5):
            while not fakes[0].closed:
                await anyio.sleep(0.01)
        assert bed.gateway.in_flight == 0

    run(build.route(timeout_ms=60_000), scenario, silent)


@pytest.mark.parametrize(
    ('changes', 'status'),
    [
        ({'raw_path': b'/none/1'}, 404),
        ({'headers': [(b'host', b'other.test'), (b'x-attempt-id', b'a')]}, 404),
        (
            {'headers': [(b'host', b'example.test'), (b'x-attempt-id', b'a')]},
            401,
        ),
        ({'headers': [(b'host', b'example.test')]}, 400),
    ],
)
def test_what_the_table_does_not_allow_reaches_no_endpoint(
    changes: dict[str, Any], status: int
) -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask(**changes)).status == status
        assert not fakes[0].heard

    run(PLAIN, scenario, whole)


def test_an_instance_without_a_table_is_not_sure() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bed.router.table = None
        bed.router.in_force = anyio.Event()
        caller = await bed.ask('a', (b'x-deadline-ms', b'100'))
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 0

    run(PLAIN, scenario, whole)


def test_a_request_waits_for_the_first_table() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bed.router.table = None
        bed.router.in_force = anyio.Event()
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: bed.ask(caller=caller))
            await anyio.wait_all_tasks_blocked()
            bed.router.install_table(build.routing_table(PLAIN))
        assert caller.body == b'thing'

    run(PLAIN, scenario, whole)


@pytest.mark.parametrize(
    ('headers', 'least_part', 'most_part'),
    [((), 0, 0.01), (((b'x-program-id', b'p'),), 0.5, 0.6)],
)
def test_programs_under_way_wait_longer_for_a_token(
    headers: tuple[tuple[bytes, bytes], ...],
    least_part: float,
    most_part: float,
) -> None:
    route = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=60_000)
    waits: list[int] = []

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        async def admit(workspace: str, *, is_new: bool, wait_ms: int) -> None:
            waits.append(wait_ms)

        bed.quota.admit = admit  # type: ignore[method-assign]
        await bed.ask('a1', *headers)

    run(route, scenario, whole)
    assert least_part <= waits[0] / route.timeout_ms <= most_part


def test_a_workspace_beyond_its_rate_is_refused() -> None:
    rated = WorkspacePolicy(
        name=build.WORKSPACE, keys=(build.KEY,), rate_per_s=1, burst=1
    )

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bed.quota.configure((rated,), lambda _: 0)
        caller = await bed.ask()
        assert caller.status == 429
        assert float(caller.headers[b'retry-after']) > 0
        assert not fakes[0].heard

    run(PLAIN, scenario, whole)


def test_a_request_in_quarantine_reaches_no_endpoint() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        await bed.ask()
        (digest,) = bed.crashes
        bed.gateway.quarantined = frozenset((digest,))
        assert (await bed.ask('a2')).status == 503
        assert len(fakes[0].heard) == 1

    run(PLAIN, scenario, cut)


def test_a_kept_turn_is_continued() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        first = await bed.ask('a1', *TURN)
        assert first.is_whole
        await bed.ask('a2', *TURN, (b'x-previous-turn', b'a1'))
        assert fakes[0].heard[1].body == b'inputone\ntwo\ninput'

    run(TURNS, scenario, streamed)


def test_a_turn_is_kept_before_its_end_is_told() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = FakeCaller()
        seen: list[bytes | None] = []
        send = caller.send

        async def note(message: dict[str, Any]) -> None:
            is_body = message['type'] == 'http.response.body'
            if is_body and not message.get('more_body', False):
                key = TurnKey(build.WORKSPACE, 'a1')
                seen.append(bed.ledger.machine.chain_of(key))
            await send(message)

        caller.send = note  # type: ignore[method-assign]
        await bed.ask('a1', *TURN, caller=caller)
        assert seen == [b'inputone\ntwo\n']

    run(TURNS, scenario, streamed)


def test_a_turn_that_cannot_be_kept_does_not_look_whole() -> None:
    def breaking(heard: Heard) -> list[bytes | None]:
        beds[0].ledger.is_down = True
        return streamed(heard)

    beds: list[Bed] = []

    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        beds.append(bed)
        assert not (await bed.ask('a1', *TURN)).is_whole

    run(TURNS, scenario, breaking)


def test_a_turn_that_is_unknown_reaches_no_endpoint() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        caller = await bed.ask('a2', *TURN, (b'x-previous-turn', b'none'))
        assert caller.status == 404
        assert not fakes[0].heard

    run(TURNS, scenario, streamed)


def test_a_ledger_that_does_not_answer_is_not_sure() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bed.ledger.is_down = True
        caller = await bed.ask('a2', *TURN, (b'x-previous-turn', b'a1'))
        assert caller.status == 503
        assert not fakes[0].heard

    run(TURNS, scenario, streamed)


def test_a_budget_that_is_spent_refuses() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        statuses = [
            (await bed.ask(str(number), *TURN)).status for number in range(6)
        ]
        # Each turn generates 20 tokens and may generate 40 of 100.
        assert statuses == [200, 200, 200, 200, 402, 402]

    run(TURNS, scenario, streamed)


def test_a_turn_that_was_not_run_gives_its_tokens_back() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask('a1', *TURN)).status == 503
        await anyio.wait_all_tasks_blocked()
        (closed,) = bed.ledger.closed
        assert (closed.turn.attempt, closed.tokens) == ('a1', 0)

    run(build.route(timeout_ms=100), scenario, full)


def test_a_turn_that_may_have_run_counts_at_its_most() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        assert (await bed.ask('a1', *TURN)).status == 502
        await anyio.wait_all_tasks_blocked()
        assert not bed.ledger.closed

    run(build.route(), scenario, cut)


def test_a_stopping_instance_ends_its_connections() -> None:
    async def scenario(bed: Bed, fakes: list[ScriptedEndpoint]) -> None:
        bed.gateway.is_stopping = True
        caller = await bed.ask()
        assert (caller.status, caller.body) == (200, b'thing')
        assert caller.headers[b'connection'] == b'close'

    run(PLAIN, scenario, whole)
