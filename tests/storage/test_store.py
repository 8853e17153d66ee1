"""What was synced comes back; torn tails are cut, damage is refused."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Members
from acaciaramp.replication.messages import Entry, EntryKind, Snapshot
from acaciaramp.replication.store import Vote
from acaciaramp.storage.files import read_file, replace_file
from acaciaramp.storage.journal import DamagedError
from acaciaramp.storage.store import DiskStore

if TYPE_CHECKING:
    import pathlib


def entries(*payloads: bytes) -> list[Entry]:
    return [Entry(1, EntryKind.COMMAND, payload) for payload in payloads]


def filled(folder: pathlib.Path) -> DiskStore:
    store = DiskStore(folder)
    store.save_vote(Vote(3, InstanceId('a')))
    store.append(1, entries(b'1', b'2', b'3'))
    store.append(3, entries(b'x', b'y'))
    anyio.run(store.sync)
    return store


def test_vote_and_entries_come_back(tmp_path: pathlib.Path) -> None:
    first = filled(tmp_path)
    again = DiskStore(tmp_path)
    stored = again.load()
    assert again.incarnation == first.incarnation
    assert stored.vote == Vote(3, InstanceId('a'))
    assert stored.entries == entries(b'1', b'2', b'x', b'y')


def test_snapshot_takes_the_place_of_entries(tmp_path: pathlib.Path) -> None:
    store = filled(tmp_path)
    snapshot = Snapshot(3, 1, Members(()), b'state')
    store.save_snapshot(snapshot, entries(b'y'))
    store.append(5, entries(b'z'))
    anyio.run(store.sync)
    stored = DiskStore(tmp_path).load()
    assert stored.snapshot == snapshot
    assert stored.entries == entries(b'y', b'z')
    assert stored.vote.term == 3


def test_crash_between_snapshot_and_journal(tmp_path: pathlib.Path) -> None:
    filled(tmp_path)
    journal = (tmp_path / 'journal').read_bytes()
    store = DiskStore(tmp_path)
    store.save_snapshot(Snapshot(3, 1, Members(())), entries(b'y'))
    (tmp_path / 'journal').write_bytes(journal)
    assert DiskStore(tmp_path).load().entries == entries(b'y')


def test_any_torn_tail_is_cut(tmp_path: pathlib.Path) -> None:
    filled(tmp_path)
    path = tmp_path / 'journal'
    whole = path.read_bytes()
    last = whole.rindex(b'ACRJ')
    for size in range(last + 1, len(whole)):
        path.write_bytes(whole[:size])
        stored = DiskStore(tmp_path).load()
        assert stored.entries == entries(b'1', b'2', b'3')
        assert path.stat().st_size == last


def test_damage_in_the_middle_is_refused(tmp_path: pathlib.Path) -> None:
    filled(tmp_path)
    path = tmp_path / 'journal'
    whole = bytearray(path.read_bytes())
    whole[20] ^= 1
    path.write_bytes(whole)
    with pytest.raises(DamagedError, match='byte 0 is damaged'):
        DiskStore(tmp_path)


def test_damaged_snapshot_is_refused(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'snapshot'
    replace_file(path, b'state')
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(DamagedError):
        read_file(path)


def test_syncs_at_the_same_time_are_shared(tmp_path: pathlib.Path) -> None:
    async def scenario(store: DiskStore) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(1, 20):
                store.append(number, entries(b'%d' % number))
                tasks.start_soon(store.sync)

    anyio.run(functools.partial(scenario, DiskStore(tmp_path)))
    assert len(DiskStore(tmp_path).load().entries) == 19
