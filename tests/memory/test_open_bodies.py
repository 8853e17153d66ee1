"""Memory of an entry under many bodies that stop just short of their end.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.memory import callers
from tests.memory.processes import STREAM_PATH
from tests.memory.watch import BODY_BYTES, GROWTH_BYTES, MB, MEMORY_MB, Watch

if TYPE_CHECKING:
    from tests.memory.processes import Fleet, Process

# Each of these bodies counts as a small one.
SMALL_BODY_BYTES = 60_000
SMALL_CHUNK_BYTES = 1_000
MAX_DESCRIPTORS = 1_000
SETTINGS = {'memory_mb': MEMORY_MB, 'max_descriptors': MAX_DESCRIPTORS}
# Descriptors of the smallest machines.
MANY_DESCRIPTORS = 4_100
SMALLEST_MACHINE_MB = 88
# An idle entry takes 40 MB.
SHORT_MEMORY_MB = 52
CROWDS = {
    'large': 40 * [callers.short(BODY_BYTES)],
    'large-chunked': 24 * [callers.chunked(3_932_160, 65_536)],
    'small': 400 * [callers.short(SMALL_BODY_BYTES)],
    'small-chunked': 400
    * [callers.chunked(SMALL_BODY_BYTES, SMALL_CHUNK_BYTES)],
    'few-small': 200 * [callers.short(SMALL_BODY_BYTES)],
    'few-small-chunked': 200
    * [callers.chunked(SMALL_BODY_BYTES, SMALL_CHUNK_BYTES)],
    'expecting': 300
    * [callers.short(SMALL_BODY_BYTES, 'Expect: 100-continue')],
}
SEQUENCE = ['large', 'small', 'large-chunked', 'small-chunked', 'expecting']


def turns() -> list[bytes]:
    """Return callers that send large turns one after the other."""
    return [
        callers.turns(f'open-{number}', 2, BODY_BYTES, f'{STREAM_PATH}1')
        for number in range(10)
    ]


def send_all(process: Process, watch: Watch, names: list[str]) -> None:
    """Let crowds send one after the other; check the process during each."""
    for name in names:
        with callers.sending(process.address, CROWDS[name]):
            watch.check(MAX_DESCRIPTORS)


# Guards against bodies that take more memory than the bytes that are counted.
@pytest.mark.parametrize('name', SEQUENCE)
def test_entry_holds_no_more_than_its_share_of_a_crowd(
    fleet: Fleet, name: str
) -> None:
    with fleet.entry(**SETTINGS) as process:
        send_all(process, Watch(process, GROWTH_BYTES), [name])


# Guards against memory that is not given back when a crowd has gone.
def test_entry_holds_no_more_than_its_share_of_one_crowd_after_another(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        send_all(process, Watch(process, GROWTH_BYTES), 2 * SEQUENCE)


# Guards against a budget that is kept though the idle process takes most of the
# memory.
@pytest.mark.parametrize('name', ['few-small', 'few-small-chunked'])
def test_entry_stays_within_its_memory_though_it_is_short_of_it(
    fleet: Fleet, name: str
) -> None:
    settings = {**SETTINGS, 'memory_mb': SHORT_MEMORY_MB}
    with fleet.entry(**settings) as process:
        send_all(process, Watch(process, GROWTH_BYTES), [name])
        assert process.peak_bytes < SHORT_MEMORY_MB * MB


# Guards against objects of connections and requests that are not counted.
def test_entry_holds_no_more_than_its_share_of_tiny_open_bodies(
    fleet: Fleet,
) -> None:
    settings = {**SETTINGS, 'max_descriptors': MANY_DESCRIPTORS}
    with fleet.entry(**settings) as process:
        watch = Watch(process, GROWTH_BYTES)
        wires = 2_400 * [callers.short(10)]
        with callers.sending(process.address, wires):
            watch.check(MANY_DESCRIPTORS)


# Guards against bounds that hold for one crowd, but not for many of all kinds.
def test_entry_stays_within_the_memory_of_the_smallest_machine(
    fleet: Fleet,
) -> None:
    with fleet.entry(memory_mb=SMALLEST_MACHINE_MB) as process:
        watch = Watch(process, SMALLEST_MACHINE_MB * MB)
        send_all(process, watch, SEQUENCE)
        with callers.sending(process.address, turns()):
            watch.check(MAX_DESCRIPTORS)
        send_all(process, watch, SEQUENCE)
        assert process.peak_bytes < SMALLEST_MACHINE_MB * MB
