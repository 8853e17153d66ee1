"""Follower side of replication: appends entries and installs snapshots."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.replication import messages as msgs
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.replication.state import ReplicaState

logger = get_logger('replication')

_snapshot_decoder = msgspec.msgpack.Decoder(msgs.Snapshot)


class Follower:
    """Handles the messages of a leader."""

    def __init__(self, state: ReplicaState) -> None:
        """Create the follower side of a replica.

        Args:
            state: The replica's state.
        """
        self._state = state
        self._received_snapshot = bytearray()

    async def on_append(self, req: msgs.AppendRequest) -> msgs.AppendReply:
        """Append the leader's entries if they follow on this log.

        The reply is sent once the entries are durable.
        """
        state = self._state
        if req.term < state.term:
            return self.mismatch(0)
        state.on_leader_contact(req.term, req.leader)
        conflict_index = self._conflict_index(req)
        if conflict_index is not None:
            return self.mismatch(conflict_index)
        self._append_entries(req.previous_index + 1, req.entries)
        match_index = req.previous_index + len(req.entries)
        await state.store.sync()
        # A leader of a later term may have replaced the entries meanwhile.
        if state.term != req.term:
            return self.mismatch(0)
        state.leader_commit = max(state.leader_commit, req.commit)
        state.apply_committed(min(req.commit, match_index))
        return msgs.AppendReply(state.term, state.me, True, match_index)

    async def on_snapshot(self, req: msgs.SnapshotPart) -> msgs.AppendReply:
        """Add a part of a snapshot; install the snapshot once it is complete.

        A part that does not follow on the previous one restarts the transfer.
        """
        state = self._state
        if req.term < state.term:
            return self.mismatch(0)
        state.on_leader_contact(req.term, req.leader)
        if req.index <= state.commit:
            return msgs.AppendReply(state.term, state.me, True, state.commit)
        if req.offset == 0:
            self._received_snapshot = bytearray()
        if req.offset != len(self._received_snapshot):
            return self.mismatch(0)
        self._received_snapshot += req.part
        if len(self._received_snapshot) < req.size:
            return self.mismatch(len(self._received_snapshot))
        is_installed = self._install_snapshot(req)
        await state.store.sync()
        if not is_installed or state.term != req.term:
            return self.mismatch(0)
        return msgs.AppendReply(state.term, state.me, True, req.index)

    def mismatch(self, index: int) -> msgs.AppendReply:
        """Return a rejection that asks the leader to continue at ``index``."""
        return msgs.AppendReply(self._state.term, self._state.me, False, index)

    def _conflict_index(self, req: msgs.AppendRequest) -> int | None:
        """Return the index to retry from, or None if the entries follow on."""
        log = self._state.log
        if req.previous_index > log.last_index:
            return log.last_index + 1
        if req.previous_index < log.snapshot.index:
            return None
        own_term = log.term_at(req.previous_index)
        if own_term == req.previous_term:
            return None
        return self._first_index_of_term(own_term, req.previous_index)

    def _first_index_of_term(self, term: int | None, index: int) -> int:
        """Return where the entries of a term begin that end at ``index``.

        Committed entries are left out. The leader continues from the returned
        index, so that it skips the whole term in one step.
        """
        state = self._state
        while index > state.commit + 1 and state.log.term_at(index - 1) == term:
            index -= 1
        return index

    def _append_entries(self, first: int, entries: list[msgs.Entry]) -> None:
        """Append the entries that the log lacks, in place of conflicting ones.

        An entry conflicts if it has another term at the same index; it and all
        entries after it are replaced.
        """
        log = self._state.log
        for offset, entry in enumerate(entries):
            index = first + offset
            if index <= log.snapshot.index or log.term_at(index) == entry.term:
                continue
            new = entries[offset:]
            log.truncate(index)
            log.append(new)
            self._state.store.append(index, new)
            return

    def _install_snapshot(self, req: msgs.SnapshotPart) -> bool:
        encoded = self._received_snapshot
        self._received_snapshot = bytearray()
        if zlib.crc32(encoded) != req.checksum:
            logger.warning(
                'A received snapshot was corrupt; requesting it again.'
            )
            return False
        self._state.install_snapshot(_snapshot_decoder.decode(encoded))
        logger.info(
            'Installed a snapshot of the leader.',
            instance=self._state.me.instance,
            index=req.index,
            size_bytes=len(encoded),
        )
        return True
