"""Memory of instances under peers whose frames have no end.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests import builders as build
from tests.memory import callers
from tests.memory.processes import (
    Address,
    Fleet,
    Process,
    replace_config,
    running_stand_in,
)
from tests.memory.watch import CONFIG, GROWTH_BYTES, SETTINGS, Watch

if TYPE_CHECKING:
    import pathlib

INNER_PORT = 7780
PEERS = 10
FRAME_BYTES = 20_000_000


def frames() -> list[bytes]:
    """Return frames that stop just short of their end."""
    wire = FRAME_BYTES.to_bytes(4) + (FRAME_BYTES - 1) * b'x'
    return PEERS * [wire]


# Guards against frames that are held though most of them cannot arrive.
@pytest.mark.parametrize('role', ['control', 'storage', 'entry'])
def test_instance_holds_no_more_than_its_share_of_frames(
    tmp_path: pathlib.Path, role: str
) -> None:
    control = Address(build.loopback_host(), 8367)
    store_host = build.loopback_host()
    with (
        running_stand_in() as stand_in,
        Fleet(tmp_path, stand_in).running(CONFIG) as fleet,
        fleet.control(control, **SETTINGS) as spare_control,
        fleet.storage(host=store_host, **SETTINGS) as store_pid,
        fleet.entry(**SETTINGS) as entry,
    ):
        replace_config(control, CONFIG)
        process = {
            'control': spare_control,
            'storage': Process(
                store_pid, Address(store_host, INNER_PORT), entry.request
            ),
            'entry': entry,
        }[role]
        watch = Watch(process, GROWTH_BYTES)
        inner = Address(process.address.host, INNER_PORT)
        with callers.sending(inner, frames()):
            watch.check()
