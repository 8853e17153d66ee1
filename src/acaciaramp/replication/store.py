"""Interface to the stable storage of a replica, and a store without any."""

from __future__ import annotations

from typing import Protocol

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication.messages import Entry, Snapshot


class Vote(msgspec.Struct, frozen=True):
    """Current term and the vote given in it.

    Attributes:
        term: The latest term that the replica has seen.
        candidate: Candidate that received the vote; None for no vote.
    """

    term: int = 0
    candidate: InstanceId | None = None


class StoredState(msgspec.Struct):
    """State loaded from a store.

    Attributes:
        vote: The latest term and vote.
        snapshot: The latest snapshot, None if there is none.
        entries: The entries after the snapshot.
    """

    vote: Vote
    snapshot: Snapshot | None
    entries: list[Entry]


class Store(Protocol):
    """Stable storage of vote, entries and snapshot.

    Writes are durable once a later ``sync`` has returned. They raise
    ``OSError`` if the disk is full or has failed.
    """

    def load(self) -> StoredState:
        """Return the state as it was when the store was opened."""
        ...

    def save_vote(self, vote: Vote) -> None:
        """Write a vote, which replaces the previous one."""
        ...

    def append(self, first: int, entries: list[Entry]) -> None:
        """Write entries, which replace all entries from ``first`` on."""
        ...

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Replace the stored snapshot and entries.

        Args:
            snapshot: The new snapshot.
            entries: The entries after it.
        """
        ...

    async def sync(self) -> None:
        """Return once all previous writes are durable.

        Raises:
            OSError: The disk failed; nothing more may be acknowledged.
        """
        ...

    def is_writable(self) -> bool:
        """Return whether a test write to the disk succeeds."""
        ...

    def reopen(self) -> Store:
        """Return the store as a new process would open it after a failure.

        This store takes no more writes. All that the new one has loaded is
        durable.

        Raises:
            OSError: The disk has failed again.
        """
        ...


class NullStore:
    """Discards all writes.

    A replica with this store needs a new incarnation for every process, so
    that its lost acknowledgements are not counted.
    """

    def load(self) -> StoredState:
        """Return the empty state."""
        return StoredState(Vote(), None, [])

    def save_vote(self, vote: Vote) -> None:
        """Discard the vote."""

    def append(self, first: int, entries: list[Entry]) -> None:
        """Discard the entries."""

    def save_snapshot(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """Discard the snapshot."""

    async def sync(self) -> None:
        """Return at once."""

    def is_writable(self) -> bool:
        """Return true."""
        return True

    def reopen(self) -> NullStore:
        """Return an empty store."""
        return NullStore()
