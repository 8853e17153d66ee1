"""A gateway for tests, with a ledger in the process and scripted endpoints."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING, Any, cast

import anyio

from acaciaramp.clock import SystemClock
from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.ledger import SWEEP_INTERVAL_COMMANDS, Ledger
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    TurnKey,
)
from acaciaramp.conversations.turns import TurnManager
from acaciaramp.coordination.codec import encode
from acaciaramp.coordination.slots import SlotOwner
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.admission import Admission
from acaciaramp.forwarding.chooser import EndpointChooser
from acaciaramp.forwarding.connections import ConnectionPool
from acaciaramp.forwarding.dialer import Dialer
from acaciaramp.forwarding.endpoint_limits import EndpointLimits
from acaciaramp.forwarding.forwarder import Forwarder
from acaciaramp.forwarding.gateway import Gateway
from acaciaramp.forwarding.reach import Reach
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.forwarding.turns import TurnLifecycle
from acaciaramp.ids import AvailabilityZone, WorkspaceId
from acaciaramp.limits.quota import Quota
from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.routing.router import Router
from acaciaramp.util.http_protocol import target_extension
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    ReceivedRequest,
    RecordedCrashes,
    Script,
    ScriptedEndpoint,
    response_to,
    stream_to,
)

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.conversations.client import LedgerClient
    from acaciaramp.coordination.messages import (
        Endpoint,
        SlotReply,
        SlotRequest,
    )
    from acaciaramp.routing.model import Route

TURN_HEADERS = (
    (b'x-program-id', b'p'),
    (b'x-token-budget', b'100'),
    (b'x-token-counts', b'10,40'),
)
SERVER_ERROR = '500 Internal Server Error'
SERVICE_UNAVAILABLE = '503 Service Unavailable'
NOT_EXECUTED_HEADER = 'x-not-executed: 1\r\n'


def make_reach(
    endpoints: Callable[[], list[Endpoint]],
    clock: Clock,
    metrics: Metrics | None = None,
) -> Reach:
    """Return a check of the reach; the test runs it."""
    return Reach(endpoints, clock, random.Random(1), metrics or Metrics())


def make_dialer(clock: Clock) -> Dialer:
    """Return a dialer without peers that never doubts its reach."""
    return Dialer(make_reach(list, clock), None, clock)


class LocalLedger:
    """A ledger client on top of a ledger in this process.

    Attributes:
        state_machine: State machine of the ledger.
        is_down: Whether every request fails.
        stores_turns: Whether requests that store a turn succeed.
        has_room: Whether turns are opened.
        closed: All CloseTurn commands, in order.
    """

    def __init__(self) -> None:
        """Create an empty ledger."""
        self.state_machine = Ledger()
        self.is_down = False
        self.stores_turns = True
        self.has_room = True
        self.closed: list[CloseTurn] = []

    async def open_turn(self, req: OpenTurn, wait_ms: int) -> OpenReply:
        """Apply the command unless the ledger is down or full."""
        self._check()
        if not self.has_room:
            return OpenReply(OpenOutcome.NO_ROOM)
        reply = self.state_machine.apply(encode(req))
        assert isinstance(reply, OpenReply)
        return reply

    async def close_turn(self, req: CloseTurn, wait_ms: int) -> CloseReply:
        """Apply the command unless the ledger is down."""
        self._check()
        if req.kept is not None and not self.stores_turns:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'nobody answers')
        self.closed.append(req)
        reply = self.state_machine.apply(encode(req))
        assert isinstance(reply, CloseReply)
        return reply

    def sweep(self, at_ms: int) -> None:
        """Let the ledger remove what has expired at a time."""
        for number in range(SWEEP_INTERVAL_COMMANDS):
            key = TurnKey(WorkspaceId('sweep'), str(number))
            self.state_machine.apply(encode(CloseTurn(turn=key, at_ms=at_ms)))

    def _check(self) -> None:
        if self.is_down:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'nobody answers')


class Harness:
    """A gateway whose endpoints are on loopback ports.

    Attributes:
        gateway: The gateway.
        ledger: Ledger of the gateway.
        endpoints: The endpoints that ``harness_with`` has started.
        router: Router with one route.
        chooser: Chooses the endpoints of requests.
        selector: Selector of the endpoints.
        quota: Rate limiter; without limits unless a test configures it.
        slots: Owner of the slots at limited endpoints.
        limits: Request limits that endpoints state.
        connections: Connections to the endpoints.
        reach: Whether the gateway reaches the endpoints; not run.
        has_owner: Whether the owner of the slots replies.
        crashes: Requests that were reported as crashes.
        metrics: Metrics of the gateway.
        returned: Workspaces whose tokens were returned.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        route: Route,
        ledger: LocalLedger | None = None,
    ) -> None:
        """Create the gateway without endpoints; it has its own ledger or one."""
        clock = SystemClock()
        codec = PlatformCodec()
        self.crashes = RecordedCrashes(clock)
        self.returned: list[str] = []
        self.has_owner = True
        self.metrics = Metrics()
        self.ledger = ledger or LocalLedger()
        self.endpoints: list[Endpoint] = []
        self.router = Router(random.Random(1))
        self.router.install_table(build.routing_table(route))
        self.selector = EndpointSelector(
            AvailabilityZone('north'), 'east', {}, clock, random.Random(1)
        )
        self.reach = make_reach(self.selector.staying, clock, self.metrics)
        dialer = Dialer(self.reach, None, clock)
        self.connections = ConnectionPool(dialer, clock, lambda _: None)
        self.quota = Quota(_grant_no_tokens, 500, clock)
        self.slots = SlotOwner(clock)
        self.limits = EndpointLimits(self._request_slot, clock)
        lifecycle = TurnLifecycle(
            TurnManager(
                cast('LedgerClient', self.ledger), ChainCache(), clock, tasks
            ),
            clock,
            self.metrics,
        )
        chooser = EndpointChooser(
            self.selector, self.limits, clock, lifecycle.record_origin
        )
        self.chooser = chooser
        self.gateway = Gateway(
            codec=codec,
            router=self.router,
            admission=Admission(
                self.quota,
                lifecycle.needs_ledger,
                self.returned.append,
                clock,
                self.metrics,
            ),
            turns=lifecycle,
            chooser=chooser,
            forwarder=Forwarder(
                codec,
                chooser,
                self.selector,
                self.limits,
                self.connections,
                clock,
                self.metrics,
                self.crashes.watch,
                dialer,
                self.reach,
            ),
            clock=clock,
            metrics=self.metrics,
        )

    def use_dialer(self, dialer: Dialer) -> None:
        """Replace the dialer of the gateway and of its connections."""
        self.connections._dialer = dialer
        self.gateway._forwarder._dialer = dialer

    async def _request_slot(self, req: SlotRequest) -> SlotReply:
        if not self.has_owner:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'nobody answers')
        return self.slots.reserve(req)

    async def request(
        self,
        attempt: str = 'a1',
        *headers: tuple[bytes, bytes],
        caller: FakeCaller | None = None,
        target: bytes = b'/chat/1',
        **changes: Any,
    ) -> FakeCaller:
        """Serve one request and return its caller.

        Args:
            attempt: Id of the request.
            *headers: Additional headers.
            caller: The caller; None for a new one.
            target: Target of the request.
            **changes: Members of the ASGI scope to replace.
        """
        caller = caller or FakeCaller()
        scope = {
            'method': 'POST',
            'extensions': target_extension(target),
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
async def harness_with(
    route: Route, *scripts: Script
) -> AsyncIterator[tuple[Harness, list[ScriptedEndpoint]]]:
    fakes = [ScriptedEndpoint(script) for script in scripts]
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        harness = Harness(tasks, route)
        for number, fake in enumerate(fakes):
            serving = fake.serving(f'e-{number}')
            endpoint = await stack.enter_async_context(serving)
            harness.endpoints.append(endpoint)
        harness.selector.replace_endpoints(harness.endpoints)
        yield harness, fakes
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()


Scenario = Callable[[Harness, list[ScriptedEndpoint]], Awaitable[None]]


def run(route: Route, scenario: Scenario, *scripts: Script) -> None:
    async def main() -> None:
        async with harness_with(route, *scripts) as (harness, fakes):
            await scenario(harness, fakes)

    anyio.run(main)


async def _grant_no_tokens(*_: object) -> tuple[int, int | None]:
    return 0, None


def complete(request: ReceivedRequest) -> list[bytes | None]:
    return [
        response_to(request, b'thing', header_lines='x-server-signature: s\r\n')
    ]


def dropped(_: ReceivedRequest) -> list[bytes | None]:
    return [None]


def refused(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request, b'', SERVICE_UNAVAILABLE, NOT_EXECUTED_HEADER)]


def unresponsive(_: ReceivedRequest) -> list[bytes | None]:
    return []


def streamed(request: ReceivedRequest) -> list[bytes | None]:
    return [*stream_to(request, b'one', b'two')]
