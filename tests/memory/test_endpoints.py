"""Memory of an entry whose endpoints send events without end.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
from typing import TYPE_CHECKING

import pytest

from tests.memory import callers
from tests.memory.processes import (
    ENDLESS_PATH,
    Fleet,
    Process,
    running_stand_in,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MB = 1_000_000
# The smallest entry; it may grow by half of its memory.
MEMORY_MB = 128
GROWTH_BYTES = MEMORY_MB * MB // 2
CALLERS = 40
READ_BYTES = 65_536
# Responses go on until the entry ends them, or until this time limit.
TIMEOUT_MS = 2_000
GUARD_S = 60


def route(name: str, prefix: str, kind: str, **fields: object) -> object:
    return {
        'name': name,
        'host': 'example.test',
        'pathPrefix': prefix,
        'routeKind': kind,
        'timeoutMs': TIMEOUT_MS,
        'service': 'endless',
        'public': True,
        **fields,
    }


CONFIG = {
    'version': 1,
    'routes': [
        route('form', '/form', 'non_idempotent', service='form'),
        route('stream', f'{ENDLESS_PATH}stream/', 'streaming'),
        route('whole', f'{ENDLESS_PATH}whole/', 'non_idempotent'),
        route(
            'kept',
            f'{ENDLESS_PATH}kept/',
            'streaming',
            retained=True,
            retentionS=60.0,
        ),
    ],
    'services': [
        {'name': 'form'},
        {'name': 'endless', 'engine': {'chunkTokens': 1}},
    ],
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run what an entry needs, with ``CONFIG`` in force."""
    with running_stand_in() as address:
        folder = tmp_path_factory.mktemp('fleet')
        with Fleet(folder, address).running(CONFIG) as running:
            yield running


def request_and_read(
    entry: Process, target: str, number: int, reading: threading.Event
) -> None:
    """Send a request, wait, then read its response to the end."""
    fields = ('Content-Length: 0', 'Connection: close')
    head = callers.head(*fields, target=f'{target}{number}')
    with (
        contextlib.suppress(OSError),
        socket.create_connection(entry.address, timeout=GUARD_S) as sock,
    ):
        sock.sendall(head.replace(b'Attempt-Id: a', b'Attempt-Id: %d' % number))
        reading.wait()
        received = b'head'
        while received:
            received = sock.recv(READ_BYTES)


# Guards against an entry that keeps what endless responses hold: contents that are
# collected to be stored, what their callers have not read, and whole bodies.
@pytest.mark.parametrize('kind', ['kept', 'stream', 'whole'])
@pytest.mark.parametrize('reads', [True, False], ids=['read', 'unread'])
def test_entry_holds_no_more_than_its_share_of_endless_responses(
    fleet: Fleet, kind: str, *, reads: bool
) -> None:
    with fleet.entry(memory_mb=MEMORY_MB) as entry:
        entry.warm_up()
        idle_bytes = entry.peak_bytes
        reading = threading.Event()
        if reads:
            reading.set()
        threads = [
            threading.Thread(
                target=request_and_read,
                args=(entry, f'{ENDLESS_PATH}{kind}/', number, reading),
            )
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        if not reads:
            threads[0].join(TIMEOUT_MS / 1_000)
            reading.set()
        for started in threads:
            started.join()
        assert entry.is_alive
        status = entry.request().status
        grown = entry.peak_bytes - idle_bytes
        sys.stdout.write(
            f'idle {idle_bytes} B, grown {grown} B, bound {GROWTH_BYTES} B\n'
        )
        assert status == 200
        assert grown < GROWTH_BYTES
