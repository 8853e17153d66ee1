"""In-memory log of one replica: a snapshot and the entries around its end.

Entries after the snapshot are part of the log's state. Some before its end are
retained, for members that are a little behind when the log is compacted.
"""

from __future__ import annotations

import msgspec

from acaciaramp.replication.members import Members
from acaciaramp.replication.messages import Entry, EntryKind, Snapshot

_members_decoder = msgspec.msgpack.Decoder(Members)
_MAX_BATCH_ENTRIES = 256
# A slow link between regions carries this much well within the timeout of a
# request.
_MAX_BATCH_BYTES = 65_536
# Retained entries hold no more memory than this.
_MAX_RETAINED_BYTES = 4_194_304


class Log:
    """Entries after a snapshot, and some before; indexes count from 1.

    Attributes:
        snapshot: Replaces all entries up to its index.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        entries: list[Entry],
        retained_entries: int = 0,
    ) -> None:
        """Create the log from stored state.

        Args:
            snapshot: Replaces all entries up to its index.
            entries: The entries after the snapshot.
            retained_entries: Maximum number of entries that are retained
                although a later snapshot replaces them.
        """
        self.snapshot = snapshot
        self._entries = entries
        self._first_index = snapshot.index + 1
        self._retained_entries = retained_entries
        self._membership_changes: list[tuple[int, Members]] = []
        self._record_membership_changes(snapshot.index + 1)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self._first_index - 1 + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log has no such entry.

        If the term of an entry is known, the log has all entries after it.
        """
        if index == self.snapshot.index:
            return self.snapshot.term
        if self._first_index <= index <= self.last_index:
            return self.entry(index).term
        return None

    def entry(self, index: int) -> Entry:
        """Return the entry at an index that the log holds."""
        return self._entries[index - self._first_index]

    def entries_from(self, first: int) -> list[Entry]:
        """Return all entries from index ``first`` on."""
        return self._entries[max(0, first - self._first_index) :]

    def batch(self, first: int) -> list[Entry]:
        """Return the entries from ``first`` on that fit into one message.

        At least one entry is returned if there is one, however large it is.
        """
        chosen: list[Entry] = []
        size = 0
        for entry in self.entries_from(first)[:_MAX_BATCH_ENTRIES]:
            size += len(entry.payload)
            if chosen and size > _MAX_BATCH_BYTES:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries: list[Entry]) -> None:
        """Append entries at the end."""
        first = self.last_index + 1
        self._entries.extend(entries)
        self._record_membership_changes(first)

    def truncate(self, first: int) -> None:
        """Remove all entries from index ``first`` on."""
        kept_count = max(0, first - self._first_index)
        self._entries = self._entries[:kept_count]
        self._membership_changes = [
            item for item in self._membership_changes if item[0] < first
        ]

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot by the snapshot.

        The entries after it, and the retained ones, stay only if the log has
        the last entry that the snapshot covers, with the same term.
        """
        if self.term_at(snapshot.index) == snapshot.term:
            first_index = self._first_retained(snapshot.index)
            self._entries = self.entries_from(first_index)
            self._first_index = first_index
        else:
            self._entries = []
            self._first_index = snapshot.index + 1
        self.snapshot = snapshot
        self._membership_changes = []
        self._record_membership_changes(snapshot.index + 1)

    def members(self, last: int | None = None) -> Members:
        """Return the membership as of the entry at index ``last``.

        Args:
            last: Index of the entry; None for the last one.
        """
        return self.latest_members(last)[1]

    def latest_members(self, last: int | None = None) -> tuple[int, Members]:
        """Return the index and content of the newest membership entry.

        Without such an entry these are the snapshot's index and membership.

        Args:
            last: Index of the last entry considered; None for all.
        """
        for index, members in reversed(self._membership_changes):
            if last is None or index <= last:
                return index, members
        return self.snapshot.index, self.snapshot.members

    def _first_retained(self, snapshot_index: int) -> int:
        """Return the index of the first entry to retain before a snapshot."""
        oldest = max(
            self._first_index, snapshot_index + 1 - self._retained_entries
        )
        first_index = snapshot_index + 1
        size = 0
        while first_index > oldest:
            size += len(self.entry(first_index - 1).payload)
            if size > _MAX_RETAINED_BYTES:
                break
            first_index -= 1
        return first_index

    def _record_membership_changes(self, first: int) -> None:
        for offset, entry in enumerate(self.entries_from(first)):
            if entry.kind is EntryKind.MEMBERS:
                members = _members_decoder.decode(entry.payload)
                self._membership_changes.append((first + offset, members))
