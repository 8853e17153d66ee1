"""What a leader knows of the other replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.messages import Snapshot


class Peer:
    """One other replica as its leader sees it.

    Attributes:
        next_index: First entry to send next.
        match_index: Last entry known to agree.
        last_contact_ms: When the last request that it answered was sent.
        replica: The replica that answered, None before the first answer.
        is_lagging: Whether commits no longer wait for it.
        snapshot_offset: How much of a snapshot it has, bytes.
    """

    def __init__(self, next_index: int, now_ms: int) -> None:
        """Create the state before the first answer."""
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_ms = now_ms
        self.replica: Member | None = None
        self.is_lagging = False
        self.snapshot_offset = 0
        self._encoded_index = 0
        self._encoded = b''

    def encoded_snapshot(self, snapshot: Snapshot) -> bytes:
        """Return a snapshot's encoding, made once for all its parts."""
        if self._encoded_index != snapshot.index:
            self._encoded = msgspec.msgpack.encode(snapshot)
            self._encoded_index = snapshot.index
            self.snapshot_offset = 0
        return self._encoded

    def forget_snapshot(self) -> None:
        """Free the encoding when the replica has it."""
        self._encoded = b''
        self._encoded_index = 0
        self.snapshot_offset = 0


class Progress:
    """All other replicas as their leader sees them.

    Attributes:
        peers: State by instance.
        own_index: Last entry that lasts at the leader itself.
    """

    def __init__(self, me: Member) -> None:
        """Create the state of a new leader."""
        self.peers: dict[InstanceId, Peer] = {}
        self.own_index = 0
        self._me = me

    def match_index_of(self, voter: Member) -> int:
        """Return the last entry that a voter is known to remember."""
        if voter == self._me:
            return self.own_index
        peer = self.peers.get(voter.instance)
        if peer is None or peer.replica != voter:
            return 0
        return peer.match_index

    def majority_index(self, members: Members) -> int:
        """Return the last entry that a majority remembers."""
        matches = sorted(map(self.match_index_of, members.voters), reverse=True)
        return matches[members.majority - 1]

    def is_replicated_to_all(self, members: Members, index: int) -> bool:
        """Return whether every voter that keeps up remembers an entry."""
        return all(
            self.match_index_of(voter) >= index
            for voter in members.voters
            if not self._is_lagging(voter)
        )

    def mark_lagging(self, members: Members, index: int) -> None:
        """Stop waiting for voters that do not have an entry yet."""
        for voter in members.voters:
            peer = self.peers.get(voter.instance)
            if peer is not None and self.match_index_of(voter) < index:
                peer.is_lagging = True

    def heard_from_majority(self, members: Members, since_ms: int) -> bool:
        """Return whether a majority has answered since a time."""
        heard = sum(
            self._was_heard(voter, since_ms) for voter in members.voters
        )
        return heard >= members.majority

    def _was_heard(self, voter: Member, since_ms: int) -> bool:
        if voter == self._me:
            return True
        peer = self.peers.get(voter.instance)
        if peer is None or peer.last_contact_ms < since_ms:
            return False
        return peer.replica in {None, voter}

    def _is_lagging(self, voter: Member) -> bool:
        peer = self.peers.get(voter.instance)
        return peer is not None and peer.is_lagging
