"""Memory of storage instances under long turns that are retained.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

import itertools
import sys
import time
from typing import TYPE_CHECKING

import pytest

from tests import builders as build
from tests.memory.processes import (
    GUARD_S,
    STREAM_PATH,
    Fleet,
    Process,
    Response,
    running_stand_in,
    send_request,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

MB = 1_000_000
# Less than half of the smallest storage machine, so that few turns show the
# fault; a process may grow by half of its memory.
MEMORY_MB = 64
LARGE_MEMORY_MB = 2_048
RESTART_MEMORY_MB = 128
LONG_TURN_BYTES = 600_000
# Their contents are more than half of the larger memory once they are held twice.
LONG_TURNS = 60
SHORT_TURN = b'ordinary'
RETENTION_S = 600.0
LONG_MS = 120_000
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'chat',
            'host': 'example.test',
            'pathPrefix': STREAM_PATH,
            'routeKind': 'streaming',
            'timeoutMs': LONG_MS,
            'service': 'form',
            'public': True,
            'retained': True,
            'retentionS': RETENTION_S,
        }
    ],
    'services': [{'name': 'form', 'engine': {'chunkTokens': 1}}],
}
_numbers = itertools.count()


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Run a control instance with ``CONFIG`` in force."""
    with running_stand_in() as address:
        running = Fleet(tmp_path, address)
        with running.controlled(CONFIG):
            yield running


class Conversations:
    """Sends turns of programs through an entry.

    Attributes:
        last: Id of the last turn that was answered; None before the first.
    """

    def __init__(self, entry: Process) -> None:
        """Create it without turns."""
        self.last: str | None = None
        self._entry = entry

    def begin(self, content: bytes) -> Response:
        """Send the first turn of a new program."""
        return self._send(content, {})

    def go_on(self, content: bytes) -> Response:
        """Send a turn that continues the last one."""
        assert self.last is not None
        return self._send(content, {'X-Previous-Turn': self.last})

    def begin_until_answered(self) -> None:
        """Send ordinary turns until one is answered."""
        until_s = time.monotonic() + GUARD_S
        while self.begin(SHORT_TURN).status != 200:
            assert time.monotonic() < until_s, 'no turn is answered'
            time.sleep(0.1)

    def _send(self, content: bytes, headers: dict[str, str]) -> Response:
        attempt = f'turn-{next(_numbers)}'
        sent = {
            'Host': 'example.test',
            'X-Attempt-Id': attempt,
            'X-Program-Id': f'program-{attempt}',
            'X-Token-Budget': '100',
            'X-Token-Counts': '1,1',
            **headers,
        }
        response = send_request(
            self._entry.address, 'POST', f'{STREAM_PATH}1', content, sent
        )
        if response.status == 200:
            self.last = attempt
        return response


def check_growth(store: Process, idle_bytes: int, most_bytes: int) -> None:
    """Check that a process lives and has not grown by more than a bound."""
    assert store.is_alive
    grown = store.peak_bytes - idle_bytes
    sys.stdout.write(
        f'idle {idle_bytes} B, grown {grown} B, bound {most_bytes} B\n'
    )
    assert grown < most_bytes


def as_process(pid: int, entry: Process) -> Process:
    """Return a storage instance as a process whose memory can be read."""
    return Process(pid, entry.address, entry.request)


# Guards against stores that keep every retained turn, whatever memory they have.
def test_store_holds_no_more_than_its_share_of_long_turns(
    fleet: Fleet,
) -> None:
    with (
        fleet.storage(memory_mb=MEMORY_MB) as pid,
        fleet.entry() as entry,
    ):
        store = as_process(pid, entry)
        turns = Conversations(entry)
        turns.begin_until_answered()
        idle_bytes = store.peak_bytes
        for _ in range(LONG_TURNS):
            turns.begin(LONG_TURN_BYTES * b'x')
        assert turns.begin(SHORT_TURN).status == 200
        assert turns.go_on(SHORT_TURN).status == 200
        check_growth(store, idle_bytes, MEMORY_MB * MB // 2)


# Guards against stores that end again and again as they read their disks.
def test_store_starts_with_more_on_its_disk_than_it_would_take(
    fleet: Fleet, tmp_path: pathlib.Path
) -> None:
    host = build.loopback_host()
    folder = str(tmp_path / 'store')
    with fleet.entry() as entry:
        turns = Conversations(entry)
        with fleet.storage(
            host=host, data_folder=folder, memory_mb=LARGE_MEMORY_MB
        ) as pid:
            turns.begin_until_answered()
            idle_bytes = as_process(pid, entry).peak_bytes
            for _ in range(LONG_TURNS):
                assert turns.begin(LONG_TURN_BYTES * b'x').status == 200
        with fleet.storage(
            host=host, data_folder=folder, memory_mb=RESTART_MEMORY_MB
        ) as pid:
            turns.begin_until_answered()
            assert turns.go_on(SHORT_TURN).status == 200
            store = as_process(pid, entry)
            check_growth(store, idle_bytes, RESTART_MEMORY_MB * MB // 2)
