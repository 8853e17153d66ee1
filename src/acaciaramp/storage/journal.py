"""A file of checksummed records that are only ever added at its end.

After a loss of power each write behind the last sync may be there, missing or
torn, whatever became of those around it. Each record therefore tells how much
of the file was synced before it was written: damage beyond that is a tail that
nobody relied on, damage before it is the disk's.
"""

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
_HEADER = struct.Struct('>4sIIIQ')


class CorruptionError(AcaciarampError):
    """A file is damaged where it had been whole."""


class Journal:
    """Records in one file, open for adding."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file, which must have been read by ``read_journal``."""
        self._file = path.open('ab', buffering=0)
        self._bytes = self._file.seek(0, os.SEEK_END)
        self._synced_bytes = 0
        self._is_closed = False
        self._written = 0
        self._synced = 0
        self._lock = Lock()

    def add(self, record: bytes) -> None:
        """Write a record; it lasts once ``sync`` has returned.

        Raises:
            OSError: The disk is full or failed.
        """
        wire = encode_record(record, self._synced_bytes)
        if self._file.write(wire) != len(wire):
            raise OSError('the disk is full')
        self._written += 1
        self._bytes += len(wire)

    async def sync(self) -> None:
        """Return once all records written so far last.

        Callers at the same time share one sync of the disk. A journal that
        was closed has been replaced by one that holds its records and lasts.

        Raises:
            OSError: The disk failed.
        """
        wanted = self._written
        async with self._lock:
            if self._synced >= wanted or self._is_closed:
                return
            covered = self._written
            covered_bytes = self._bytes
            await run_sync(os.fsync, self._file.fileno())
            self._synced = covered
            self._synced_bytes = covered_bytes
        if self._is_closed:
            self._file.close()

    def sync_now(self) -> None:
        """Make all records last before returning.

        Raises:
            OSError: The disk failed.
        """
        os.fsync(self._file.fileno())
        self._synced = self._written
        self._synced_bytes = self._bytes

    def close(self) -> None:
        """Close the file, or let the sync under way do so at its end."""
        self._is_closed = True
        if not self._lock.locked():
            self._file.close()


def encode_record(record: bytes, synced_bytes: int = 0) -> bytes:
    """Return a record behind its header.

    Args:
        record: The record.
        synced_bytes: How much of the file lasted before it was written.
    """
    size = len(record)
    head_checksum = zlib.crc32(b'%d %d' % (size, synced_bytes))
    head = _HEADER.pack(
        _MAGIC, size, head_checksum, zlib.crc32(record), synced_bytes
    )
    return head + record


def read_journal(path: pathlib.Path) -> list[bytes]:
    """Return all whole records; a tail that was never synced is cut off.

    Raises:
        CorruptionError: A record is damaged that had been synced.
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
    magic, size, head_checksum, checksum, synced = _HEADER.unpack(head)
    if (
        magic != _MAGIC
        or zlib.crc32(b'%d %d' % (size, synced)) != head_checksum
    ):
        return None
    start = offset + _HEADER.size
    record = wire[start : start + size]
    is_whole = len(record) == size and zlib.crc32(record) == checksum
    return record if is_whole else None


def _cut_torn_tail(path: pathlib.Path, wire: bytes, offset: int) -> None:
    following = wire.find(_MAGIC, offset + 1)
    while following >= 0:
        is_whole = record_at(wire, following) is not None
        if is_whole and _synced_bytes_at(wire, following) > offset:
            raise CorruptionError(
                f'{path}: the record at byte {offset} is damaged though it '
                f'was synced before the one at byte {following}; '
                'move the file away to let the replica start without memory'
            )
        following = wire.find(_MAGIC, following + 1)
    with path.open('r+b') as torn:
        torn.truncate(offset)
        os.fsync(torn.fileno())


def _synced_bytes_at(wire: bytes, offset: int) -> int:
    head = wire[offset : offset + _HEADER.size]
    synced: int = _HEADER.unpack(head)[-1]
    return synced
