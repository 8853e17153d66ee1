"""Test deployment in one process: instances and fakes over loopback."""

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
from tests.failpoints import FailpointRegistry
from tests.network import Network

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_CALLER_PORT_BASE = 7000
_INNER_PORT_BASE = 7100
_OPERATOR_PORT_BASE = 7200
_PROXY_PORT_BASE = 7300
_BASE_SETTINGS = types.MappingProxyType(
    {'loan_ms': 300, 'links': {'plain': True}}
)
_TOKEN_REFILL_MS = 1_000


@dataclasses.dataclass
class DeploymentConfig:
    """Configuration of a test deployment.

    Attributes:
        instances: Number of instances.
        engines: Number of engines.
        step_timing: Duration of the engines' batching steps.
        document: Keys of the document that override the builder's.
        settings: Keys of the settings that override the builder's.
        has_persistent_storage: Whether instances keep their state on disk.
        has_tls: Whether links between instances use mutual TLS.
        has_network_proxy: Whether links pass a proxy that can drop traffic.
        clock: The clock that all instances and fakes share.
    """

    instances: int = 1
    engines: int = 2
    step_timing: StepTiming = dataclasses.field(default_factory=StepTiming)
    document: dict[str, Any] = dataclasses.field(default_factory=dict)
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    has_persistent_storage: bool = False
    has_tls: bool = False
    has_network_proxy: bool = False
    clock: Clock = dataclasses.field(default_factory=SystemClock)


@dataclasses.dataclass
class Response:
    """An HTTP response as a caller receives it.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: Raw bytes of the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body, decoded from JSON."""
        return json.loads(self.body)


def availability_zone_of(number: int) -> str:
    """Return the availability zone of an instance; a zone holds two."""
    return ('medina-nord', 'medina-sud', 'sahel-sousse')[(number - 1) // 2 % 3]


class Deployment:
    """Instances, fake endpoints and a fake instance list in one event loop.

    Attributes:
        config: What the deployment consists of.
        host: Loopback address that all servers of the deployment bind.
        engines: The fake engines by endpoint id.
        service: The fake plain service.
        instance_list: The fake of the platform's instance list.
        faults: Fault injectors by name of the fake.
        apps: The instances by number, from 1.
        stop_events: Set to shut an instance down, by number.
        stopped_events: Set when an instance has stopped, by number.
        run_errors: Errors that ended an instance, by number.
        network: The proxies on the links between instances.
        failpoints: Records the failpoints that calls reach.
    """

    def __init__(self, config: DeploymentConfig) -> None:
        """Create the deployment without starting it; see ``running``."""
        self.config = config
        self.host = build.loopback_host()
        self.engines: dict[str, FakeEngine] = {}
        self.service = FakeService()
        self.faults: dict[str, FaultInjector] = {}
        self.apps: dict[int, Application] = {}
        self.stop_events: dict[int, anyio.Event] = {}
        self.stopped_events: dict[int, anyio.Event] = {}
        self.instance_list = FakeInstanceList([], 0, config.clock)
        self.run_errors: dict[int, BaseException] = {}
        self.network = Network()
        self.failpoints = FailpointRegistry()
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._storage_root = tempfile.TemporaryDirectory()
        self._authority = trustme.CA()
        self._instance_list_url = ''
        self._document = build.document()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Deployment]:
        """Run the deployment until the body ends, then shut it down."""
        async with contextlib.AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            addresses = await self._start_engines(stack, tasks)
            service = await self._serve(stack, 'atelier-1', self.service.app())
            self._instance_list_url = await self._serve(
                stack, 'list', self.instance_list.app()
            )
            tree = build.document_tree(addresses, {'atelier-1': service})
            tree = {**tree, **self.config.document}
            self._document = Document.model_validate(tree)
            self._tasks = tasks
            await self._start_network(tasks)
            for number in range(1, self.config.instances + 1):
                self._launch_instance(number)
            for app in self.apps.values():
                await app.ready.wait()
            if isinstance(self.config.clock, ManualClock):
                self.config.clock.advance(_TOKEN_REFILL_MS)
            yield self
            for stop in self.stop_events.values():
                stop.set()
            for stopped in self.stopped_events.values():
                await stopped.wait()
            tasks.cancel_scope.cancel()
        self._storage_root.cleanup()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        instance: int = 1,
        key: str = build.KEY,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a caller's request to an instance and return the response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Bytes are sent unchanged, any other value as JSON, and
                None as an empty body.
            instance: Number of the instance.
            key: The caller's API key; empty for none.
            headers: Additional request headers.

        Returns:
            The response with its headers.
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
        return Response(resp.status, dict(names), resp.content)

    async def call_operator_api(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        instance: int = 1,
        key: str = build.OPERATOR_KEY,
    ) -> Response:
        """Send an operator's request and return its status and body."""
        url = f'http://{self.host}:{_OPERATOR_PORT_BASE + instance}{path}'
        content = None if body is None else json.dumps(body).encode()
        headers = [('Authorization', f'Bearer {key}')]
        async with httpcore.AsyncConnectionPool() as pool:
            resp = await pool.request(
                method, url, headers=headers, content=content
            )
        return Response(resp.status, {}, resp.content)

    def document_tree(self, revision: int) -> dict[str, Any]:
        """Return the initial document with another revision."""
        tree: dict[str, Any] = json.loads(self._document.model_dump_json())
        return {**tree, 'revision': revision}

    def address(self, instance: int = 1) -> str:
        """Return the URL at which an instance serves callers."""
        return f'http://{self.host}:{_CALLER_PORT_BASE + instance}'

    async def _start_engines(
        self, stack: contextlib.AsyncExitStack, tasks: anyio.abc.TaskGroup
    ) -> dict[str, str]:
        addresses = {}
        for number in range(1, self.config.engines + 1):
            name = f'engine-{number}'
            options = EngineOptions(
                models=(build.MODEL,), pace=self.config.step_timing
            )
            engine = FakeEngine(options, self.config.clock)
            self.engines[name] = engine
            tasks.start_soon(engine.run)
            addresses[name] = await self._serve(stack, name, engine.app())
        return addresses

    async def _serve(
        self, stack: contextlib.AsyncExitStack, name: str, app: Any
    ) -> str:
        injector = FaultInjector(
            self.failpoints.wrap_app(app), self.config.clock, abort_connection
        )
        self.faults[name] = injector
        sock = bind_socket(self.host, 0)
        await stack.enter_async_context(
            running_server(injector, [sock], AbortableProtocol)
        )
        return f'http://{self.host}:{sock.getsockname()[1]}'

    async def _start_instance(self, number: int) -> None:
        self._launch_instance(number)
        await self.apps[number].ready.wait()

    def _launch_instance(self, number: int) -> None:
        settings = build.settings(
            instance=f'entry-{number}',
            availability_zone=availability_zone_of(number),
            callers={'host': self.host, 'port': _CALLER_PORT_BASE + number},
            inner={'host': self.host, 'port': _INNER_PORT_BASE + number},
            peers=self._peer_settings(number),
            operators={'host': self.host, 'port': _OPERATOR_PORT_BASE + number},
            operator_key=key_hash(build.OPERATOR_KEY),
            data_folder=self._data_folder_of(number),
            replication={'heartbeat_ms': 40, 'election_ms': 250},
            instance_list=f'{self._instance_list_url}/instances',
            **{
                **_BASE_SETTINGS,
                **self._link_settings(number),
                **self.config.settings,
            },
        )
        app = Application(settings, self._document, self.config.clock)
        self.apps[number] = app
        self.stop_events[number] = anyio.Event()
        self.stopped_events[number] = anyio.Event()
        assert self._tasks is not None
        self._tasks.start_soon(self._run_instance, number)

    def _data_folder_of(self, number: int) -> str | None:
        if not self.config.has_persistent_storage:
            return None
        return f'{self._storage_root.name}/entry-{number}'

    def _peer_settings(self, number: int) -> list[dict[str, Any]]:
        return [
            {
                'instance': f'entry-{peer}',
                'availability_zone': availability_zone_of(peer),
                'host': self.host,
                'port': self._inner_port(number, peer),
            }
            for peer in range(1, self.config.instances + 1)
            if peer != number
        ]

    def _link_settings(self, number: int) -> dict[str, Any]:
        if not self.config.has_tls:
            return {}
        folder = pathlib.Path(self._storage_root.name) / f'keys-{number}'
        files = build.issue_certificate(folder, self._authority, self.host)
        return {'links': {'tls': files._asdict()}}

    def _inner_port(self, sender: int, receiver: int) -> int:
        if self.config.has_network_proxy:
            return _PROXY_PORT_BASE + 10 * sender + receiver
        return _INNER_PORT_BASE + receiver

    async def _start_network(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self.config.has_network_proxy:
            return
        numbers = range(1, self.config.instances + 1)
        for sender, receiver in itertools.permutations(numbers, 2):
            await tasks.start(
                self.network.serve,
                sender,
                receiver,
                Address(self.host, self._inner_port(sender, receiver)),
                Address(self.host, _INNER_PORT_BASE + receiver),
            )

    def start_kill(self, number: int) -> None:
        """Cancel all tasks of an instance without waiting for them to end."""
        self._scopes[number].cancel()

    async def kill(self, number: int) -> None:
        """Cancel an instance without a graceful shutdown; wait for its end."""
        self.start_kill(number)
        await self.stopped_events[number].wait()

    async def restart(self, number: int) -> None:
        """Start an instance again and wait until it is ready."""
        await self._start_instance(number)

    async def wait_fully_replicated(self, voters: int) -> None:
        """Wait until every cell has a leader and ``voters`` voters."""
        while not all(
            self._is_fully_replicated(cell, voters)
            for cell in self._cell_names()
        ):
            await lowlevel.checkpoint()

    def leader_of(self, cell: str) -> int | None:
        """Return the number of the instance that leads and serves a cell."""
        for number, app in self.apps.items():
            hosted = app.cells.get(InstanceId(cell))
            is_running = not self.stopped_events[number].is_set()
            if is_running and hosted is not None and hosted.is_serving:
                return number
        return None

    def _cell_names(self) -> list[str]:
        return [f'entry-{number}' for number in self.apps]

    def _is_fully_replicated(self, cell: str, voters: int) -> bool:
        leader = self.leader_of(cell)
        if leader is None:
            return False
        replica = self.apps[leader].cells[InstanceId(cell)].replica
        return replica.is_fully_replicated(voters)

    async def _run_instance(self, number: int) -> None:
        self._scopes[number] = anyio.CancelScope()
        try:
            with self._scopes[number]:
                await self.apps[number].run(self.stop_events[number])
        except* OSError as exc:
            # A real instance process exits with an error in this case.
            self.run_errors[number] = exc
        finally:
            self.stopped_events[number].set()
