"""Memory and descriptors of the processes under uncontrolled callers.

The tests check no times and no share of served requests, so that they do not
depend on the speed of the machine. ``scripts/test.sh`` runs them after all other
tests and one at a time.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import pytest

from tests import builders as build
from tests.memory import callers
from tests.memory.processes import (
    GUARD_S,
    Address,
    replace_config,
    send_request,
)
from tests.memory.watch import (
    BODY_BYTES,
    CONFIG,
    GROWTH_BYTES,
    MB,
    SERVE_GROWTH_BYTES,
    SETTINGS,
    Watch,
)

if TYPE_CHECKING:
    from tests.memory.processes import Fleet

# For bodies in chunks of one byte, which take a second for each MiB.
SMALL_MEMORY_MB = 16
SMALL_GROWTH_BYTES = SMALL_MEMORY_MB * MB // 2
SMALL_SETTINGS = {**SETTINGS, 'memory_mb': SMALL_MEMORY_MB}
SHORT_OF_IT = 3_932_160
CHUNK = 65_536
END = b'0\r\n\r\n'


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


# Guards against calls that are recorded with their bodies without a bound on all
# of them.
def test_serve_holds_no_more_than_its_share_of_whole_bodies(
    fleet: Fleet,
) -> None:
    wire = callers.sized(
        BODY_BYTES,
        f'Authorization: Bearer {build.KEY}',
        target=f'/v1/services/{build.TOOL}/form',
    )
    with fleet.serve() as process:
        watch = Watch(process, SERVE_GROWTH_BYTES)
        with callers.sending(process.address, 40 * [3 * wire]):
            watch.check(max_descriptors=1_000)


# Guards against a head that is collected up to the share of a connection, whose
# parser copies it with each part that arrives.
def test_serve_rejects_heads_without_end_from_operators(fleet: Fleet) -> None:
    wires = 10 * [callers.endless_head(8_000_000)]
    with fleet.serve() as process:
        assert process.operators is not None
        watch = Watch(process, SERVE_GROWTH_BYTES)
        with socket.create_connection(process.operators, GUARD_S) as sock:
            sock.sendall(callers.endless_head(100_000))
            assert sock.recv(CHUNK).startswith(b'HTTP/1.1 431 ')
        with callers.sending(process.operators, wires):
            watch.check(max_descriptors=1_000)
