"""Starts the system's own processes on loopback and reads their memory."""

from __future__ import annotations

import contextlib
import http.client
import http.server
import json
import os
import pathlib
import re
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from acaciaramp.documents.registry import key_hash
from acaciaramp.util.webserver import bind_socket
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

ROOT = pathlib.Path(__file__).parents[2]
BYTES_PER_KB = 1_024
# Reached only if a process hangs.
GUARD_S = 60
_POLL_S = 0.05
# Requests before the memory of the idle process is read, so that what is loaded
# or cached by the first ones is no growth.
_WARM_UP_REQUESTS = 20
_ROUTE_PATH = '/form'
# The stand-in answers requests below this path with one event.
STREAM_PATH = '/chat/'
# Below this path it sends events without end.
ENDLESS_PATH = '/endless/'
_ENDLESS_EVENT = b'data: %s\n\n' % (65_528 * b'x')
_OK = 200


class Address(NamedTuple):
    """Address of a listener."""

    host: str
    port: int


class Response(NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class Process(NamedTuple):
    """A process of the system.

    Attributes:
        pid: Its process id.
        address: Its listener for callers or operators.
        request: Sends one ordinary request and returns its response.
        readiness: Listener of an entry for the load balancer.
        operators: Listener of ``acaciaramp serve`` for operators.
    """

    pid: int
    address: Address
    request: Callable[[], Response]
    readiness: Address | None = None
    operators: Address | None = None

    @property
    def peak_bytes(self) -> int:
        """Largest resident memory of the process so far."""
        return self._status_bytes('VmHWM')

    @property
    def resident_bytes(self) -> int:
        """Resident memory of the process."""
        return self._status_bytes('VmRSS')

    @property
    def descriptors(self) -> int:
        """Number of open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    @property
    def is_alive(self) -> bool:
        """Whether the process runs; a process that was killed is a zombie."""
        stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        return stat.rpartition(')')[2].split()[0] != 'Z'

    def warm_up(self) -> None:
        """Send ordinary requests, as a process has served some."""
        for _ in range(_WARM_UP_REQUESTS):
            assert self.request().status == _OK

    def _status_bytes(self, name: str) -> int:
        status = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        found = re.search(rf'^{name}:\s*(\d+) kB', status, re.MULTILINE)
        assert found is not None
        return int(found.group(1)) * BYTES_PER_KB


def send_request(
    address: Address,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Response:
    """Send a request on a new connection; return its response."""
    connection = http.client.HTTPConnection(*address, timeout=GUARD_S)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.read())


class StandIn(http.server.BaseHTTPRequestHandler):
    """An endpoint, and the platform's list that names it."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        """Serve the list of endpoints."""
        host, port = self.connection.getsockname()
        entries = [
            {
                'id': f'{service}-1',
                'service': service,
                'address': f'{host}:{port}',
                'zone': 'north',
                'slots': 64,
                'state': 'ready',
            }
            for service in ('form', 'endless')
        ]
        self._respond(json.dumps({'instances': entries, 'next': None}))

    def do_POST(self) -> None:
        """Answer a request with the size of its body."""
        size = int(self.headers.get('content-length', 0))
        text = str(len(self.rfile.read(size)))
        if self.path.startswith(ENDLESS_PATH):
            self._send_without_end()
            return
        if self.path.startswith(STREAM_PATH):
            text = f'data: {text}\n\n'
        self._respond(text)

    def log_message(self, *_: Any) -> None:
        """Log nothing."""

    def _send_without_end(self) -> None:
        self.send_response(_OK)
        self.send_header('X-Attempt-Id', self.headers.get('x-attempt-id', ''))
        self.end_headers()
        self.close_connection = True
        with contextlib.suppress(OSError):
            while not self.wfile.closed:
                self.wfile.write(_ENDLESS_EVENT)

    def _respond(self, text: str) -> None:
        self.send_response(_OK)
        self.send_header('X-Attempt-Id', self.headers.get('x-attempt-id', ''))
        self.send_header('Content-Length', str(len(text)))
        self.end_headers()
        self.wfile.write(text.encode())


class Fleet:
    """A control instance, a storage instance and a stand-in endpoint.

    Entries, further control instances and instances of ``acaciaramp serve``
    are started as tests need them.
    """

    def __init__(self, folder: pathlib.Path, list_address: Address) -> None:
        """Create the fleet without processes.

        Args:
            folder: Folder for settings, data and logs.
            list_address: Address of the stand-in.
        """
        self._folder = folder
        self._list_address = list_address
        self._seed = Address(build.loopback_host(), 8367)
        self._count = 0

    @contextlib.contextmanager
    def running(self, config: dict[str, Any]) -> Iterator[Fleet]:
        """Run one control and one storage instance with a config."""
        with self.controlled(config), self.storage():
            yield self

    @contextlib.contextmanager
    def controlled(self, config: dict[str, Any]) -> Iterator[None]:
        """Run a control instance with a config."""
        with self.control(self._seed) as process:
            replace_config(process.address, config)
            yield

    @contextlib.contextmanager
    def storage(self, **settings: Any) -> Iterator[int]:
        """Run a storage instance; yield its process id.

        Args:
            **settings: Keys of the settings file.
        """
        changes = {'host': build.loopback_host(), **settings}
        with self._role('storage', changes['host'], changes) as pid:
            yield pid

    @contextlib.contextmanager
    def control(self, address: Address, **settings: Any) -> Iterator[Process]:
        """Run a control instance, which is the only one if it is its own seed.

        Args:
            address: Address for operators.
            **settings: Keys of the settings file.
        """
        changes = {
            'seeds': [f'{address.host}:{address.port}'],
            'operators': f'{address.host}:{address.port}',
            **settings,
        }
        with self._role('control', address.host, changes) as pid:
            yield Process(
                pid,
                address,
                lambda: send_request(address, 'GET', '/v1/config/read'),
            )

    @contextlib.contextmanager
    def entry(self, **settings: Any) -> Iterator[Process]:
        """Run an entry; it is ready.

        Args:
            **settings: Keys of the settings file.
        """
        host = build.loopback_host()
        address = Address(host, 8368)
        readiness = Address(host, 8369)
        changes = {
            'callers': f'{host}:{address.port}',
            'readiness': f'{host}:{readiness.port}',
            **settings,
        }
        with self._role('entry', host, changes) as pid:
            _wait_for_ok(lambda: send_request(readiness, 'GET', '/'))
            yield Process(
                pid,
                address,
                lambda: send_request(
                    address,
                    'POST',
                    _ROUTE_PATH,
                    b'ordinary',
                    {'Host': 'example.test', 'X-Attempt-Id': 'ordinary'},
                ),
                readiness,
            )

    @contextlib.contextmanager
    def serve(self, **settings: Any) -> Iterator[Process]:
        """Run an instance of ``acaciaramp serve``; it is ready.

        Args:
            **settings: Keys of the settings file.
        """
        host = build.loopback_host()
        address = Address(host, 8370)
        operators = Address(host, 8372)
        list_host, list_port = self._list_address
        tree = build.document_tree(
            services={'atelier-1': f'http://{list_host}:{list_port}'}
        )
        document = self._write('document', tree)
        settings_path = self._write(
            'serve',
            {
                'instance': 'serve-1',
                'availability_zone': 'medina-nord',
                'callers': {'host': host, 'port': address.port},
                'inner': {'host': host, 'port': 8371},
                'operators': {'host': host, 'port': operators.port},
                'operator_key': key_hash(build.OPERATOR_KEY),
                'links': {'plain': True},
                'document': str(document),
                **settings,
            },
        )
        command = ['-m', 'acaciaramp', 'serve', '--settings', settings_path]
        with self._process(list(map(str, command)), {}) as pid:
            _wait_for_ok(lambda: send_request(address, 'GET', '/readyz'))
            yield Process(
                pid,
                address,
                lambda: send_request(
                    address,
                    'POST',
                    f'/v1/services/{build.TOOL}/form',
                    b'ordinary',
                    {'Authorization': f'Bearer {build.KEY}'},
                ),
                operators=operators,
            )

    @contextlib.contextmanager
    def _role(
        self, role: str, host: str, changes: dict[str, Any]
    ) -> Iterator[int]:
        data = self._folder / f'data-{self._count}'
        data.mkdir(exist_ok=True)
        list_host, list_port = self._list_address
        settings = {
            'instance': f'{role}-{self._count}',
            'role': role,
            'host': host,
            'availability_zone': 'north',
            'region': 'east',
            'regions': {'north': 'east'},
            'inner_port': 7780,
            'seeds': [f'{self._seed.host}:{self._seed.port}'],
            'first_start': True,
            'tolerated_faults': 0,
            'instance_list': {'address': f'{list_host}:{list_port}'},
            'data_folder': str(data),
            **changes,
        }
        path = self._write(role, settings)
        variables = {'ACACIARAMP_NODE_FILE': str(path)}
        with self._process([str(ROOT / 'src/run_role.py')], variables) as pid:
            yield pid

    def _write(self, name: str, tree: dict[str, Any]) -> pathlib.Path:
        self._count += 1
        path = self._folder / f'{name}-{self._count}.json'
        path.write_text(json.dumps(tree), encoding='utf-8')
        return path

    @contextlib.contextmanager
    def _process(
        self, arguments: list[str], variables: dict[str, str]
    ) -> Iterator[int]:
        env = {**os.environ, 'PYTHONPATH': str(ROOT / 'src'), **variables}
        with (self._folder / f'process-{self._count}.log').open('wb') as log:
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, *arguments], env=env, stdout=log, stderr=log
            )
        try:
            yield process.pid
        finally:
            process.kill()
            process.wait()


def replace_config(address: Address, config: dict[str, Any]) -> None:
    """Send a config to a control instance until it is acknowledged."""
    body = json.dumps(config).encode()
    _wait_for_ok(
        lambda: send_request(address, 'POST', '/v1/config/replace', body)
    )


@contextlib.contextmanager
def running_stand_in() -> Iterator[Address]:
    """Run the stand-in endpoint and list; yield its address."""
    host = build.loopback_host()
    with bind_socket(host, 0) as free:
        port = free.getsockname()[1]
    server = http.server.ThreadingHTTPServer((host, port), StandIn)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    with server:
        yield Address(host, port)
        server.shutdown()


def _wait_for_ok(request: Callable[[], Response]) -> None:
    """Repeat a request until it is answered with 200."""
    until_s = time.monotonic() + GUARD_S
    status = 0
    while status != _OK:
        assert time.monotonic() < until_s, 'the process does not become ready'
        time.sleep(_POLL_S)
        with contextlib.suppress(OSError, http.client.HTTPException):
            status = request().status
