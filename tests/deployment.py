"""A deployment in one process: instances and stand-ins over loopback."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
import pathlib
import tempfile
import types
from typing import TYPE_CHECKING, Any

import anyio
import httpcore
import trustme
from anyio import lowlevel

from acaciaramp.application import Application
from acaciaramp.clock import Clock, ManualClock, SystemClock
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import key_hash
from acaciaramp.fakes.batching import StepTiming
from acaciaramp.fakes.connections import AbortableProtocol, abort_connection
from acaciaramp.fakes.engine import EngineOptions, FakeEngine
from acaciaramp.fakes.faults import FaultInjector
from acaciaramp.fakes.instances import FakeInstanceList
from acaciaramp.fakes.service import FakeService
from acaciaramp.ids import InstanceId
from acaciaramp.peering.server import Address
from acaciaramp.util.webserver import bind_socket, running_server
from tests import builders as build
from tests.failpoints import Failpoints
from tests.network import Network

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_PORT = 7000
_INNER_PORT = 7100
_OPERATORS_PORT = 7200
_NETWORK_PORT = 7300
_QUICK = types.MappingProxyType({'loan_ms': 300, 'links': {'plain': True}})
_FILL_MS = 1_000


@dataclasses.dataclass
class Plan:
    """What a deployment consists of.

    Attributes:
        instances: Number of instances.
        engines: Number of engines.
        pace: How fast the engines work.
        document: Members of the document that differ from the builder's.
        settings: Members of the settings that differ from the builder's.
        has_disks: Whether instances keep their state on disk.
        has_keys: Whether links between instances are secured.
        has_network: Whether a network that can be cut lies between instances.
        clock: The clock of all processes.
    """

    instances: int = 1
    engines: int = 2
    pace: StepTiming = dataclasses.field(default_factory=StepTiming)
    document: dict[str, Any] = dataclasses.field(default_factory=dict)
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    has_disks: bool = False
    has_keys: bool = False
    has_network: bool = False
    clock: Clock = dataclasses.field(default_factory=SystemClock)


@dataclasses.dataclass
class Reply:
    """An answer as a caller sees it.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


def zone_of(number: int) -> str:
    """Return the availability zone of an instance: two in each."""
    return ('medina-nord', 'medina-sud', 'sahel-sousse')[(number - 1) // 2 % 3]


class Deployment:
    """A running deployment.

    Attributes:
        engines: The engines by id.
        service: The plain service.
        instance_list: The platform's instance list.
        faults: Where faults are added, by stand-in.
        apps: The instances by number, from 1.
        stops: Set to stop an instance, by number.
        stopped: Set when an instance has stopped, by number.
        run_errors: Why an instance ended by itself, by number.
        network: What lies between the instances.
        failpoints: Told of the points that calls reach.
    """

    def __init__(self, plan: Plan) -> None:
        """Create the deployment; ``running`` starts it."""
        self.plan = plan
        self.host = build.loopback_host()
        self.engines: dict[str, FakeEngine] = {}
        self.service = FakeService()
        self.faults: dict[str, FaultInjector] = {}
        self.apps: dict[int, Application] = {}
        self.stops: dict[int, anyio.Event] = {}
        self.stopped: dict[int, anyio.Event] = {}
        self.instance_list = FakeInstanceList([], 0, plan.clock)
        self.run_errors: dict[int, BaseException] = {}
        self.network = Network()
        self.failpoints = Failpoints()
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._disks = tempfile.TemporaryDirectory()
        self._authority = trustme.CA()
        self._listing = ''
        self._document = build.document()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Deployment]:
        """Run everything while the body runs."""
        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            addresses = await self._start_engines(stack, tasks)
            service = await self._serve(stack, 'atelier-1', self.service.app())
            self._listing = await self._serve(
                stack, 'list', self.instance_list.app()
            )
            tree = build.document_tree(addresses, {'atelier-1': service})
            tree = {**tree, **self.plan.document}
            self._document = Document.model_validate(tree)
            self._tasks = tasks
            await self._start_network(tasks)
            for number in range(1, self.plan.instances + 1):
                self._begin_instance(number)
            for app in self.apps.values():
                await app.ready.wait()
            if isinstance(self.plan.clock, ManualClock):
                self.plan.clock.advance(_FILL_MS)
            yield self
            for stop in self.stops.values():
                stop.set()
            for stopped in self.stopped.values():
                await stopped.wait()
            tasks.cancel_scope.cancel()
        self._disks.cleanup()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        instance: int = 1,
        key: str = build.KEY,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Return the answer of an instance.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Bytes as they are; anything else as JSON; None for none.
            instance: The instance that is asked.
            key: The caller's key; empty for none.
            headers: Further headers.
        """
        sent = list((headers or {}).items())
        if key:
            sent.append(('Authorization', f'Bearer {key}'))
        content = body
        if body is not None and not isinstance(body, bytes):
            content = json.dumps(body).encode()
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await pool.request(
                method,
                self.address(instance) + path,
                headers=sent,
                content=content,
            )
        names = [
            (name.decode().lower(), text.decode())
            for name, text in resp.headers
        ]
        return Reply(resp.status, dict(names), resp.content)

    async def call_operator_api(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        instance: int = 1,
        key: str = build.OPERATOR_KEY,
    ) -> Reply:
        """Return the answer of an instance to an operator."""
        url = f'http://{self.host}:{_OPERATORS_PORT + instance}{path}'
        content = None if body is None else json.dumps(body).encode()
        headers = [('Authorization', f'Bearer {key}')]
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await pool.request(
                method, url, headers=headers, content=content
            )
        return Reply(resp.status, {}, resp.content)

    def document_tree(self, revision: int) -> dict[str, Any]:
        """Return the first document with another revision."""
        tree: dict[str, Any] = json.loads(self._document.model_dump_json())
        return {**tree, 'revision': revision}

    def address(self, instance: int = 1) -> str:
        """Return the address of an instance for callers."""
        return f'http://{self.host}:{_PORT + instance}'

    async def _start_engines(
        self, stack: contextlib.AsyncExitStack, tasks: anyio.abc.TaskGroup
    ) -> dict[str, str]:
        addresses = {}
        for number in range(1, self.plan.engines + 1):
            name = f'engine-{number}'
            options = EngineOptions(models=(build.MODEL,), pace=self.plan.pace)
            engine = FakeEngine(options, self.plan.clock)
            self.engines[name] = engine
            tasks.start_soon(engine.run)
            addresses[name] = await self._serve(stack, name, engine.app())
        return addresses

    async def _serve(
        self, stack: contextlib.AsyncExitStack, name: str, app: Any
    ) -> str:
        faulty = FaultInjector(
            self.failpoints.wrap(app), self.plan.clock, abort_connection
        )
        self.faults[name] = faulty
        sock = bind_socket(self.host, 0)
        await stack.enter_async_context(
            running_server(faulty, [sock], AbortableProtocol)
        )
        return f'http://{self.host}:{sock.getsockname()[1]}'

    async def _start_instance(self, number: int) -> None:
        self._begin_instance(number)
        await self.apps[number].ready.wait()

    def _begin_instance(self, number: int) -> None:
        settings = build.settings(
            instance=f'entry-{number}',
            availability_zone=zone_of(number),
            callers={'host': self.host, 'port': _PORT + number},
            inner={'host': self.host, 'port': _INNER_PORT + number},
            peers=self._peers_of(number),
            operators={'host': self.host, 'port': _OPERATORS_PORT + number},
            operator_key=key_hash(build.OPERATOR_KEY),
            data_folder=self._folder_of(number),
            replication={'heartbeat_ms': 40, 'election_ms': 250},
            instance_list=f'{self._listing}/instances',
            **{**_QUICK, **self._links_of(number), **self.plan.settings},
        )
        app = Application(settings, self._document, self.plan.clock)
        self.apps[number] = app
        self.stops[number] = anyio.Event()
        self.stopped[number] = anyio.Event()
        assert self._tasks is not None
        self._tasks.start_soon(self._run_instance, number)

    def _folder_of(self, number: int) -> str | None:
        if not self.plan.has_disks:
            return None
        return f'{self._disks.name}/entry-{number}'

    def _peers_of(self, number: int) -> list[dict[str, Any]]:
        return [
            {
                'instance': f'entry-{peer}',
                'availability_zone': zone_of(peer),
                'host': self.host,
                'port': self._inner_port(number, peer),
            }
            for peer in range(1, self.plan.instances + 1)
            if peer != number
        ]

    def _links_of(self, number: int) -> dict[str, Any]:
        if not self.plan.has_keys:
            return {}
        folder = pathlib.Path(self._disks.name) / f'keys-{number}'
        files = build.issue_certificate(folder, self._authority, self.host)
        return {'links': {'tls': files._asdict()}}

    def _inner_port(self, sender: int, receiver: int) -> int:
        if self.plan.has_network:
            return _NETWORK_PORT + 10 * sender + receiver
        return _INNER_PORT + receiver

    async def _start_network(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self.plan.has_network:
            return
        numbers = range(1, self.plan.instances + 1)
        for sender, receiver in itertools.permutations(numbers, 2):
            await tasks.start(
                self.network.serve,
                sender,
                receiver,
                Address(self.host, self._inner_port(sender, receiver)),
                Address(self.host, _INNER_PORT + receiver),
            )

    def start_kill(self, number: int) -> None:
        """Begin to end an instance at once; it does nothing more."""
        self._scopes[number].cancel()

    async def kill(self, number: int) -> None:
        """End an instance at once, without a word to anybody."""
        self.start_kill(number)
        await self.stopped[number].wait()

    async def restart(self, number: int) -> None:
        """Start an instance that was ended."""
        await self._start_instance(number)

    async def wait_fully_replicated(self, voters: int) -> None:
        """Return once every cell has a leader and that many voters."""
        while not all(self._is_strong(cell, voters) for cell in self._names()):
            await lowlevel.checkpoint()

    def leader_of(self, cell: str) -> int | None:
        """Return the number of the instance that serves a cell."""
        for number, app in self.apps.items():
            hosted = app.cells.get(InstanceId(cell))
            is_up = not self.stopped[number].is_set()
            if is_up and hosted is not None and hosted.is_serving:
                return number
        return None

    def _names(self) -> list[str]:
        return [f'entry-{number}' for number in self.apps]

    def _is_strong(self, cell: str, voters: int) -> bool:
        leader = self.leader_of(cell)
        if leader is None:
            return False
        replica = self.apps[leader].cells[InstanceId(cell)].replica
        return replica.is_fully_replicated(voters)

    async def _run_instance(self, number: int) -> None:
        self._scopes[number] = anyio.CancelScope()
        try:
            with self._scopes[number]:
                await self.apps[number].run(self.stops[number])
        except* OSError as exc:
            # The daemon would end with an error.
            self.run_errors[number] = exc
        finally:
            self.stopped[number].set()
