"""Control machines that are lost for good or whose disk refuses every write.

The control instances run as processes; operators' calls show what is stored.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

import pytest

from acaciaramp.platform.adapter import SETTINGS_VARIABLE
from acaciaramp.util.webserver import bind_socket

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

SOURCES = pathlib.Path(__file__).parents[2] / 'src'
CALL_TIMEOUT_S = 2
WAIT_S = 30
FIRST = ('127.83.0.1', '127.83.0.2', '127.83.0.3')
REPLACEMENTS = ('127.83.0.4', '127.83.0.5', '127.83.0.6')


def free_port() -> int:
    """Return a port that is free on all loopback addresses."""
    with bind_socket('0.0.0.0', 0) as sock:
        port: int = sock.getsockname()[1]
        return port


def wait_until(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until, 'it did not happen in time'
        time.sleep(0.05)


def config(version: int) -> bytes:
    """Return a config as operators send it."""
    return json.dumps(
        {'version': version, 'routes': [], 'services': [{'name': 'lm'}]}
    ).encode()


class Machines:
    """Control machines, each with an address, a folder and a process.

    Attributes:
        processes: The processes by address.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Create machines that do not run yet."""
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._lines: dict[str, list[bytes]] = {}
        self._folder = folder
        self._inner_port = free_port()
        self._operator_port = free_port()

    def start(self, host: str, seeds: tuple[str, ...], *, first: bool) -> None:
        """Start a machine with an empty disk."""
        folder = self._folder / host
        folder.mkdir()
        settings = {
            'instance': f'core-{host}',
            'role': 'control',
            'host': host,
            'availability_zone': 'north',
            'region': 'east',
            'regions': {'north': 'east'},
            'inner_port': self._inner_port,
            'seeds': [f'{seed}:{self._operator_port}' for seed in seeds],
            'first_start': first,
            'instance_list': {'address': f'{host}:1'},
            'operators': f'{host}:{self._operator_port}',
            'data_folder': str(folder / 'data'),
        }
        path = folder / 'node.jsonc'
        path.write_text(json.dumps(settings), encoding='utf-8')
        environment = os.environ | {
            SETTINGS_VARIABLE: str(path),
            'PYTHONPATH': str(SOURCES),
        }
        # The log passes a pipe, so that a limit on file sizes spares it.
        process = subprocess.Popen(  # noqa: S603
            [sys.executable, str(SOURCES / 'run_role.py')],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self.processes[host] = process
        self._lines[host] = []
        threading.Thread(
            target=self._read_log, args=(process, self._lines[host])
        ).start()

    def lose(self, host: str, signal_number: signal.Signals) -> None:
        """End a machine for good, disk and address included."""
        process = self.processes.pop(host)
        process.send_signal(signal_number)
        assert process.wait(WAIT_S) in {0, -signal_number}

    def log_of(self, host: str) -> list[dict[str, Any]]:
        """Return the lines that a machine has logged so far."""
        lines = []
        for text in list(self._lines[host]):
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(text))
        return lines

    def leader(self) -> str:
        """Return the running machine that won the latest term."""
        terms = {
            max(line['term'], 0): host
            for host in self.processes
            for line in self.log_of(host)
            if 'Leadership was won' in str(line)
        }
        return terms[max(terms)]

    def store(self, host: str, version: int) -> bool:
        """Store a config through a machine; return whether it was confirmed."""
        return self._call(host, 'replace', config(version)) is not None

    def stored_version(self, host: str) -> int:
        """Return the version that a machine reads; 0 if it reads none."""
        body = self._call(host, 'read', None)
        return 0 if body is None else json.loads(body)['version']

    def has_voters(self, hosts: Iterable[str]) -> bool:
        """Return whether a leader has made just these machines voters."""
        wanted = sorted(hosts)
        return any(
            sorted(voter.partition(':')[0] for voter in line['voters'])
            == wanted
            for host in self.processes
            for line in self.log_of(host)
            if 'voters' in line
        )

    def end(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def _read_log(
        self, process: subprocess.Popen[bytes], lines: list[bytes]
    ) -> None:
        assert process.stdout is not None
        with process.stdout:
            for line in process.stdout:
                lines.append(line)  # noqa: PERF402 (seen while it grows)

    def _call(self, host: str, call: str, body: bytes | None) -> bytes | None:
        """Make an operator's call; return the body of a confirmation."""
        url = f'http://{host}:{self._operator_port}/v1/config/{call}'
        req = urllib.request.Request(url, body)
        try:
            with urllib.request.urlopen(  # noqa: S310
                req, timeout=CALL_TIMEOUT_S
            ) as reply:
                content: bytes = reply.read()
                return content
        except (OSError, urllib.error.HTTPError):
            return None


@pytest.fixture
def machines(tmp_path: pathlib.Path) -> Iterator[Machines]:
    """Three control machines with a stored config of version 1."""
    started = Machines(tmp_path)
    try:
        for host in FIRST:
            started.start(host, FIRST, first=True)
        wait_until(lambda: started.store(FIRST[0], 1))
        wait_until(lambda: started.has_voters(FIRST))
        yield started
    finally:
        started.end()


def replace_machine(
    machines: Machines, hosts: list[str], replacement: str, version: int
) -> None:
    """Start an empty machine for one that was lost; store two configs.

    Args:
        machines: The machines.
        hosts: Addresses of those that are left; the replacement is added.
        replacement: The new address.
        version: Version of the first config.
    """
    machines.start(replacement, (*hosts, replacement), first=False)
    hosts.append(replacement)
    wait_until(lambda: machines.store(hosts[0], version))
    wait_until(lambda: machines.has_voters(hosts))
    # Confirmed by the voters that include the replacement.
    wait_until(lambda: machines.store(replacement, version + 1))


@pytest.mark.parametrize('signal_number', [signal.SIGTERM, signal.SIGKILL])
def test_all_control_machines_are_replaced_one_after_the_other(
    machines: Machines, signal_number: signal.Signals
) -> None:
    hosts = list(FIRST)
    version = 0
    for lost, replacement in zip(FIRST, REPLACEMENTS, strict=True):
        machines.lose(lost, signal_number)
        hosts.remove(lost)
        version += 2
        replace_machine(machines, hosts, replacement, version)
    versions = [machines.stored_version(host) for host in REPLACEMENTS]
    assert versions == [version + 1] * len(REPLACEMENTS)


def test_leader_with_a_full_disk_lives_and_takes_part_again(
    machines: Machines,
) -> None:
    leader = machines.leader()
    others = [host for host in FIRST if host != leader]
    process = machines.processes[leader]
    unlimited = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, unlimited[1]))
    wait_until(lambda: machines.store(others[0], 2))
    # The instance that the call reaches needs no disk for it.
    wait_until(lambda: machines.stored_version(leader) == 2)
    assert process.poll() is None
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, unlimited)
    time.sleep(1)
    # Without the disk of the earlier leader there is no majority.
    machines.lose(others[0], signal.SIGKILL)
    wait_until(lambda: machines.store(others[1], 3))
    assert machines.stored_version(leader) == 3
    assert process.poll() is None
