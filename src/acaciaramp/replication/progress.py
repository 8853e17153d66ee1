"""Replication progress of the other replicas, as tracked by the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.messages import Snapshot


class Peer:
    """Replication progress of one other replica.

    Attributes:
        next_index: Index of the first entry to send next.
        match_index: Highest index up to which its log is known to match.
        last_contact_ms: When the last request that it replied to was sent;
            before the first reply, when this progress was created.
        replica: The replica that replied, None before the first reply.
        is_lagging: Whether proposals no longer wait for it.
        snapshot_index: Last index of the snapshot that is sent to it; None if
            it gets entries.
        snapshot_offset: Number of bytes of that snapshot that it has received.
    """

    def __init__(self, next_index: int, now_ms: int) -> None:
        """Create the progress of a replica that has not replied yet.

        Args:
            next_index: Index of the first entry to send.
            now_ms: Counts as the first contact.
        """
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_ms = now_ms
        self.replica: Member | None = None
        self.is_lagging = False
        self.snapshot_index: int | None = None
        self.snapshot_offset = 0

    def begin_snapshot(self, index: int) -> None:
        """Record that the transfer of another snapshot begins."""
        self.snapshot_index = index
        self.snapshot_offset = 0

    def end_snapshot(self) -> None:
        """Record that the replica has the snapshot."""
        self.snapshot_index = None
        self.snapshot_offset = 0


class Progress:
    """Replication progress of all replicas of a log.

    Attributes:
        peers: The other replicas by instance.
        synced_index: Last entry that the leader itself has on stable storage.
    """

    def __init__(self, me: Member) -> None:
        """Create the progress tracked by a new leader.

        Args:
            me: The leader.
        """
        self.peers: dict[InstanceId, Peer] = {}
        self.synced_index = 0
        self._me = me
        self._encoded_index: int | None = None
        self._encoded = b''

    def encoded_snapshot(self, snapshot: Snapshot) -> bytes:
        """Return the encoded snapshot, which is cached for all its parts.

        All replicas that are behind share it.
        """
        if self._encoded_index != snapshot.index:
            self._encoded = b''
            self._encoded = msgspec.msgpack.encode(snapshot)
            self._encoded_index = snapshot.index
        return self._encoded

    def drop_unused_snapshot(self) -> None:
        """Free the cached encoding if no replica gets a snapshot now."""
        if all(peer.snapshot_index is None for peer in self.peers.values()):
            self._encoded = b''
            self._encoded_index = None

    def match_index_of(self, voter: Member) -> int:
        """Return the last index that a replica is known to have stored.

        It is 0 if the replica has not replied, or if the last reply came from
        another incarnation of it.
        """
        if voter == self._me:
            return self.synced_index
        peer = self.peers.get(voter.instance)
        if peer is None or peer.replica != voter:
            return 0
        return peer.match_index

    def majority_index(self, members: Members) -> int:
        """Return the last index that a majority of the voters has stored."""
        matches = sorted(map(self.match_index_of, members.voters), reverse=True)
        return matches[members.majority - 1]

    def is_replicated_to_all(self, members: Members, index: int) -> bool:
        """Return whether all voters that are not lagging have stored ``index``.

        Args:
            members: The membership.
            index: Index of the entry.
        """
        return all(
            self.match_index_of(voter) >= index
            for voter in members.voters
            if not self._is_lagging(voter)
        )

    def mark_lagging(self, members: Members, index: int) -> None:
        """Mark the voters that lack the entry at ``index`` as lagging.

        Proposals no longer wait for them until they have caught up.
        """
        for voter in members.voters:
            peer = self.peers.get(voter.instance)
            if peer is not None and self.match_index_of(voter) < index:
                peer.is_lagging = True

    def has_majority_contact(self, members: Members, since_ms: int) -> bool:
        """Return whether a majority of the voters has replied since a time.

        The leader counts as one that has. So does a voter that has never
        replied, until its progress is older than ``since_ms``.

        Args:
            members: The membership.
            since_ms: Earliest time at which the requests were sent.
        """
        contacted = sum(
            self._has_contact(voter, since_ms) for voter in members.voters
        )
        return contacted >= members.majority

    def _has_contact(self, voter: Member, since_ms: int) -> bool:
        if voter == self._me:
            return True
        peer = self.peers.get(voter.instance)
        if peer is None or peer.last_contact_ms < since_ms:
            return False
        return peer.replica in {None, voter}

    def _is_lagging(self, voter: Member) -> bool:
        peer = self.peers.get(voter.instance)
        return peer is not None and peer.is_lagging
