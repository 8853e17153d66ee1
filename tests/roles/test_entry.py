"""An entry instance that stops under steady load."""

from __future__ import annotations

import contextlib
import json
import random
from typing import TYPE_CHECKING, Any

import anyio
from anyio.abc import SocketAttribute

from acaciaramp.clock import SystemClock
from acaciaramp.platform.adapter import ADAPTER
from acaciaramp.roles.common import RoleContext
from acaciaramp.roles.entry import EntryRole
from acaciaramp.settings.node import SettingsFile
from acaciaramp.util.webserver import bind_socket
from tests import builders as build
from tests.forwarding.endpoint import (
    ScriptedEndpoint,
    read_request,
    response_to,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream, TaskGroup

    from acaciaramp.coordination.messages import Endpoint
    from tests.forwarding.endpoint import ReceivedRequest

CALLERS = 6
SHORT, LONG = '/short/', '/long/'
SERVICE_TIME_S = 0.05
SHORT_LIMIT_MS = 1_000
# The drain ends a second before, and the load balancer needs 2.5 s.
GRACE_S = 5
# One request keeps the entry from being idle until no short one is accepted any
# more.
LONG_SERVICE_TIME_S = 3.7
TIMEOUT_S = 30


def route(prefix: str, limit_ms: int) -> dict[str, Any]:
    """Return a route as operators send it."""
    return {
        'name': prefix,
        'host': 'example.test',
        'pathPrefix': prefix,
        'routeKind': 'non_idempotent',
        'timeoutMs': limit_ms,
        'service': str(build.MODEL),
        'public': True,
    }


CONFIG = {
    'version': 1,
    'routes': [route(SHORT, SHORT_LIMIT_MS), route(LONG, 60_000)],
    'services': [{'name': str(build.MODEL), 'healthPath': '/healthz'}],
}


def free_port(host: str) -> int:
    """Return a port that is free on a loopback address."""
    with bind_socket(host, 0) as sock:
        port: int = sock.getsockname()[1]
        return port


def make_role(
    folder: pathlib.Path,
    host: str,
    port: int,
    tasks: TaskGroup,
    **changes: Any,
) -> EntryRole:
    """Return an entry that knows its table but no control instance."""
    path = folder / 'node.jsonc'
    settings = {
        'instance': 'entry-1',
        'role': 'entry',
        'host': host,
        'availability_zone': 'north',
        'region': 'east',
        'regions': {'north': 'east'},
        'inner_port': free_port(host),
        'seeds': [f'{host}:1'],
        'instance_list': {'address': f'{host}:1'},
        'callers': f'{host}:{port}',
        'readiness': f'{host}:{free_port(host)}',
        'bounds': {'grace_s': GRACE_S},
    }
    path.write_text(json.dumps(settings | changes), encoding='utf-8')
    context = RoleContext(SettingsFile(str(path)), SystemClock(), tasks)
    role = EntryRole(context, ADAPTER, random.Random(1))
    role._on_table(json.dumps(CONFIG).encode())
    return role


@contextlib.asynccontextmanager
async def slow_endpoint(received: set[str]) -> AsyncIterator[Endpoint]:
    """Serve short and long requests; add their ids to ``received``."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    request = await read_request(stream, 1)
                    received.add(request.attempt.decode())
                    is_long = LONG.encode() in request.head
                    await anyio.sleep(
                        LONG_SERVICE_TIME_S if is_long else SERVICE_TIME_S
                    )
                    await stream.send(response_to(request, b'whole'))

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield build.listed_endpoint('e-1', port=port)
        tasks.cancel_scope.cancel()
    await listener.aclose()


async def request(host: str, port: int, prefix: str, attempt: str) -> bytes:
    """Send a request on a new connection; return all that comes back.

    Nothing comes back on a connection that is closed before it was read.
    """
    received = b''
    async with await anyio.connect_tcp(host, port) as stream:
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            await stream.send(
                b'POST %s HTTP/1.1\r\nhost: example.test\r\n'
                b'x-attempt-id: %s\r\nconnection: close\r\n'
                b'content-length: 0\r\n\r\n'
                % (prefix.encode(), attempt.encode())
            )
            while True:
                received += await stream.receive()
    return received


# Guards against requests that a stopping entry accepts until it cuts them off.
def test_no_request_is_cut_off_by_an_entry_that_is_never_idle(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    port = free_port(host)
    received: set[str] = set()
    responses: dict[str, bytes] = {}

    async def call(number: int) -> None:
        with contextlib.suppress(OSError):
            while True:
                attempt = f'{number}-{len(responses)}'
                responses[attempt] = await request(host, port, SHORT, attempt)

    async def call_once() -> None:
        responses['long'] = await request(host, port, LONG, 'long')

    async def scenario() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as background:
            role = make_role(tmp_path, host, port, background)
            async with slow_endpoint(received) as endpoint:
                role._replace_endpoints((endpoint,))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(role.run, stop)
                    await anyio.sleep(0.3)
                    tasks.start_soon(call_once)
                    for number in range(CALLERS):
                        tasks.start_soon(call, number)
                    await anyio.sleep(0.1)
                    stop.set()
            background.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(TIMEOUT_S):
            await scenario()

    anyio.run(main)
    whole = {
        attempt
        for attempt, response in responses.items()
        if response.endswith(b'\r\n\r\nwhole')
    }
    assert 'long' in whole
    assert whole == received
    others = [responses[attempt][:13] for attempt in responses.keys() - whole]
    assert b'HTTP/1.1 503 ' in others
    assert set(others) <= {b'HTTP/1.1 503 ', b''}


class RestartingEndpoint:
    """Says that it is leaving until it has started again under its id.

    Attributes:
        is_leaving: Whether it says so in each answer.
        probes: Number of its health probes.
    """

    def __init__(self) -> None:
        """Create the endpoint, which is leaving."""
        self.is_leaving = True
        self.probes = 0

    def answer(self, request: ReceivedRequest) -> list[bytes | None]:
        """Answer a request."""
        self.probes += request.head.startswith(b'GET /healthz')
        line = 'server-leaving: 1\r\n' if self.is_leaving else ''
        return [response_to(request, b'whole', header_lines=line)]


# Guards against endpoints that get no request any more once they have started again
# in place, in a list that does not show it.
def test_an_endpoint_that_starts_again_in_place_gets_requests_again(
    tmp_path: pathlib.Path,
) -> None:
    host = build.loopback_host()
    port = free_port(host)
    restarting = RestartingEndpoint()

    async def scenario() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as background:
            bounds = {'grace_s': GRACE_S, 'drain_ms': 500}
            role = make_role(tmp_path, host, port, background, bounds=bounds)
            endpoint = ScriptedEndpoint(restarting.answer)
            async with endpoint.serving('e-1') as listed:
                role._replace_endpoints((listed,))
                background.start_soon(role.run, stop)
                await anyio.sleep(0.3)
                first = await request(host, port, SHORT, 'first')
                assert first.endswith(b'whole')
                refused = await request(host, port, SHORT, 'refused')
                assert refused.startswith(b'HTTP/1.1 503 ')
                restarting.is_leaving = False
                while not (await request(host, port, SHORT, 'again')).endswith(
                    b'whole'
                ):
                    await anyio.sleep(0.1)
                assert restarting.probes
            background.cancel_scope.cancel()

    async def main() -> None:
        with anyio.fail_after(TIMEOUT_S):
            await scenario()

    anyio.run(main)


def test_admission_control_is_on_only_where_the_settings_ask_for_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refusals in deployments that have no such contract."""

    async def main() -> None:
        host = build.loopback_host()
        async with anyio.create_task_group() as tasks:
            for contracts in ([], ['pressure']):
                role = make_role(tmp_path, host, 1, tasks, contracts=contracts)
                chooser = role._gateway._chooser
                assert (chooser.overload is not None) is bool(contracts)

    anyio.run(main)
