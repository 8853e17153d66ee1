"""The gateway forwards requests to endpoints and relays their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.ledger import EXPIRY_MARGIN_MS
from acaciaramp.conversations.messages import CloseReply, CloseTurn, TurnKey
from acaciaramp.forwarding.buffers import MAX_TOTAL_BYTES
from acaciaramp.ids import ProgramId, ServiceName
from acaciaramp.routing.model import (
    Route,
    RouteKind,
    Service,
    Target,
    WorkspacePolicy,
)
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
    stream_to,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.coordination.messages import (
        Endpoint,
    )
    from acaciaramp.forwarding.connections import Connection
    from acaciaramp.limits.quota import Patience

from tests.forwarding.harness import (
    SERVER_ERROR,
    SERVICE_UNAVAILABLE,
    TURN_HEADERS,
    Harness,
    complete,
    dropped,
    refused,
    run,
    streamed,
    unresponsive,
)

# Counts as small in the limit on responses.
SMALL_BYTES = 65_536
NON_IDEMPOTENT = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=500)
IDEMPOTENT = build.route(kind=RouteKind.IDEMPOTENT, timeout_ms=500, attempts=2)
RETAINED = build.route(is_retained=True, retention_ms=60_000)


def test_a_response_is_relayed_unchanged() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert (caller.status, caller.body) == (200, b'thing')
        assert caller.headers[b'x-server-signature'] == b's'
        assert caller.is_complete
        (request,) = fakes[0].received
        assert request.head.startswith(b'POST /chat/1 HTTP/1.1')
        assert request.body == b'input'
        assert build.KEY.encode() not in request.head

    run(NON_IDEMPOTENT, scenario, complete)


def test_connections_are_reused() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for attempt in 'abc':
            await harness.request(attempt)
        assert [request.connection for request in fakes[0].received] == [
            1,
            1,
            1,
        ]

    run(NON_IDEMPOTENT, scenario, complete)


def test_a_connection_with_stray_bytes_is_closed() -> None:
    def with_stray_bytes(request: ReceivedRequest) -> list[bytes | None]:
        return [response_to(request, b'right') + response_to(request, b'stray')]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        bodies = [(await harness.request(attempt)).body for attempt in 'abc']
        assert bodies == [b'right'] * 3
        assert [request.connection for request in fakes[0].received] == [
            1,
            2,
            3,
        ]
        assert harness.metrics.counts['bad_input.stray_bytes'] == 3

    run(NON_IDEMPOTENT, scenario, with_stray_bytes)


def test_reserved_headers_of_a_caller_are_removed_and_counted() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request(
            'a1', (b'x-kv-hold', b'1'), (b'x-tenant', b'other')
        )
        assert b'x-kv-hold' not in fakes[0].received[0].head.lower()
        await harness.request('a2')
        assert harness.metrics.counts['bad_input.forged_header'] == 1

    run(NON_IDEMPOTENT, scenario, complete)


def test_a_response_to_another_request_is_not_relayed() -> None:
    def mismatched(_: ReceivedRequest) -> list[bytes | None]:
        return [
            response_to(
                ReceivedRequest(b'x-attempt-id: other', b'', 1), b'wrong'
            )
        ]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 502
        assert b'wrong' not in caller.body
        assert harness.metrics.counts['bad_input.stray_answer'] == 1

    run(NON_IDEMPOTENT, scenario, mismatched)


def test_a_refusal_of_another_request_is_not_believed() -> None:
    def repeated_refusal(_: ReceivedRequest) -> list[bytes | None]:
        earlier = ReceivedRequest(b'x-attempt-id: earlier', b'', 1)
        return refused(earlier)

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502
        assert sum(len(fake.received) for fake in fakes) == 1
        assert harness.metrics.counts['bad_input.stray_answer'] == 1

    run(NON_IDEMPOTENT, scenario, repeated_refusal, repeated_refusal)


@pytest.mark.parametrize('status', ['200 OK', SERVER_ERROR])
def test_an_endpoint_that_says_it_is_leaving_gets_no_more_requests(
    status: str,
) -> None:
    def leaving(request: ReceivedRequest) -> list[bytes | None]:
        head = 'server-leaving: 1\r\n'
        return [response_to(request, b'last', status, head)]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.selector.record_start(harness.endpoints[1], '')
        await harness.request('a1')
        callers = [await harness.request(f'b{number}') for number in range(3)]
        assert [caller.body for caller in callers] == [b'thing'] * 3
        assert [len(fake.received) for fake in fakes] == [1, 3]

    run(NON_IDEMPOTENT, scenario, leaving, complete)


def test_a_response_without_an_id_is_not_relayed() -> None:
    def without_id(_: ReceivedRequest) -> list[bytes | None]:
        return [b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok']

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502

    run(NON_IDEMPOTENT, scenario, without_id)


def test_a_request_that_may_have_run_is_not_retried() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502
        assert sum(len(fake.received) for fake in fakes) == 1
        assert not harness.crashes.reported
        harness.crashes.watch.observe([])
        assert len(harness.crashes.reported) == 1

    run(NON_IDEMPOTENT, scenario, dropped, dropped)


def test_an_idempotent_request_is_retried_at_another_endpoint() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        callers = [await harness.request(str(number)) for number in range(4)]
        assert [caller.body for caller in callers] == [b'thing'] * 4
        assert fakes[0].received
        assert fakes[1].received

    run(IDEMPOTENT, scenario, dropped, complete)


def test_the_number_of_attempts_is_limited() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502
        assert sum(len(fake.received) for fake in fakes) == 2

    run(IDEMPOTENT, scenario, dropped, dropped, dropped)


def test_a_request_that_was_not_run_is_retried_at_another_endpoint() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        bodies = [
            (await harness.request(str(number))).body for number in range(4)
        ]
        assert bodies == [b'thing'] * 4

    run(NON_IDEMPOTENT, scenario, refused, complete)


def test_a_refusal_by_all_endpoints_has_a_retry_after_header() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 0
        assert b'x-server-signature' not in caller.headers

    run(NON_IDEMPOTENT, scenario, refused)


def test_an_unconfirmed_refusal_has_an_unknown_outcome() -> None:
    def unconfirmed(request: ReceivedRequest) -> list[bytes | None]:
        return [response_to(request, b'', SERVICE_UNAVAILABLE)]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502

    run(NON_IDEMPOTENT, scenario, unconfirmed)


def test_an_error_response_of_an_endpoint_is_relayed() -> None:
    def failing(request: ReceivedRequest) -> list[bytes | None]:
        return [response_to(request, b'sorry', SERVER_ERROR)]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert (caller.status, caller.body) == (500, b'sorry')

    run(NON_IDEMPOTENT, scenario, failing)


def test_an_unresponsive_endpoint_costs_no_more_than_the_timeout() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        with anyio.fail_after(5):
            caller = await harness.request()
        assert caller.status == 504

    run(
        build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=100),
        scenario,
        unresponsive,
    )


def test_a_request_without_endpoints_is_refused() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 503

    run(build.route(timeout_ms=50), scenario)


def test_a_truncated_body_is_not_relayed() -> None:
    def truncated(request: ReceivedRequest) -> list[bytes | None]:
        return [response_to(request, b'thing')[:-2], None]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 502
        assert b'thi' not in caller.body

    run(NON_IDEMPOTENT, scenario, truncated)


def test_a_truncated_stream_is_not_ended() -> None:
    def truncated(request: ReceivedRequest) -> list[bytes | None]:
        return [*list(stream_to(request, b'one', b'two'))[:2], None]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert caller.status == 200
        assert caller.body == b'data: one\n\n'
        assert not caller.is_complete

    run(build.route(), scenario, truncated)


def test_a_request_is_cancelled_when_its_caller_disconnects() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: harness.request(caller=caller))
            while not fakes[0].received:
                await anyio.sleep(0.01)
            caller.disconnected.set()
        with anyio.fail_after(5):
            while not fakes[0].closed:
                await anyio.sleep(0.01)
        assert harness.gateway.in_flight == 0

    run(build.route(timeout_ms=60_000), scenario, unresponsive)


@pytest.mark.parametrize(
    ('changes', 'status'),
    [
        ({'target': b'/none/1'}, 404),
        ({'headers': [(b'host', b'other.test'), (b'x-attempt-id', b'a')]}, 404),
        (
            {'headers': [(b'host', b'example.test'), (b'x-attempt-id', b'a')]},
            401,
        ),
        ({'headers': [(b'host', b'example.test')]}, 400),
    ],
)
def test_a_request_without_a_route_key_or_id_is_not_forwarded(
    changes: dict[str, Any], status: int
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request(**changes)).status == status
        assert not fakes[0].received

    run(NON_IDEMPOTENT, scenario, complete)


def test_an_instance_without_a_table_asks_to_retry_later() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.router.table = None
        harness.router.table_ready = anyio.Event()
        caller = await harness.request('a', (b'x-deadline-ms', b'100'))
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 0

    run(NON_IDEMPOTENT, scenario, complete)


def test_a_request_waits_for_the_first_table() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.router.table = None
        harness.router.table_ready = anyio.Event()
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: harness.request(caller=caller))
            await anyio.wait_all_tasks_blocked()
            harness.router.install_table(build.routing_table(NON_IDEMPOTENT))
        assert caller.body == b'thing'

    run(NON_IDEMPOTENT, scenario, complete)


@pytest.mark.parametrize(
    ('headers', 'min_fraction', 'max_fraction'),
    [((), 0, 0.01), (((b'x-program-id', b'p'),), 0.5, 0.6)],
)
@pytest.mark.parametrize(
    'route',
    [
        build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=60_000),
        build.route(is_resumable=True, timeout_ms=60_000),
    ],
)
def test_running_programs_wait_longer_for_a_token(
    route: Route,
    headers: tuple[tuple[bytes, bytes], ...],
    min_fraction: float,
    max_fraction: float,
) -> None:
    waits: list[int] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        async def admit(workspace: str, patience: Patience) -> None:
            waits.append(patience.token_ms)

        harness.quota.admit = admit  # type: ignore[method-assign]
        await harness.request('a1', *headers)

    run(route, scenario, complete)
    assert min_fraction <= waits[0] / route.timeout_ms <= max_fraction


def test_a_workspace_over_its_rate_limit_is_refused() -> None:
    rated = WorkspacePolicy(
        name=build.WORKSPACE, keys=(build.KEY,), rate_per_s=1, burst=1
    )

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.quota.configure((rated,), lambda _: 0)
        caller = await harness.request()
        assert caller.status == 429
        assert float(caller.headers[b'retry-after']) > 0
        assert not fakes[0].received

    run(NON_IDEMPOTENT, scenario, complete)


def test_a_quarantined_request_is_not_forwarded() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request()
        harness.crashes.watch.observe([])
        (digest,) = harness.crashes.digests
        harness.gateway.quarantined = frozenset((digest,))
        assert (await harness.request('a2')).status == 503
        assert len(fakes[0].received) == 1

    run(NON_IDEMPOTENT, scenario, dropped)


def test_a_retained_turn_is_continued() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        first = await harness.request('a1', *TURN_HEADERS)
        assert first.is_complete
        await harness.request('a2', *TURN_HEADERS, (b'x-previous-turn', b'a1'))
        assert fakes[0].received[1].body == b'inputone\ntwo\ninput'

    run(RETAINED, scenario, streamed)


# Guards against a turn that loses the history before it, as the turn that it
# continues expires while it is under way.
def test_a_turn_keeps_its_history_though_it_ends_after_its_predecessor() -> (
    None
):
    briefly = build.route(is_retained=True, retention_ms=1)

    def let_expire(request: ReceivedRequest) -> list[bytes | None]:
        if request.attempt == b'a2':
            (first,) = harnesses[0].ledger.closed
            assert first.kept is not None
            expired_ms = first.kept.until_ms + EXPIRY_MARGIN_MS
            harnesses[0].ledger.sweep(expired_ms + briefly.timeout_ms)
        return streamed(request)

    harnesses: list[Harness] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harnesses.append(harness)
        await harness.request('a1')
        continued = (b'x-previous-turn', b'a1')
        assert (await harness.request('a2', continued)).is_complete
        chain = harness.ledger.state_machine.chain_of(
            TurnKey(build.WORKSPACE, 'a2')
        )
        assert chain == 2 * b'inputone\ntwo\n'

    run(briefly, scenario, let_expire)


# Guards against a turn that is not known within its retention, since its commit
# took long and the clock of another instance is ahead.
def test_a_turn_is_kept_for_its_retention_from_the_end_of_its_response() -> (
    None
):
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        commit = harness.ledger.close_turn

        async def commit_late(req: CloseTurn, wait_ms: int) -> CloseReply:
            await anyio.sleep(0.2)
            return await commit(req, wait_ms)

        harness.ledger.close_turn = commit_late  # type: ignore[method-assign]
        assert (await harness.request('a1')).is_complete
        ended_ms = SystemClock().wall_ms()
        harness.ledger.sweep(ended_ms + RETAINED.retention_ms)
        continued = (b'x-previous-turn', b'a1')
        assert (await harness.request('a2', continued)).status == 200

    run(RETAINED, scenario, streamed)


def test_a_response_is_not_ended_if_its_history_has_expired() -> None:
    def remove(request: ReceivedRequest) -> list[bytes | None]:
        if request.attempt == b'a2':
            harnesses[0].ledger.state_machine.restore(b'')
        return streamed(request)

    harnesses: list[Harness] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harnesses.append(harness)
        await harness.request('a1')
        caller = await harness.request('a2', (b'x-previous-turn', b'a1'))
        assert not caller.is_complete
        key = TurnKey(build.WORKSPACE, 'a2')
        assert harness.ledger.state_machine.chain_of(key) is None

    run(RETAINED, scenario, remove)


def test_a_turn_is_committed_before_its_response_ends() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = FakeCaller()
        committed: list[bytes | None] = []
        send = caller.send

        async def record(message: dict[str, Any]) -> None:
            is_body = message['type'] == 'http.response.body'
            if is_body and not message.get('more_body', False):
                key = TurnKey(build.WORKSPACE, 'a1')
                committed.append(harness.ledger.state_machine.chain_of(key))
            await send(message)

        caller.send = record  # type: ignore[method-assign]
        await harness.request('a1', *TURN_HEADERS, caller=caller)
        assert committed == [b'inputone\ntwo\n']

    run(RETAINED, scenario, streamed)


def test_a_response_is_not_ended_if_its_turn_cannot_be_committed() -> None:
    def stream_with_ledger_down(request: ReceivedRequest) -> list[bytes | None]:
        harnesses[0].ledger.is_down = True
        return streamed(request)

    harnesses: list[Harness] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harnesses.append(harness)
        assert not (await harness.request('a1', *TURN_HEADERS)).is_complete

    run(RETAINED, scenario, stream_with_ledger_down)


# Guards against a budget that is exceeded by turns whose commit failed after
# their tokens had been handed out.
def test_a_turn_that_cannot_be_committed_costs_its_tokens() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.ledger.stores_turns = False
        caller = await harness.request('a1', *TURN_HEADERS)
        assert not caller.is_complete
        await anyio.wait_all_tasks_blocked()
        (closed,) = harness.ledger.closed
        assert (closed.turn.attempt, closed.tokens) == ('a1', 20)

    run(RETAINED, scenario, streamed)


# Guards against turns that cost nothing as a new routing table, which no longer
# has their service, comes into force before they end.
def test_a_turn_costs_its_tokens_though_its_service_is_removed() -> None:
    other = ServiceName('other')
    moved = build.routing_table(
        msgspec.structs.replace(RETAINED, targets=(Target(other, 1),)),
        version=2,
        services=(Service(name=other, tokens_per_event=1),),
    )

    def move_route(request: ReceivedRequest) -> list[bytes | None]:
        assert harnesses[0].router.install_table(moved)
        return streamed(request)

    harnesses: list[Harness] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harnesses.append(harness)
        assert (await harness.request('a1', *TURN_HEADERS)).is_complete
        (closed,) = harness.ledger.closed
        assert (closed.turn.attempt, closed.tokens) == ('a1', 20)

    run(RETAINED, scenario, move_route)


def test_a_request_with_an_unknown_previous_turn_is_not_forwarded() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request(
            'a2', *TURN_HEADERS, (b'x-previous-turn', b'none')
        )
        assert caller.status == 404
        assert not fakes[0].received

    run(RETAINED, scenario, streamed)


# Guards against chains that are held without a limit while their turns run.
def test_a_turn_is_refused_if_there_is_no_room_for_its_chain() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request('a1', *TURN_HEADERS)
        buffers = harness.gateway._buffers
        for _ in range(MAX_TOTAL_BYTES // SMALL_BYTES):
            buffers.add(SMALL_BYTES)
        continued = (b'x-previous-turn', b'a1')
        caller = await harness.request('a2', *TURN_HEADERS, continued)
        assert caller.status == 503
        assert len(fakes[0].received) == 1
        buffers.remove(MAX_TOTAL_BYTES)
        await anyio.wait_all_tasks_blocked()
        caller = await harness.request('a3', *TURN_HEADERS, continued)
        assert caller.is_complete
        account = harness.ledger.state_machine.account(
            TurnKey(build.WORKSPACE, 'a3'), ProgramId('p')
        )
        assert not account.reserved

    run(RETAINED, scenario, streamed)


# Guards against turns that run though the ledger cannot store them.
def test_a_retained_turn_is_refused_at_once_if_the_ledger_is_full() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.ledger.has_room = False
        caller = await harness.request('a1', *TURN_HEADERS)
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 0
        assert not fakes[0].received
        assert harness.metrics.counts['refused.ledger_full'] == 1
        await anyio.wait_all_tasks_blocked()
        # Refused turns must not fill the ledger further.
        assert not harness.ledger.closed

    run(RETAINED, scenario, streamed)


def test_a_request_is_refused_while_the_ledger_is_down() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.ledger.is_down = True
        caller = await harness.request(
            'a2', *TURN_HEADERS, (b'x-previous-turn', b'a1')
        )
        assert caller.status == 503
        assert not fakes[0].received

    run(RETAINED, scenario, streamed)


def test_a_request_over_its_budget_is_refused() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        statuses = [
            (await harness.request(str(number), *TURN_HEADERS)).status
            for number in range(6)
        ]
        # Each turn generates 20 tokens and may generate 40 of 100.
        assert statuses == [200, 200, 200, 200, 402, 402]

    run(RETAINED, scenario, streamed)


def test_a_turn_that_was_not_run_releases_its_tokens() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request('a1', *TURN_HEADERS)).status == 503
        await anyio.wait_all_tasks_blocked()
        (closed,) = harness.ledger.closed
        assert (closed.turn.attempt, closed.tokens) == ('a1', 0)

    run(build.route(timeout_ms=100), scenario, refused)


def test_a_turn_that_may_have_run_keeps_its_reservation() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request('a1', *TURN_HEADERS)).status == 502
        await anyio.wait_all_tasks_blocked()
        assert not harness.ledger.closed

    run(build.route(), scenario, dropped)


def test_a_stopping_instance_closes_its_connections() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.gateway.draining.begin(accept_all_ms=1_000, drain_ms=5_000)
        caller = await harness.request()
        assert (caller.status, caller.body) == (200, b'thing')
        assert caller.headers[b'connection'] == b'close'

    run(NON_IDEMPOTENT, scenario, complete)


# Guards against requests that a stopping instance accepts late and cuts off as
# it exits.
def test_a_stopping_instance_refuses_what_may_not_end_before_it_exits() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        limit_ms = NON_IDEMPOTENT.timeout_ms
        harness.gateway.draining.begin(accept_all_ms=0, drain_ms=limit_ms - 1)
        caller = await harness.request()
        assert caller.status == 503
        assert caller.headers[b'connection'] == b'close'
        assert float(caller.headers[b'retry-after']) < 1
        assert caller.is_complete
        assert not fakes[0].received
        # A shorter time limit of the caller ends in time.
        deadline = (b'x-deadline-ms', b'%d' % (limit_ms // 2))
        assert (await harness.request('a2', deadline)).status == 200

    run(NON_IDEMPOTENT, scenario, complete)


async def ended_request(
    harness: Harness, is_under_way: Callable[[FakeCaller], bool]
) -> FakeCaller:
    """Return the caller of a request that the stopping instance ends.

    Args:
        harness: The gateway.
        is_under_way: Returns whether the request has come as far as it should.
    """
    caller = FakeCaller()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: harness.request('a1', caller=caller))
        while not is_under_way(caller):
            await anyio.sleep(0.001)
        harness.gateway.end_requests()
    return caller


def test_a_request_in_flight_at_the_exit_is_refused_as_possibly_run() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await ended_request(harness, lambda _: bool(fakes[0].received))
        assert caller.status == 502
        assert caller.is_complete
        assert harness.gateway.in_flight == 0

    run(
        build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=60_000),
        scenario,
        unresponsive,
    )


def test_a_stream_in_flight_at_the_exit_stays_incomplete() -> None:
    def stuck(request: ReceivedRequest) -> list[bytes | None]:
        return [*list(stream_to(request, b'one', b'two'))[:2]]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await ended_request(harness, lambda caller: bool(caller.body))
        assert caller.status == 200
        assert not caller.is_complete

    run(build.route(timeout_ms=60_000), scenario, stuck)


def test_turn_is_released_if_the_caller_goes_before_its_token_comes() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        async def never(workspace: str) -> None:
            await anyio.sleep_forever()

        harness.quota.prefetch = never  # type: ignore[method-assign]
        caller = FakeCaller()
        async with anyio.create_task_group() as tasks:

            async def send() -> None:
                await harness.request('a1', *TURN_HEADERS, caller=caller)

            tasks.start_soon(send)
            await anyio.wait_all_tasks_blocked()
            caller.disconnected.set()
        await anyio.wait_all_tasks_blocked()
        assert [item.tokens for item in harness.ledger.closed] == [0]

    run(RETAINED, scenario, complete)


async def abandoned_request(
    harness: Harness, is_under_way: Callable[[], bool]
) -> None:
    """Send a turn whose caller goes once a condition holds."""
    caller = FakeCaller()
    async with anyio.create_task_group() as tasks:

        async def send() -> None:
            await harness.request('a1', *TURN_HEADERS, caller=caller)

        tasks.start_soon(send)
        while not is_under_way():
            await anyio.sleep(0.001)
        caller.disconnected.set()
    await anyio.wait_all_tasks_blocked()


def test_turn_is_released_if_the_caller_goes_before_it_was_sent() -> None:
    acquiring: list[str] = []

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        async def never(
            endpoint: Endpoint, regions: frozenset[str] | None = None
        ) -> Connection:
            acquiring.append(endpoint.id)
            await anyio.sleep_forever()
            raise AssertionError

        harness.connections.acquire = never  # type: ignore[method-assign]
        await abandoned_request(harness, lambda: bool(acquiring))
        assert [item.tokens for item in harness.ledger.closed] == [0]

    run(RETAINED, scenario, complete)


def test_turn_stays_reserved_if_the_caller_goes_after_it_was_sent() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await abandoned_request(harness, lambda: bool(fakes[0].received))
        assert not harness.ledger.closed

    run(RETAINED, scenario, unresponsive)


def test_token_of_a_turn_that_may_not_begin_is_returned() -> None:
    granted: list[str] = []

    async def grant(workspace: str) -> tuple[int, int | None]:
        granted.append(workspace)
        return 1, None

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        policy = WorkspacePolicy(
            name=build.WORKSPACE, keys=(), rate_per_s=5, burst=5
        )
        harness.quota._request_tokens = grant
        harness.quota.configure((policy,), lambda _: 0)
        caller = await harness.request(
            'a1',
            (b'x-program-id', b'p'),
            (b'x-token-budget', b'10'),
            (b'x-token-counts', b'10,40'),
        )
        assert caller.status == 402
        assert granted == [build.WORKSPACE]
        assert harness.returned == [build.WORKSPACE]

    run(RETAINED, scenario, complete)
