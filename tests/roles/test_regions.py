"""Roles over loopback: a bound turn, and the evacuation of its zone."""

from __future__ import annotations

import contextlib
import json
import random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from anyio.abc import SocketAttribute

from acaciaramp.clock import SystemClock
from acaciaramp.platform.adapter import ADAPTER
from acaciaramp.roles.common import RoleContext
from acaciaramp.roles.control import ControlRole
from acaciaramp.roles.entry import EntryRole
from acaciaramp.roles.storage import StorageRole
from acaciaramp.settings.node import SettingsFile
from tests import builders as build
from tests.forwarding.endpoint import ScriptedEndpoint, stream_to
from tests.roles.test_entry import free_port

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator, Iterator

    from anyio.abc import SocketStream, TaskGroup

    from acaciaramp.coordination.messages import Endpoint
    from tests.forwarding.endpoint import ReceivedRequest

REGIONS = {'north': 'near', 'south': 'far'}
BODY = b'confidential'
TIMEOUT_S = 60
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'chat',
            'host': 'example.test',
            'pathPrefix': '/',
            'routeKind': 'streaming',
            'timeoutMs': 5_000,
            'service': str(build.MODEL),
            'public': True,
            'retained': True,
            'retentionS': 600,
            'homeRegions': ['far'],
        }
    ],
    'services': [{'name': str(build.MODEL), 'engine': {'chunkTokens': 10}}],
}


class Deployment:
    """One control, three storage and one entry instance in a process.

    The ledger of all regions is in the region "near", which has more storage
    instances; "far" has one.

    Attributes:
        folder: Folder of all instances.
        operators: Address for operators.
        callers: Address for callers.
    """

    def __init__(self, folder: pathlib.Path, list_address: str) -> None:
        """Choose the addresses."""
        self.folder = folder
        self._list = list_address
        self._control = build.loopback_host()
        self._inner_port = free_port(self._control)
        self.operators = (self._control, free_port(self._control))
        host = build.loopback_host()
        self.callers = (host, free_port(host))

    def start(self, tasks: TaskGroup) -> None:
        """Start all instances."""
        control = self._context('control', self._control, 'north', tasks)
        roles: list[Any] = [ControlRole(control, ADAPTER)]
        for zone in ('north', 'north', 'south'):
            host = build.loopback_host()
            roles.append(
                StorageRole(self._context('storage', host, zone, tasks))
            )
        entry = self._context('entry', self.callers[0], 'north', tasks)
        roles.append(EntryRole(entry, ADAPTER, random.Random(1)))
        for role in roles:
            tasks.start_soon(role.run, anyio.Event())

    def _context(
        self, role: str, host: str, zone: str, tasks: TaskGroup
    ) -> RoleContext:
        folder = self.folder / f'{zone}-{host}'
        folder.mkdir()
        settings = {
            'instance': host,
            'role': role,
            'host': host,
            'availability_zone': zone,
            'region': REGIONS[zone],
            'regions': REGIONS,
            'inner_port': self._inner_port,
            'seeds': [f'{self._control}:{self.operators[1]}'],
            'instance_list': {'address': self._list},
            'callers': f'{host}:{self.callers[1]}',
            'readiness': f'{host}:{free_port(host)}',
            'operators': f'{host}:{self.operators[1]}',
            'data_folder': str(folder),
            'first_start': True,
            'tolerated_faults': 0,
        }
        path = folder / 'node.jsonc'
        path.write_text(json.dumps(settings), encoding='utf-8')
        return RoleContext(SettingsFile(str(path)), SystemClock(), tasks)


async def post(
    address: tuple[str, int], path: str, body: bytes, *headers: str
) -> int:
    """Send a request on a new connection; return the status, 0 for none."""
    lines = (
        f'POST {path} HTTP/1.1',
        'host: example.test',
        'connection: close',
        f'content-length: {len(body)}',
        *headers,
    )
    received = b''
    with contextlib.suppress(OSError, anyio.BrokenResourceError):
        async with await anyio.connect_tcp(*address) as stream:
            head = '\r\n'.join((*lines, '', ''))
            await stream.send(head.encode() + body)
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
    return int(received[9:12] or 0)


async def wait_for(
    status: int, address: tuple[str, int], path: str, body: bytes
) -> None:
    """Send a request under new ids until it gets a status."""
    number = 0
    while True:
        number += 1
        attempt = f'x-attempt-id: {path}-{number}'
        if await post(address, path, body, attempt) == status:
            return
        await anyio.sleep(0.1)


def answer(request: ReceivedRequest) -> list[bytes | None]:
    return [*stream_to(request, b'one')]


@contextlib.asynccontextmanager
async def serving_list(endpoints: list[Endpoint]) -> AsyncIterator[str]:
    """Serve the list of endpoints; yield its address."""
    rows = [
        {
            'id': item.id,
            'service': item.service,
            'address': f'{item.host}:{item.port}',
            'zone': item.availability_zone,
            'slots': item.slots,
            'state': 'ready',
        }
        for item in endpoints
    ]
    page = json.dumps({'instances': rows}).encode()

    async def serve(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(
                b'HTTP/1.1 200 OK\r\nconnection: close\r\n'
                b'content-length: %d\r\n\r\n%b' % (len(page), page)
            )

    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield f'127.0.0.1:{port}'
        tasks.cancel_scope.cancel()


def folders_with(folder: pathlib.Path, body: bytes) -> Iterator[str]:
    """Yield the zones of the instances that have stored a body."""
    for path in folder.rglob('*'):
        if path.is_file() and body in path.read_bytes():
            yield path.relative_to(folder).parts[0].partition('-')[0]


# Guards against bodies of bound turns in other regions, on the wire's whole way,
# and against an evacuation that is acknowledged and not obeyed.
def test_bound_turns_stay_at_home_and_evacuations_are_obeyed(
    tmp_path: pathlib.Path,
) -> None:
    near, far = (ScriptedEndpoint(answer) for _ in range(2))

    async def scenario(deployment: Deployment) -> None:
        config = json.dumps(CONFIG).encode()
        await wait_for(200, deployment.operators, '/v1/config/replace', config)
        await wait_for(200, deployment.callers, '/first', BODY)
        first = far.received[-1].attempt.decode()
        status = await post(
            deployment.callers,
            '/second',
            b'more',
            'x-attempt-id: second',
            f'x-previous-turn: {first}',
        )
        assert status == 200
        assert far.received[-1].body.startswith(BODY)
        assert not near.received
        path = '/v1/evacuations/south/'
        assert await post(deployment.operators, f'{path}begin', b'') == 200
        await wait_for(503, deployment.callers, '/third', b'')
        count = len(far.received)
        await wait_for(503, deployment.callers, '/fourth', b'')
        assert len(far.received) == count
        assert await post(deployment.operators, f'{path}finish', b'') == 200
        await wait_for(200, deployment.callers, '/fifth', b'')

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            endpoints = [
                await stack.enter_async_context(near.serving('e-near')),
                msgspec.structs.replace(
                    await stack.enter_async_context(far.serving('e-far')),
                    availability_zone='south',
                ),
            ]
            address = await stack.enter_async_context(serving_list(endpoints))
            deployment = Deployment(tmp_path, address)
            async with anyio.create_task_group() as tasks:
                deployment.start(tasks)
                with anyio.fail_after(TIMEOUT_S):
                    await scenario(deployment)
                tasks.cancel_scope.cancel()

    anyio.run(main)
    assert set(folders_with(tmp_path, BODY)) == {'south'}
