"""A control instance starts again from what it has stored."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import RateCheckpoint
from acaciaramp.coordination.state_machine import ControlState
from acaciaramp.platform.adapter import ADAPTER
from acaciaramp.replication.members import Members
from acaciaramp.replication.messages import Snapshot
from acaciaramp.roles.common import RoleContext
from acaciaramp.roles.control import ControlRole
from acaciaramp.settings.node import SettingsFile
from acaciaramp.storage.store import DiskStore

if TYPE_CHECKING:
    import pathlib

    from anyio.abc import TaskGroup


def make_context(folder: pathlib.Path, tasks: TaskGroup) -> RoleContext:
    path = folder / 'node.jsonc'
    settings = {
        'instance': 'core-1',
        'role': 'control',
        'host': '127.0.0.1',
        'availability_zone': 'north',
        'region': 'east',
        'regions': {'north': 'east'},
        'inner_port': 7_000,
        'seeds': ['127.0.0.1:8000'],
        'instance_list': {'address': '127.0.0.9:8000'},
        'operators': '127.0.0.1:8001',
        'data_folder': str(folder),
    }
    path.write_text(json.dumps(settings), encoding='utf-8')
    return RoleContext(SettingsFile(str(path)), ManualClock(), tasks)


def test_control_instance_starts_from_a_snapshot(
    tmp_path: pathlib.Path,
) -> None:
    state = ControlState(
        version=7, body=b'{}', rates={'w': RateCheckpoint(1, (2, 0))}
    )
    store = DiskStore(tmp_path / 'control')
    snapshot = Snapshot(3_000, 4, Members(()), msgspec.msgpack.encode(state))
    store.save_snapshot(snapshot, [])

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            assert ControlRole(make_context(tmp_path, tasks), ADAPTER)

    anyio.run(scenario)
