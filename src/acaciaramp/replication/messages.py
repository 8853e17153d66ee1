"""Log entries, snapshots and messages between the replicas of one log."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member, Members


class EntryKind(enum.Enum):
    """Kind of a log entry."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        term: Term of the leader that appended it.
        kind: How the payload is interpreted.
        payload: A command of the state machine, or the encoded ``Members``;
            empty for ``NO_OP``.
    """

    term: int
    kind: EntryKind
    payload: bytes = b''


class Snapshot(msgspec.Struct, frozen=True):
    """Snapshot of the state machine, which replaces the entries it covers.

    Attributes:
        index: Index of the last entry covered; 0 for none.
        term: Term of that entry.
        members: Membership as of that entry.
        state: The state machine's state in its own encoding; empty for the
            initial state.
    """

    index: int
    term: int
    members: Members
    state: bytes = b''


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks a voter for its vote.

    Attributes:
        term: The candidate's term; for a pre-vote the term that it would
            campaign in.
        candidate: Instance of the candidate.
        last_index: Index of the last entry of its log.
        last_term: Term of that entry.
        is_pre_vote: Whether this is a pre-vote, which changes no state of the
            voter.
        is_handover: Whether the leader requested the election to transfer its
            leadership, or the candidate bootstraps a new log. The vote is then
            granted even if the voter has recently heard from a leader.
    """

    term: int
    candidate: InstanceId
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_handover: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``VoteRequest``.

    Attributes:
        term: Current term of the voter.
        voter: The replica that replies.
        is_granted: Whether the vote was granted.
    """

    term: int
    voter: Member
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """Entries from the leader; a heartbeat if there are none.

    Attributes:
        term: Term of the leader.
        leader: Instance of the leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Term of that entry.
        entries: Entries from ``previous_index + 1`` on.
        commit: The leader's commit index.
    """

    term: int
    leader: InstanceId
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``AppendRequest``, ``SnapshotPart`` and ``HandoverRequest``.

    Attributes:
        term: Current term of the replica.
        replica: The replica that replies.
        is_matching: Whether its log matches the leader's up to ``index``;
            false in reply to ``HandoverRequest``.
        index: The match index if ``is_matching``. Otherwise what the leader
            should send next: the index of an entry, or for a snapshot the
            offset in bytes; 0 if nothing is known.
    """

    term: int
    replica: Member
    is_matching: bool
    index: int


class SnapshotPart(msgspec.Struct, frozen=True, tag=True):
    """One part of an encoded snapshot from the leader.

    Attributes:
        term: Term of the leader.
        leader: Instance of the leader.
        index: Index of the last entry covered by the snapshot.
        checksum: CRC-32 of the whole encoded snapshot.
        offset: Offset of this part, bytes.
        size: Size of the whole encoded snapshot, bytes.
        part: The bytes of this part.
    """

    term: int
    leader: InstanceId
    index: int
    checksum: int
    offset: int
    size: int
    part: bytes


class HandoverRequest(msgspec.Struct, frozen=True, tag=True):
    """The leader asks a voter to campaign at once, to transfer leadership.

    Attributes:
        term: Term of the leader.
    """

    term: int


Request = VoteRequest | AppendRequest | SnapshotPart | HandoverRequest
Reply = VoteReply | AppendReply
