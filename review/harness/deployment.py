"""Starts a small deployment of the real roles on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any

from harness import http1
from harness.record import Record
from harness.standins import Platform, Worker

if TYPE_CHECKING:
    import signal
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('attica-a', 'macedonia-a', 'attica-b')
REGIONS = {
    'attica-a': 'attica',
    'macedonia-a': 'macedonia',
    'attica-b': 'attica',
}
# Bounds of the small installations' settings.
BOUNDS = {
    'config_apply_ms': 2500,
    'drain_ms': 3000,
    'grace_s': 8,
    'quota_window_s': 5,
    'settle_ms': 1000,
}
HOST = 'ficu95.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
_START_TIMEOUT_S = 25.0
_MOST_S = 110.0


class CannotRunError(Exception):
    """The case could not be played."""


@dataclasses.dataclass
class Machine:
    """A machine with the process of one role.

    Attributes:
        name: Its name.
        role: Role of the process.
        host: Its loopback address.
        settings: Path of the settings file.
        process: The process; None while it is down.
    """

    name: str
    role: str
    host: str
    settings: pathlib.Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """Entries, three controls, three storages, workers and a list of them.

    Attributes:
        folder: Temporary folder of settings, data and logs.
        record: The record of the case.
        workers: The workers by name.
        machines: The machines by name.
    """

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        """Create an empty deployment."""
        self.folder = folder
        self.record = record
        self.workers: dict[str, Worker] = {}
        self.machines: dict[str, Machine] = {}
        self._net = _free_network()
        self._next_host = 10
        self.platform = Platform((self._new_host(), 8362))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._commands = {
            name: role['run'].split() for name, role in deploy['roles'].items()
        }

    def add_machines(self, entries: int = 2) -> None:
        """Add the machines of a small deployment; they do not run yet."""
        controls = [self._new_host() for _ in ZONES]
        seeds = [f'{host}:8367' for host in controls]
        for number, host in enumerate(controls):
            self._add('control', number, host, seeds)
        for number in range(len(ZONES)):
            self._add('storage', number, self._new_host(), seeds)
        for number in range(entries):
            self._add('entry', number, self._new_host(), seeds)

    def add_worker(
        self, name: str, service: str, *, is_streaming: bool
    ) -> Worker:
        """Add a worker, which is listed once ``start`` has been called."""
        zone = ZONES[len(self.workers) % len(ZONES)]
        worker = Worker(
            name,
            service,
            zone,
            (self._new_host(), 8080),
            self.record,
            is_streaming=is_streaming,
        )
        self.workers[name] = worker
        self.platform.workers.append(worker)
        return worker

    async def start(self, config: dict[str, Any]) -> None:
        """Start everything; return once each entry is ready with the config."""
        await self.platform.start()
        for worker in self.workers.values():
            await worker.start()
        for machine in self.machines.values():
            self.start_process(machine)
        await self.confirm_config(config)
        until_s = time.monotonic() + _START_TIMEOUT_S
        while not await self._are_entries_ready():
            await _pause_until(until_s)
        self.record.write('ready', version=config['version'])

    def start_process(self, machine: Machine) -> None:
        """Start the process of a machine with the deploy file's command."""
        names = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in names if name in os.environ}
        env['ACACIARAMP_NODE_FILE'] = str(machine.settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(  # noqa: S603
                self._commands[machine.role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.write('start', machine=machine.name)

    def kill(self, machine: Machine) -> None:
        """Kill the process of a machine."""
        if machine.process is not None:
            machine.process.kill()
            machine.process.wait()
            machine.process = None
            self.record.write('kill', machine=machine.name)

    def send_signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        if machine.process is not None:
            machine.process.send_signal(number)
            self.record.write(
                'signal', machine=machine.name, signal=number.name
            )

    def with_role(self, role: str) -> list[Machine]:
        """Return the machines with a role."""
        return [item for item in self.machines.values() if item.role == role]

    def entry_address(self, number: int) -> tuple[str, int]:
        """Return the address for clients of an entry, counted from 0."""
        return self.with_role('entry')[number].host, 8368

    async def confirm_config(self, config: dict[str, Any]) -> None:
        """Send a config as the operator does until it is confirmed."""
        until_s = time.monotonic() + _START_TIMEOUT_S
        while not await self._send_config(config):
            await _pause_until(until_s)

    async def _send_config(self, config: dict[str, Any]) -> bool:
        """Send a config once; return whether it is confirmed.

        Every control machine is tried once, in random order.
        """
        body = json.dumps(config).encode()
        controls = self.with_role('control')
        for machine in random.sample(controls, len(controls)):
            answer = await http1.request(
                (machine.host, 8367),
                'POST',
                '/v1/config/replace',
                {'Host': machine.host, 'Content-Type': 'application/json'},
                body,
                timeout_s=1.0,
            )
            self.record.write(
                'config',
                machine=machine.name,
                version=config['version'],
                status=answer.status,
                error=answer.error,
            )
            if answer.status == 200:
                return True
            if 400 <= answer.status < 500:
                raise CannotRunError(f'the config is refused: {answer.body!r}')
        return False

    def storage_leader(self) -> Machine:
        """Return the storage machine whose log says that it leads."""
        found: tuple[float, Machine] | None = None
        for machine in self.with_role('storage'):
            log = (self.folder / f'{machine.name}.log').read_text()
            won = [line for line in log.splitlines() if 'was won' in line]
            if won:
                term = json.loads(won[-1])['term']
                if found is None or term > found[0]:
                    found = (term, machine)
        if found is None:
            raise CannotRunError('no storage machine leads')
        return found[1]

    def stop(self) -> None:
        """Kill every process that was started."""
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()

    async def _are_entries_ready(self) -> bool:
        for machine in self.with_role('entry'):
            answer = await http1.request(
                (machine.host, 8369),
                'GET',
                '/v1/readyz',
                {'Host': machine.host},
                timeout_s=1.0,
            )
            if answer.status != 200:
                return False
        return True

    def _new_host(self) -> str:
        self._next_host += 1
        return f'{self._net}.{self._next_host}'

    def _add(self, role: str, number: int, host: str, seeds: list[str]) -> None:
        zone = ZONES[number % len(ZONES)]
        name = f'{role}-{zone}-{number + 1}'
        list_host, list_port = self.platform.address
        settings: dict[str, Any] = {
            'instance': name,
            'role': role,
            'host': host,
            'availability_zone': zone,
            'region': REGIONS[zone],
            'regions': REGIONS,
            'inner_port': 7780,
            'tunnel_port': 7781,
            'metrics_port': 9464,
            'seeds': seeds,
            'first_start': True,
            'tolerated_faults': 1,
            'instance_list': {
                'address': f'{list_host}:{list_port}',
                'rate_per_s': 40,
            },
            'bounds': BOUNDS,
        }
        if role == 'entry':
            settings['callers'] = f'{host}:8368'
            settings['readiness'] = f'{host}:8369'
        else:
            data = self.folder / f'{name}.data'
            data.mkdir()
            settings['data_folder'] = str(data)
        if role == 'control':
            settings['operators'] = f'{host}:8367'
        path = self.folder / f'{name}.jsonc'
        path.write_text(json.dumps(settings))
        self.machines[name] = Machine(name, role, host, path)


def streaming_route(
    name: str, prefix: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route for turns, as in the users' example."""
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': prefix,
        'routeKind': 'streaming',
        'timeoutMs': 3000,
        'sloMs': 300,
        'priority': 0,
        'service': service,
        'maxAttempts': 1,
        'retained': True,
        'retentionS': 60.0,
        'public': False,
        'sticky': True,
        'resumable': False,
        'gapTargetMs': 150,
        **fields,
    }


def engine_service(name: str, chunk_tokens: int = 11) -> dict[str, Any]:
    """Return a service of model workers, as in the users' example."""
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': 150,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': 12,
            'kvCapacity': 160_755,
            'kvTokenBytes': 35_136,
            'linkMbps': 740_000.0,
            'moves': True,
            'backups': True,
            'chunkTokens': chunk_tokens,
            'most': 12,
            'pinMs': 4000.0,
            'holdMs': 2000.0,
            'handle_s': 5.0,
            'models': [{'name': 'm'}],
        },
    }


def make_config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    rate_per_s: float = 400,
) -> dict[str, Any]:
    """Return a config with one tenant, whose key is ``KEY``."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [
            {
                'name': 'hule930',
                'apiKeys': [KEY],
                'priority': 1,
                'ratePerS': rate_per_s,
                'burst': rate_per_s,
            }
        ],
    }


KEY = 'fexd9dnn2ctnfzs989a'


def new_attempt() -> str:
    """Return the id of a new client attempt."""
    return secrets.token_hex(8)


async def wait_for(
    tasks: Sequence[asyncio.Task[None]], longest_s: float
) -> None:
    """Wait for tasks; cancel those that run for longer."""
    done, running = await asyncio.wait(tasks, timeout=longest_s)
    for task in running:
        task.cancel()
    for task in done:
        task.result()


def play(
    folder: pathlib.Path,
    case: Callable[[Deployment, bool], Awaitable[bool]],
) -> int:
    """Play a case and return the exit code of its script.

    Args:
        folder: Folder of the case, which gets the record.
        case: Plays it; gets the deployment and whether there is trouble, and
            returns whether the rule held.
    """
    record = Record(folder / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> bool:
        async with _running(record) as deployment, asyncio.timeout(_MOST_S):
            return await case(deployment, has_trouble)

    try:
        is_held = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as exc:
        record.write('cannot run', reason=repr(exc))
        sys.stderr.write(f'the case could not run: {exc!r}\n')
        return NOT_RUN
    record.write('result', is_held=is_held)
    sys.stdout.write('the rule held\n' if is_held else 'the rule was broken\n')
    return HELD if is_held else BROKEN


@contextlib.asynccontextmanager
async def _running(record: Record) -> AsyncIterator[Deployment]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
    deployment = Deployment(folder, record)
    try:
        yield deployment
    finally:
        deployment.stop()
        if 'KEEP_LOGS' not in os.environ:
            shutil.rmtree(folder, ignore_errors=True)
        else:
            sys.stderr.write(f'logs are in {folder}\n')


async def _pause_until(until_s: float) -> None:
    if time.monotonic() > until_s:
        raise CannotRunError('the deployment did not become ready')
    await asyncio.sleep(0.2)


def _free_network() -> str:
    """Return the first three bytes of a loopback network that is not in use."""
    for _ in range(100):
        net = f'127.{random.randint(40, 250)}.{random.randint(1, 250)}'
        with socket.socket() as sock:
            try:
                sock.bind((f'{net}.12', 8367))
            except OSError:
                continue
            return net
    raise CannotRunError('no loopback network is free')
