"""A small deployment of the three roles as separate processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import socket
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = {'zone-a': 'north', 'zone-b': 'north', 'zone-c': 'south'}
BOUNDS = {
    'config_apply_ms': 2500,
    'drain_ms': 3000,
    'grace_s': 8,
    'quota_window_s': 5,
    'settle_ms': 1000,
}


class Machine:
    """One machine with one process of the system."""

    def __init__(self, name, role, host, zone, folder):
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.folder = folder
        self.process = None
        self.log = folder / f'{name}.log'
        self.settings = folder / f'{name}.jsonc'
        self.data = folder / f'{name}.data'
        self.first_start = True

    @property
    def is_running(self):
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


class Deployment:
    """Starts and ends the processes; every address is a loopback address."""

    def __init__(self, entries=2, controls=3, storages=3, **settings):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        self._net = f'127.{random.randint(10, 250)}.{random.randint(1, 250)}'
        self._settings = settings
        self._next_host = 10
        self.machines = []
        self._is_closed = False
        self.inner, self.tunnel, self.callers, self.ready, self.operators = (
            _free_ports(f'{self._net}.1', 5)
        )
        self.list_address = (
            f'{self._net}.2',
            _free_ports(f'{self._net}.2', 1)[0],
        )
        zones = list(ZONES)
        for role, count in (
            ('control', controls),
            ('storage', storages),
            ('entry', entries),
        ):
            for number in range(count):
                self.add(role, zones[number % len(zones)])
        with (REPOSITORY / 'deploy/system.toml').open('rb') as file:
            self._roles = tomllib.load(file)['roles']

    def add(self, role, zone):
        """Add a machine; ``start`` starts its process."""
        number = 1 + sum(item.role == role for item in self.machines)
        machine = Machine(
            f'{role}-{number}', role, self.new_host(), zone, self.folder
        )
        self.machines.append(machine)
        return machine

    def new_host(self):
        """Return a loopback address that nothing uses yet."""
        self._next_host += 1
        return f'{self._net}.{self._next_host}'

    def of(self, role):
        """Return the machines of a role."""
        return [item for item in self.machines if item.role == role]

    def caller_address(self, machine):
        """Return where an entry listens for clients."""
        return machine.host, self.callers

    def operator_address(self, machine):
        """Return where a control machine listens for operators."""
        return machine.host, self.operators

    def write_settings(self, machine):
        """Write the settings file, as ``deploy/node.jsonc`` is filled in."""
        cfg = {
            'instance': machine.name,
            'role': machine.role,
            'host': machine.host,
            'availability_zone': machine.zone,
            'region': ZONES[machine.zone],
            'regions': ZONES,
            'inner_port': self.inner,
            'tunnel_port': self.tunnel,
            'seeds': [
                f'{item.host}:{self.operators}' for item in self.of('control')
            ][:3],
            'first_start': machine.first_start,
            'tolerated_faults': 1,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'agent',
                'stream',
                'engine',
                'tenants',
                'quota',
            ],
            'instance_list': {
                'address': ':'.join(map(str, self.list_address)),
                'rate_per_s': 40.0,
            },
            'memory_mb': 300,
            'max_descriptors': 4100,
            'bounds': BOUNDS,
        }
        cfg.update(self._settings)
        if isinstance(cfg['memory_mb'], dict):
            cfg['memory_mb'] = cfg['memory_mb'][machine.role]
        if machine.role == 'entry':
            cfg['callers'] = f'{machine.host}:{self.callers}'
            cfg['readiness'] = f'{machine.host}:{self.ready}'
        if machine.role == 'control':
            cfg['operators'] = f'{machine.host}:{self.operators}'
        if machine.role != 'entry':
            machine.data.mkdir(exist_ok=True)
            cfg['data_folder'] = str(machine.data)
        machine.settings.write_text(json.dumps(cfg, indent=1))

    async def start(self, machine):
        """Start the process with the command of the deploy file."""
        if self._is_closed:
            return
        self.write_settings(machine)
        machine.first_start = False
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['ACACIARAMP_NODE_FILE'] = str(machine.settings)
        env['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with machine.log.open('ab') as log:
            machine.process = await asyncio.create_subprocess_exec(
                *self._roles[machine.role]['run'].split(),
                cwd=REPOSITORY,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if self._is_closed:
            # Closed while the process was being started.
            await self.kill(machine)

    async def start_all(self):
        """Start all machines."""
        for machine in self.machines:
            await self.start(machine)

    async def kill(self, machine):
        """Kill the process with SIGKILL."""
        if machine.is_running:
            machine.process.kill()
        await machine.process.wait()

    async def terminate(self, machine):
        """Stop the process with SIGTERM, or SIGKILL after the grace period."""
        if machine.is_running:
            machine.process.terminate()
        try:
            await asyncio.wait_for(machine.process.wait(), BOUNDS['grace_s'])
        except TimeoutError:
            await self.kill(machine)

    def own_ends(self):
        """Machines whose process has ended though nobody ended it."""
        return [
            item.name
            for item in self.machines
            if item.process is not None and not item.is_running
        ]

    async def close(self, keep=False):
        """Kill all processes and remove the folder."""
        self._is_closed = True
        for machine in self.machines:
            if machine.is_running:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(host, count):
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((host, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = pathlib.Path(path).open('w')  # noqa: SIM115 (open as long as the process)
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, text):
        """Write a line."""
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()
