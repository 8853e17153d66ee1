"""Stable storage of a replica in one folder."""

from __future__ import annotations

import secrets
import struct
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.replication.messages import Entry, Snapshot
from acaciaramp.replication.store import StoredState, Vote
from acaciaramp.storage.files import read_file, replace_file, sync_folder
from acaciaramp.storage.journal import CorruptionError, Journal, read_journal

if TYPE_CHECKING:
    import pathlib

_INCARNATION_BYTES = 8
# About as large as a full batch of entries, the usual upper bound of a single
# write to the journal.
_PROBE_BYTES = 65_536
# Headers of a MessagePack byte string with a size of 32 bits, and of an empty one.
_BYTES_HEADER = struct.Struct('>BI')
_BYTES_TYPE = 0xC6
_EMPTY_BYTES = b'\xc4\x00'
_encode = msgspec.msgpack.Encoder().encode


class EntriesRecord(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Journal record of entries, which replace all from an index on.

    Attributes:
        first: Index of the first entry.
        entries: The entries.
    """

    first: int
    entries: list[Entry]


class VoteRecord(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Journal record of a vote, which replaces the previous one.

    Attributes:
        vote: Term and vote.
    """

    vote: Vote


_record_decoder = msgspec.msgpack.Decoder(EntriesRecord | VoteRecord)


class DiskStore:
    """Stores vote and entries in a journal and the snapshot in its own file.

    Attributes:
        folder: Folder of the files.
        incarnation: Random text, created with the folder and stored in it;
            another one means that the folder was lost.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Open or create the folder and load its state.

        Args:
            folder: Folder of the files.

        Raises:
            OSError: The folder cannot be created, read or written.
            CorruptionError: Synced data of a file is damaged.
        """
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        self.folder = folder
        self._is_closed = False
        self.incarnation = self._load_incarnation()
        self._vote = Vote()
        self._stored: StoredState | None = self._recover()
        self._journal = Journal(self._journal_path)

    def load(self) -> StoredState:
        """Return the state as it was when the store was opened.

        The store does not keep it: it may be large.
        """
        stored = self._stored or self._recover()
        self._stored = None
        return stored

    def save_vote(self, vote: Vote) -> None:
        """Write a vote, which replaces the previous one."""
        self._vote = vote
        self._journal.append(_encode(VoteRecord(vote)))

    def append(self, first: int, entries: list[Entry]) -> None:
        """Write entries, which replace all entries from ``first`` on."""
        self._journal.append(_encode(EntriesRecord(first, entries)))

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Replace the stored snapshot and start a new journal.

        This blocks the event loop until both are durable.

        Args:
            snapshot: The new snapshot.
            entries: The entries after it.

        Raises:
            OSError: The disk is full or has failed, or the store is closed.
        """
        if self._is_closed:
            raise OSError('the store is closed')
        replace_file(self._snapshot_path, *_encode_snapshot(snapshot))
        self._start_journal(snapshot.index + 1, entries)

    async def sync(self) -> None:
        """Return once all previous writes are durable.

        Raises:
            OSError: The disk has failed; nothing more may be acknowledged.
        """
        await self._journal.sync()

    def is_writable(self) -> bool:
        """Return whether a test write to the disk succeeds."""
        try:
            replace_file(self.folder / 'probe', bytes(_PROBE_BYTES))
        except OSError:
            return False
        return True

    def reopen(self) -> DiskStore:
        """Return the store as a new process would open it after a failure.

        The journal is written anew: after a failed sync the system may count
        pages as clean that never reached the disk.

        Raises:
            OSError: The disk has failed again.
            CorruptionError: The folder was replaced, or synced data is damaged.
        """
        self.close()
        store = type(self)(self.folder)
        if store.incarnation != self.incarnation:
            raise CorruptionError(f'{self.folder}: the folder was replaced')
        stored = store.load()
        store._stored = stored
        snapshot_index = stored.snapshot.index if stored.snapshot else 0
        store._start_journal(snapshot_index + 1, stored.entries)
        return store

    def close(self) -> None:
        """Take no more writes; close the journal."""
        self._is_closed = True
        self._journal.close()

    def _start_journal(self, first: int, entries: list[Entry]) -> None:
        """Replace the journal by one with the vote and the given entries."""
        new_path = self._journal_path.with_suffix('.new')
        new_path.unlink(missing_ok=True)
        journal = Journal(new_path)
        try:
            journal.append(_encode(VoteRecord(self._vote)))
            journal.append(_encode(EntriesRecord(first, entries)))
            journal.sync_blocking()
        except OSError:
            journal.close()
            raise
        self._replace_journal(journal, new_path)

    def _replace_journal(self, journal: Journal, path: pathlib.Path) -> None:
        """Continue in a new journal that holds what the old one is needed for.

        If its name cannot be made durable, nothing more can be written.
        """
        self._journal.close()
        path.replace(self._journal_path)
        # Later entries go to the new file, so its name must be durable first.
        sync_folder(self.folder)
        self._journal.mark_replaced()
        self._journal = journal

    def _recover(self) -> StoredState:
        snapshot = self._read_snapshot()
        snapshot_index = snapshot.index if snapshot else 0
        entries: list[Entry] = []
        for record in read_journal(self._journal_path):
            entries = self._replay(
                _record_decoder.decode(record), snapshot_index, entries
            )
        return StoredState(self._vote, snapshot, entries)

    def _read_snapshot(self) -> Snapshot | None:
        encoded = read_file(self._snapshot_path)
        if encoded is None:
            return None
        return msgspec.msgpack.decode(encoded, type=Snapshot)

    def _replay(
        self,
        record: EntriesRecord | VoteRecord,
        snapshot_index: int,
        entries: list[Entry],
    ) -> list[Entry]:
        """Apply one record of the journal and return the entries after it.

        Entries up to ``snapshot_index`` are dropped: the journal still has them
        after a crash between writing the snapshot and replacing the journal.
        """
        if isinstance(record, VoteRecord):
            self._vote = record.vote
            return entries
        first = record.first
        kept = record.entries
        if first <= snapshot_index:
            kept = kept[snapshot_index + 1 - first :]
            first = snapshot_index + 1
        return [*entries[: first - snapshot_index - 1], *kept]

    def _load_incarnation(self) -> str:
        path = self.folder / 'incarnation'
        incarnation = read_file(path)
        if incarnation is None:
            incarnation = secrets.token_hex(_INCARNATION_BYTES).encode()
            replace_file(path, incarnation)
        return incarnation.decode()

    @property
    def _journal_path(self) -> pathlib.Path:
        return self.folder / 'journal'

    @property
    def _snapshot_path(self) -> pathlib.Path:
        return self.folder / 'snapshot'


def _encode_snapshot(snapshot: Snapshot) -> tuple[bytes, bytes]:
    """Return an encoded snapshot in two parts, the second one being its state.

    The state is the last field and may be large; it is not copied.
    """
    state = snapshot.state
    head = _encode(msgspec.structs.replace(snapshot, state=b''))
    header = _BYTES_HEADER.pack(_BYTES_TYPE, len(state))
    return head.removesuffix(_EMPTY_BYTES) + header, state
