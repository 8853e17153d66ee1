"""Keeps what a replica must not forget in one folder."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.replication.messages import Entry, Snapshot
from acaciaramp.replication.store import StoredState, Vote
from acaciaramp.storage.files import read_file, replace_file, sync_folder
from acaciaramp.storage.journal import Journal, read_journal

if TYPE_CHECKING:
    import pathlib

_INCARNATION_BYTES = 8
# More than one write to the journal.
_PROBE_BYTES = 65_536
_encode = msgspec.msgpack.Encoder().encode


class AddEntries(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Entries from an index on, in place of those that stood there.

    Attributes:
        first: Index of the first one.
        entries: The entries.
    """

    first: int
    entries: list[Entry]


class SaveVote(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A newer vote.

    Attributes:
        vote: The vote.
    """

    vote: Vote


_record_decoder = msgspec.msgpack.Decoder(AddEntries | SaveVote)


class DiskStore:
    """Vote and entries in a journal, the snapshot in a file of its own.

    Attributes:
        folder: Where the files live.
        incarnation: Stays the same for as long as the folder lasts.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Open or create the folder.

        Args:
            folder: Where the files live.

        Raises:
            OSError: The folder cannot be used.
            CorruptionError: A file is damaged.
        """
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        self.folder = folder
        self.incarnation = self._read_incarnation()
        self._vote = Vote()
        self._stored = self._read()
        self._journal = Journal(self._journal_path)

    def load(self) -> StoredState:
        """Return what is kept."""
        return self._stored

    def save_vote(self, vote: Vote) -> None:
        """Keep a vote in place of the one before."""
        self._vote = vote
        self._journal.add(_encode(SaveVote(vote)))

    def append(self, first: int, entries: list[Entry]) -> None:
        """Keep entries from index ``first`` on; older ones from there go."""
        self._journal.add(_encode(AddEntries(first, entries)))

    def save_snapshot(self, snapshot: Snapshot, rest: list[Entry]) -> None:
        """Keep a snapshot and only the entries behind it."""
        replace_file(self._snapshot_path, _encode(snapshot))
        self._journal.close()
        fresh = self._journal_path.with_suffix('.new')
        fresh.unlink(missing_ok=True)
        journal = Journal(fresh)
        journal.add(_encode(SaveVote(self._vote)))
        journal.add(_encode(AddEntries(snapshot.index + 1, rest)))
        journal.sync_now()
        fresh.replace(self._journal_path)
        # Entries that are added next are in the new file; its name must last.
        sync_folder(self.folder)
        self._journal = journal

    async def sync(self) -> None:
        """Return once all that was written lasts.

        Raises:
            OSError: The disk failed; nothing more may be acknowledged.
        """
        await self._journal.sync()

    def is_writable(self) -> bool:
        """Return whether the disk takes and keeps bytes now."""
        try:
            replace_file(self.folder / 'probe', bytes(_PROBE_BYTES))
        except OSError:
            return False
        return True

    def _read(self) -> StoredState:
        encoded = read_file(self._snapshot_path)
        snapshot = None
        if encoded is not None:
            snapshot = msgspec.msgpack.decode(encoded, type=Snapshot)
        base = snapshot.index if snapshot else 0
        entries: list[Entry] = []
        for record in read_journal(self._journal_path):
            entries = self._take(_record_decoder.decode(record), base, entries)
        return StoredState(self._vote, snapshot, entries)

    def _take(
        self, record: AddEntries | SaveVote, base: int, entries: list[Entry]
    ) -> list[Entry]:
        """Return the entries after one more record."""
        if isinstance(record, SaveVote):
            self._vote = record.vote
            return entries
        first = record.first
        kept = record.entries
        if first <= base:
            kept = kept[base + 1 - first :]
            first = base + 1
        return [*entries[: first - base - 1], *kept]

    def _read_incarnation(self) -> str:
        path = self.folder / 'incarnation'
        known = read_file(path)
        if known is None:
            known = secrets.token_hex(_INCARNATION_BYTES).encode()
            replace_file(path, known)
        return known.decode()

    @property
    def _journal_path(self) -> pathlib.Path:
        return self.folder / 'journal'

    @property
    def _snapshot_path(self) -> pathlib.Path:
        return self.folder / 'snapshot'
