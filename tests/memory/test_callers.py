"""Memory and descriptors of the processes under uncontrolled callers.

The tests check no times and no share of served requests, so that they do not
depend on the speed of the machine. ``scripts/test.sh`` runs them after all other
tests and one at a time.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import pytest

from tests import builders as build
from tests.memory import callers
from tests.memory.processes import (
    Address,
    Fleet,
    Process,
    replace_config,
    running_stand_in,
    send_request,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

MB = 1_000_000
KIB = 1_024
# Half of the memory of the smallest machine, an entry with 128 MB, so that few
# callers show the fault.
MEMORY_MB = 64
# Half of it again: an idle process takes 45 MB of 128 MB, and what it holds for
# callers at most half of them.
GROWTH_BYTES = MEMORY_MB * MB // 2
# For bodies in chunks of one byte, which take a second for each MiB.
SMALL_MEMORY_MB = 16
SMALL_GROWTH_BYTES = SMALL_MEMORY_MB * MB // 2
# ``acaciaramp serve`` runs with its default, that of an entry of 128 MB.
SERVE_GROWTH_BYTES = 64 * MB
MAX_DESCRIPTORS = 150
SETTINGS = {'memory_mb': MEMORY_MB, 'max_descriptors': MAX_DESCRIPTORS}
SMALL_SETTINGS = {**SETTINGS, 'memory_mb': SMALL_MEMORY_MB}
BODY_BYTES = 4_194_304
SHORT_OF_IT = 3_932_160
CHUNK = 65_536
END = b'0\r\n\r\n'
# Longer than any test, so that what is left open stays open unless the process
# closes it to keep within its memory.
LONG_MS = 120_000
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'form',
            'host': 'example.test',
            'pathPrefix': '/form',
            'routeKind': 'non_idempotent',
            'timeoutMs': LONG_MS,
            'service': 'form',
            'public': True,
        }
    ],
    'services': [{'name': 'form'}],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': BODY_BYTES,
        'headerTimeoutMs': LONG_MS,
        'idleTimeoutMs': LONG_MS,
    },
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Run what an entry needs, with ``CONFIG`` in force."""
    with running_stand_in() as address:
        folder = tmp_path_factory.mktemp('fleet')
        with Fleet(folder, address).running(CONFIG) as running:
            yield running


class Watch:
    """Checks a process against its bounds."""

    def __init__(self, process: Process, growth_bytes: int) -> None:
        """Warm the process up and read its memory while it is idle."""
        self._process = process
        self._growth_bytes = growth_bytes
        process.warm_up()
        self._idle_bytes = process.peak_bytes

    def check(self, max_descriptors: int = MAX_DESCRIPTORS) -> None:
        """Check the process while callers keep their connections open."""
        process = self._process
        assert process.is_alive
        status = process.request().status
        # The largest memory is read last, so that it includes what came until
        # the ordinary request was answered.
        descriptors = process.descriptors
        grown = process.peak_bytes - self._idle_bytes
        sys.stdout.write(
            f'idle {self._idle_bytes} B, grown {grown} B, bound '
            f'{self._growth_bytes} B; {descriptors} descriptors\n'
        )
        assert status == 200
        assert grown < self._growth_bytes
        assert descriptors < max_descriptors


def large_chunks(*fields: str, target: str = '/form') -> list[bytes]:
    """Return 24 bodies that stop just short of the limit on bodies."""
    return 24 * [callers.chunked(SHORT_OF_IT, CHUNK, *fields, target=target)]


# Guards against bodies that are held whole without a bound on all of them.
def test_entry_holds_no_more_than_its_share_of_open_bodies(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(process.address, large_chunks()) as open_callers:
            for caller in open_callers[::6]:
                caller.send(END)
            watch.check()


# Guards against bodies in tiny chunks that take more memory than their bytes.
def test_entry_holds_no_more_than_its_share_of_tiny_chunks(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SMALL_SETTINGS) as process:
        watch = Watch(process, SMALL_GROWTH_BYTES)
        wires = 12 * [callers.chunked(983_040, 1)]
        with callers.sending(process.address, wires) as open_callers:
            for caller in open_callers[::6]:
                caller.send(END)
            watch.check()


# Guards against memory for what is thrown away of bodies over the limit.
def test_entry_holds_no_more_than_its_share_of_oversized_bodies(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        size = 2 * BODY_BYTES
        wires = [
            *(10 * [callers.sized(size)]),
            *(10 * [callers.chunked(size, CHUNK)]),
        ]
        with callers.sending(process.address, wires):
            watch.check()


# Guards against a state for each of the requests that one read contains.
def test_entry_holds_no_more_than_its_share_of_pipelined_requests(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        wires = 4 * [callers.pipelined(15_000)]
        with callers.sending(process.address, wires):
            watch.check()


# Guards against heads whose fields take more memory than their bytes, and
# against connections that take the descriptors for endpoints and peers.
def test_entry_holds_no_more_than_its_share_of_incomplete_headers(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        wires = 300 * [callers.incomplete_head(15_000)]
        with callers.sending(process.address, wires):
            watch.check()


# Guards against bounds that refuse what a config allows.
def test_entry_serves_a_single_request_of_the_largest_size(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        response = send_request(
            process.address,
            'POST',
            '/form',
            BODY_BYTES * b'x',
            {'Host': 'example.test', 'X-Attempt-Id': 'large'},
        )
    assert response == (200, str(BODY_BYTES).encode())


@pytest.mark.parametrize(
    'wires',
    [
        pytest.param(
            5 * [callers.chunked(15 * BODY_BYTES // 4, CHUNK)], id='bodies'
        ),
        pytest.param(4 * [callers.pipelined(15_000)], id='pipelined'),
        pytest.param(300 * [callers.incomplete_head(15_000)], id='headers'),
    ],
)
def test_control_instance_holds_no_more_than_its_share(
    fleet: Fleet, wires: list[bytes]
) -> None:
    address = Address(build.loopback_host(), 8367)
    settings: dict[str, Any] = SETTINGS
    with fleet.control(address, **settings) as process:
        replace_config(address, CONFIG)
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(address, wires):
            watch.check()


@pytest.mark.parametrize(
    'wires',
    [
        pytest.param(
            large_chunks(
                f'Authorization: Bearer {build.KEY}',
                target=f'/v1/services/{build.TOOL}/form',
            ),
            id='bodies',
        ),
        pytest.param(4 * [callers.pipelined(15_000)], id='pipelined'),
        pytest.param(600 * [callers.incomplete_head(15_000)], id='headers'),
    ],
)
def test_serve_holds_no_more_than_its_share(
    fleet: Fleet, wires: list[bytes]
) -> None:
    with fleet.serve() as process:
        watch = Watch(process, SERVE_GROWTH_BYTES)
        with callers.sending(process.address, wires):
            watch.check(max_descriptors=1_000)
