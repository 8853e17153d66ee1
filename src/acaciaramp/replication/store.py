"""Where a replica keeps what it must not forget."""

from __future__ import annotations

from typing import Protocol

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication.messages import Entry, Snapshot


class Vote(msgspec.Struct, frozen=True):
    """The newest term and the vote in it.

    Attributes:
        term: The term.
        candidate: Who got the vote; None if nobody.
    """

    term: int = 0
    candidate: InstanceId | None = None


class StoredState(msgspec.Struct):
    """All that a store holds.

    Attributes:
        vote: The newest term and vote.
        snapshot: The newest snapshot, if any.
        entries: The entries behind it.
    """

    vote: Vote
    snapshot: Snapshot | None
    entries: list[Entry]


class Store(Protocol):
    """Keeps vote, entries and snapshot; writes last once ``sync`` returned."""

    def load(self) -> StoredState:
        """Return what is kept."""
        ...

    def save_vote(self, vote: Vote) -> None:
        """Keep a vote in place of the one before."""
        ...

    def append(self, first: int, entries: list[Entry]) -> None:
        """Keep entries from index ``first`` on; older ones from there go."""
        ...

    def save_snapshot(self, snapshot: Snapshot, rest: list[Entry]) -> None:
        """Keep a snapshot and only the entries behind it."""
        ...

    async def sync(self) -> None:
        """Return once all that was written lasts.

        Raises:
            OSError: The disk failed; nothing more may be acknowledged.
        """
        ...

    def is_writable(self) -> bool:
        """Return whether the disk takes and keeps bytes now."""
        ...


class NullStore:
    """Keeps nothing beyond its process; the replica's incarnation says so."""

    def load(self) -> StoredState:
        """Return that nothing is kept."""
        return StoredState(Vote(), None, [])

    def save_vote(self, vote: Vote) -> None:
        """Keep nothing."""

    def append(self, first: int, entries: list[Entry]) -> None:
        """Keep nothing."""

    def save_snapshot(self, snapshot: Snapshot, rest: list[Entry]) -> None:
        """Keep nothing."""

    async def sync(self) -> None:
        """Return at once."""

    def is_writable(self) -> bool:
        """Return true."""
        return True
