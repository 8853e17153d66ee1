"""Messages between the replicas of one log."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication.members import Member, Members


class EntryKind(enum.Enum):
    """What an entry is for."""

    COMMAND = 0
    NOTHING = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes:
        term: The term in which a leader made it.
        kind: What it is for.
        payload: A command, or encoded members.
    """

    term: int
    kind: EntryKind
    payload: bytes = b''


class Snapshot(msgspec.Struct, frozen=True):
    """The state up to an entry, in place of the entries.

    Attributes:
        index: Index of the last entry in it; 0 for none.
        term: Term of that entry.
        members: The members at that entry.
        state: The state machine's own encoding.
    """

    index: int
    term: int
    members: Members
    state: bytes = b''


class VoteRequest(msgspec.Struct, frozen=True, tag=True):
    """A candidate asks for a vote.

    Attributes:
        term: The candidate's term; for a pre-vote the term it would begin.
        candidate: The candidate.
        last_index: Index of its last entry.
        last_term: Term of its last entry.
        is_pre_vote: Whether nothing is promised yet.
        is_handover: Whether the leader itself asked for the election.
    """

    term: int
    candidate: InstanceId
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_handover: bool = False


class VoteReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a vote request.

    Attributes:
        term: The replica's term.
        voter: The replica.
        is_granted: Whether it votes for the candidate.
    """

    term: int
    voter: Member
    is_granted: bool


class AppendRequest(msgspec.Struct, frozen=True, tag=True):
    """The leader sends entries, or a heartbeat without any.

    Attributes:
        term: The leader's term.
        leader: The leader.
        previous_index: Index of the entry before the first one sent.
        previous_term: Its term.
        entries: The entries.
        commit: Index up to which entries are committed.
    """

    term: int
    leader: InstanceId
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int


class AppendReply(msgspec.Struct, frozen=True, tag=True):
    """Answers entries or part of a snapshot.

    Attributes:
        term: The replica's term.
        replica: The replica.
        is_matching: Whether the log now agrees with the leader's.
        index: Where it agrees up to, or where the leader should try next.
    """

    term: int
    replica: Member
    is_matching: bool
    index: int


class SnapshotPart(msgspec.Struct, frozen=True, tag=True):
    """The leader sends part of an encoded snapshot.

    Attributes:
        term: The leader's term.
        leader: The leader.
        index: Index of the snapshot.
        checksum: Checksum of the whole encoded snapshot.
        offset: Where the part begins, bytes.
        size: Size of the whole, bytes.
        part: The part.
    """

    term: int
    leader: InstanceId
    index: int
    checksum: int
    offset: int
    size: int
    part: bytes


class HandoverRequest(msgspec.Struct, frozen=True, tag=True):
    """The leader asks a replica to take over at once.

    Attributes:
        term: The leader's term.
    """

    term: int


Request = VoteRequest | AppendRequest | SnapshotPart | HandoverRequest
Reply = VoteReply | AppendReply
