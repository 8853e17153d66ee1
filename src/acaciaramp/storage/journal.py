"""A file of checksummed records that are only ever added at its end."""

from __future__ import annotations

import os
import struct
import zlib
from typing import TYPE_CHECKING

from anyio import Lock
from anyio.to_thread import run_sync

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    import pathlib

_MAGIC = b'ACRJ'
_HEADER = struct.Struct('>4sIII')


class DamagedError(AcaciarampError):
    """A file is damaged where it had been whole."""


class Journal:
    """Records in one file, open for adding."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file, which must have been read by ``read_journal``."""
        self._file = path.open('ab', buffering=0)
        self._written = 0
        self._synced = 0
        self._lock = Lock()

    def add(self, record: bytes) -> None:
        """Write a record; it lasts once ``sync`` has returned.

        Raises:
            OSError: The disk is full or failed.
        """
        wire = encode_record(record)
        if self._file.write(wire) != len(wire):
            raise OSError('the disk is full')
        self._written += 1

    async def sync(self) -> None:
        """Return once all records written so far last.

        Callers at the same time share one sync of the disk.

        Raises:
            OSError: The disk failed.
        """
        wanted = self._written
        async with self._lock:
            if self._synced >= wanted:
                return
            covered = self._written
            await run_sync(os.fsync, self._file.fileno())
            self._synced = covered

    def sync_now(self) -> None:
        """Make all records last before returning.

        Raises:
            OSError: The disk failed.
        """
        os.fsync(self._file.fileno())
        self._synced = self._written

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def encode_record(record: bytes) -> bytes:
    """Return a record behind its header."""
    size = len(record)
    head = _HEADER.pack(
        _MAGIC, size, zlib.crc32(b'%d' % size), zlib.crc32(record)
    )
    return head + record


def read_journal(path: pathlib.Path) -> list[bytes]:
    """Return all whole records; a torn last one is cut off the file.

    Raises:
        DamagedError: A record is damaged and whole ones follow it.
    """
    if not path.exists():
        return []
    wire = path.read_bytes()
    records = []
    offset = 0
    while offset < len(wire):
        record = record_at(wire, offset)
        if record is None:
            _cut_torn_tail(path, wire, offset)
            break
        records.append(record)
        offset += _HEADER.size + len(record)
    return records


def record_at(wire: bytes, offset: int) -> bytes | None:
    """Return the whole record at an offset, None if there is none."""
    head = wire[offset : offset + _HEADER.size]
    if len(head) < _HEADER.size:
        return None
    magic, size, size_checksum, checksum = _HEADER.unpack(head)
    if magic != _MAGIC or zlib.crc32(b'%d' % size) != size_checksum:
        return None
    start = offset + _HEADER.size
    record = wire[start : start + size]
    is_whole = len(record) == size and zlib.crc32(record) == checksum
    return record if is_whole else None


def _cut_torn_tail(path: pathlib.Path, wire: bytes, offset: int) -> None:
    following = wire.find(_MAGIC, offset + 1)
    while following >= 0:
        if record_at(wire, following) is not None:
            raise DamagedError(
                f'{path}: the record at byte {offset} is damaged and '
                f'whole records follow at byte {following}; '
                'move the file away to let the replica start without memory'
            )
        following = wire.find(_MAGIC, following + 1)
    with path.open('r+b') as torn:
        torn.truncate(offset)
        os.fsync(torn.fileno())
