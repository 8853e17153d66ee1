"""Memory of entries and of their ledger under whole large turns.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

import contextlib
import threading
from typing import TYPE_CHECKING

from tests.memory import callers
from tests.memory.processes import (
    GUARD_S,
    STREAM_PATH,
    Fleet,
    Process,
    running_stand_in,
)
from tests.memory.watch import (
    BODY_BYTES,
    CONFIG,
    GROWTH_BYTES,
    MEMORY_MB,
    SETTINGS,
    Watch,
)

if TYPE_CHECKING:
    import pathlib

CALLERS = 20
TURNS = 4
ENTRIES = 3


def crowd(name: str) -> list[bytes]:
    """Return callers that send large turns one after the other."""
    return [
        callers.turns(f'{name}-{number}', TURNS, BODY_BYTES, f'{STREAM_PATH}1')
        for number in range(CALLERS)
    ]


# Guards against copies of a retained turn that are not counted: its content, the
# encoded command and the frames to the ledger.
def test_entry_holds_no_more_than_its_share_of_large_turns(
    fleet: Fleet,
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(process.address, crowd('one')):
            watch.check()


# Guards against a ledger that holds what all entries send it at once.
def test_ledger_holds_no_more_than_its_share_of_turns_of_several_entries(
    tmp_path: pathlib.Path,
) -> None:
    with contextlib.ExitStack() as stack:
        stand_in = stack.enter_context(running_stand_in())
        fleet = Fleet(tmp_path, stand_in)
        stack.enter_context(fleet.controlled(CONFIG))
        pid = stack.enter_context(fleet.storage(memory_mb=MEMORY_MB))
        entries = [
            stack.enter_context(fleet.entry(**SETTINGS)) for _ in range(ENTRIES)
        ]
        store = Process(pid, entries[0].address, entries[0].request)
        watches = [
            Watch(process, GROWTH_BYTES) for process in (*entries, store)
        ]
        opened = threading.Barrier(ENTRIES + 1)
        checked = threading.Event()

        def send(name: str, entry: Process) -> None:
            with callers.sending(entry.address, crowd(name)):
                opened.wait(GUARD_S)
                checked.wait(GUARD_S)

        threads = [
            threading.Thread(target=send, args=(f'entry-{number}', entry))
            for number, entry in enumerate(entries)
        ]
        for thread in threads:
            thread.start()
        try:
            opened.wait(GUARD_S)
            for watch in watches:
                watch.check()
        finally:
            checked.set()
            for started in threads:
                started.join()
