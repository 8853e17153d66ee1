"""Append-only journal: a file of checksummed records.

After a power failure each write since the last sync may be complete, missing or
torn, independently of its neighbours. Each record therefore holds how many
bytes of the file were synced before it was written: a damaged record beyond
that offset was never acknowledged and is cut off with all that follows; a
damaged record before it means that the disk has lost synced data.
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
    from collections.abc import Iterator
    from typing import BinaryIO

_MAGIC = b'ACRJ'
# Magic, size of the payload in bytes, CRC-32 of the size and of the number of
# synced bytes, CRC-32 of the payload, number of synced bytes.
_HEADER = struct.Struct('>4sIIIQ')


class CorruptionError(AcaciarampError):
    """Data that had been synced to a file is damaged."""


class Journal:
    """A journal file, open for appending."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open the journal for appending; sync what it holds.

        Records that a previous process wrote without a sync have been read back
        and count from now on, so they must be durable.

        Args:
            path: The file; ``read_journal`` must have truncated its torn tail.

        Raises:
            OSError: The disk has failed.
        """
        self._file = path.open('ab', buffering=0)
        self._written_bytes = self._file.seek(0, os.SEEK_END)
        if self._written_bytes:
            os.fsync(self._file.fileno())
        self._synced_bytes = self._written_bytes
        self._is_closed = False
        self._is_replaced = False
        self._written_records = 0
        self._synced_records = 0
        self._lock = Lock()

    def append(self, record: bytes) -> None:
        """Write a record, which is durable once a later ``sync`` has returned.

        Raises:
            OSError: The disk is full or has failed.
        """
        if self._is_closed:
            raise OSError('the journal is closed')
        encoded = encode_record(record, self._synced_bytes)
        if self._file.write(encoded) != len(encoded):
            raise OSError('the disk is full')
        self._written_records += 1
        self._written_bytes += len(encoded)

    async def sync(self) -> None:
        """Return once all records written so far are durable.

        Concurrent callers share one ``fsync``. A journal that was replaced
        needs none: the durable one in its place covers its records.

        Raises:
            OSError: The disk has failed, or the journal is closed and none has
                replaced it.
        """
        target_records = self._written_records
        async with self._lock:
            if self._synced_records >= target_records or self._is_replaced:
                return
            if self._is_closed:
                raise OSError('the journal is closed')
            synced_records = self._written_records
            synced_bytes = self._written_bytes
            await run_sync(os.fsync, self._file.fileno())
            self._synced_records = synced_records
            self._synced_bytes = synced_bytes
        if self._is_closed:
            self._file.close()

    def sync_blocking(self) -> None:
        """Sync all records, blocking the event loop meanwhile.

        Raises:
            OSError: The disk has failed.
        """
        os.fsync(self._file.fileno())
        self._synced_records = self._written_records
        self._synced_bytes = self._written_bytes

    def mark_replaced(self) -> None:
        """Record that a durable journal has taken the place of this one."""
        self._is_replaced = True

    def close(self) -> None:
        """Close the file; a sync under way closes it at its end."""
        self._is_closed = True
        if not self._lock.locked():
            self._file.close()


def encode_record(record: bytes, synced_bytes: int = 0) -> bytes:
    """Return a record with its header.

    Args:
        record: The payload of the record.
        synced_bytes: Number of bytes at the start of the file that were synced
            before this record was written.
    """
    return encode_header(record, synced_bytes=synced_bytes) + record


def encode_header(*parts: bytes, synced_bytes: int = 0) -> bytes:
    """Return the header of a record.

    Args:
        *parts: The payload of the record, in parts.
        synced_bytes: Number of bytes at the start of the file that were synced
            before this record was written.
    """
    size = sum(map(len, parts))
    checksum = 0
    for part in parts:
        checksum = zlib.crc32(part, checksum)
    header_checksum = zlib.crc32(b'%d %d' % (size, synced_bytes))
    return _HEADER.pack(_MAGIC, size, header_checksum, checksum, synced_bytes)


def read_journal(path: pathlib.Path) -> Iterator[bytes]:
    """Yield all records; truncate the file at an unsynced damaged one.

    One record is in memory at a time.

    Raises:
        CorruptionError: A damaged record had been synced.
    """
    if not path.exists():
        return
    end = path.stat().st_size
    offset = 0
    with path.open('rb') as file:
        while offset < end:
            record = _read_record(file)
            if record is None:
                break
            yield record
            offset += _HEADER.size + len(record)
    if offset < end:
        _truncate_torn_tail(path, offset)


def _read_record(file: BinaryIO) -> bytes | None:
    """Return the next record of a journal, None if it is damaged."""
    header = file.read(_HEADER.size)
    size = _size_of(header)
    if size is None:
        return None
    return record_at(header + file.read(size), 0)


def record_at(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the intact record at an offset, None if damaged.

    Args:
        content: Content of the file.
        offset: Where the header of the record starts, bytes.
    """
    header = content[offset : offset + _HEADER.size]
    size = _size_of(header)
    if size is None:
        return None
    checksum = _HEADER.unpack(header)[3]
    start = offset + _HEADER.size
    record = content[start : start + size]
    is_intact = len(record) == size and zlib.crc32(record) == checksum
    return record if is_intact else None


def _size_of(header: bytes) -> int | None:
    """Return the size of the record that a header announces, None if damaged."""
    if len(header) < _HEADER.size:
        return None
    magic, size, header_checksum, _, synced_bytes = _HEADER.unpack(header)
    expected = zlib.crc32(b'%d %d' % (size, synced_bytes))
    if magic != _MAGIC or header_checksum != expected:
        return None
    return int(size)


def _truncate_torn_tail(path: pathlib.Path, offset: int) -> None:
    """Truncate the file at a damaged record that was never synced.

    Raises:
        CorruptionError: The damaged record had been synced: a later intact
            record counts it among the synced bytes.
    """
    with path.open('rb') as file:
        file.seek(offset)
        tail = file.read()
    following = tail.find(_MAGIC, 1)
    while following >= 0:
        is_intact = record_at(tail, following) is not None
        if is_intact and _synced_bytes_at(tail, following) > offset:
            raise CorruptionError(
                f'{path}: the record at byte {offset} is damaged, although it '
                f'had been synced before the one at byte {offset + following} '
                'was written; move the file away to let the replica start with '
                'empty state'
            )
        following = tail.find(_MAGIC, following + 1)
    with path.open('r+b') as torn:
        torn.truncate(offset)
        os.fsync(torn.fileno())


def _synced_bytes_at(content: bytes, offset: int) -> int:
    header = content[offset : offset + _HEADER.size]
    synced_bytes: int = _HEADER.unpack(header)[-1]
    return synced_bytes
