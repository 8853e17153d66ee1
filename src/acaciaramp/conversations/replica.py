"""Serves the ledger on a storage instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.conversations.ledger_time import LedgerTime
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    HomeRequest,
    LedgerMessage,
    LedgerMessageReply,
    LedgerReply,
    LedgerRequest,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    TurnKey,
)
from acaciaramp.conversations.room import MAX_CHAIN_BYTES
from acaciaramp.coordination.messages import LedgerReplicaStatus
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import WorkspaceId
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.framing import FrameRoom
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.replies import decode_reply
from acaciaramp.peering.server import hold_until_replied
from acaciaramp.replication.errors import PeerError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.conversations.ledger import Ledger
    from acaciaramp.conversations.room import LedgerRoom
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.links import Links
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.group import Group
    from acaciaramp.replication.requests import Send

    HandleHome = Callable[[HomeRequest], Awaitable[bytes]]

logger = get_logger('conversations')

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(LedgerRequest)
_reply_decoder = msgspec.msgpack.Decoder(LedgerReply)
_PEER_TIMEOUT_MS = 1_000
_SWEEP_PERIOD_MS = 1_000
# Part of the room that must have expired before it is worth a sweep.
_SWEPT_FRACTION = 0.05
# Settles no program and stores no turn: it only counts as a command.
_NO_TURN = TurnKey(WorkspaceId(''), '')


class LedgerReplica:
    """Handles ledger requests on an instance with a replica of the ledger.

    Attributes:
        group: The local replica and its replication group.
    """

    def __init__(
        self,
        group: Group,
        ledger: Ledger,
        room: LedgerRoom,
        clock: Clock,
        metrics: Metrics,
        handle_home: HandleHome | None = None,
    ) -> None:
        """Create the handler on top of a replica.

        Args:
            group: The local replica and its replication group.
            ledger: The state machine of the replica.
            room: Room for the turns of all ledgers here.
            clock: Measures the time of the ledger while this replica leads.
            metrics: Counts the outcomes of opened turns.
            handle_home: Handles requests to the ledger of the region here.
        """
        self.group = group
        room.add(ledger)
        self._ledger = ledger
        self._room = room
        self._chains = FrameRoom(room.limits.most_chain_bytes)
        self._clock = clock
        self._time = LedgerTime(ledger, clock)
        self._metrics = metrics
        self._handle_home = handle_home

    async def handle_encoded(self, wire: bytes) -> bytes:
        """Handle an encoded request and return the encoded reply.

        Raises:
            CallError: The request is malformed, or ``handle`` failed.
        """
        try:
            req = _request_decoder.decode(wire)
        except msgspec.DecodeError as exc:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'malformed: {exc}'
            ) from None
        if not isinstance(req, HomeRequest):
            return _encode(await self.handle(req))
        if self._handle_home is None:
            raise CallError(ErrorCode.BAD_REQUEST, 'no ledger of a region')
        return await self._handle_home(req)

    async def handle(
        self, req: OpenTurn | CloseTurn | LedgerMessage
    ) -> LedgerReply:
        """Handle a request of an entry instance or of another replica.

        Raises:
            CallError: This replica is not the leader, or lost the leadership
                before the command was committed.
        """
        match req:
            case LedgerMessage():
                return LedgerMessageReply(await self.group.handle(req.body))
            case OpenTurn():
                return await self._open(req)
            case CloseTurn():
                return await self._close(req)

    async def run(self) -> None:
        """Let expired turns be removed while there is little room left.

        Expired state is removed once in so many commands. While turns are refused
        there are few of them.
        """
        while True:
            await self._clock.sleep_ms(_SWEEP_PERIOD_MS)
            if self.group.is_serving and self._room.is_half_full:
                await self.sweep()

    async def sweep(self) -> None:
        """Remove expired turns if they take much of the room.

        They stay if this replica loses its leadership meanwhile.
        """
        now_ms = self._time.now_ms(self.group.replica.term, 0)
        expired_bytes = self._ledger.expired_bytes(now_ms)
        most_bytes = self._room.limits.most_bytes
        if expired_bytes < _SWEPT_FRACTION * most_bytes:
            return
        held_bytes = self._room.held_bytes
        async with anyio.create_task_group() as tasks:
            for _ in range(self._ledger.commands_until_sweep):
                tasks.start_soon(self._propose_nothing)
        logger.info(
            'Let expired turns be removed, as there is little room.',
            expired_bytes=expired_bytes,
            held_before=held_bytes,
            held_bytes=self._room.held_bytes,
            most_bytes=most_bytes,
        )

    def status(self) -> LedgerReplicaStatus:
        """Return the status that is reported to the control instances."""
        replica = self.group.replica
        is_leader = self.group.is_serving and replica.has_lease()
        voters = [item.instance for item in replica.members.voters]
        return LedgerReplicaStatus(
            replica=self.group.me,
            is_leader=is_leader,
            voters=tuple(voters) if is_leader else (),
        )

    async def _open(self, command: OpenTurn) -> LedgerReply:
        """Open a turn if there is room for it and for the chain before it."""
        if self.group.is_serving:
            refused = self._check_room(command)
            if refused is not None:
                self._metrics.count(Counter.LEDGER_OPENED, refused)
                return OpenReply(refused)
            if command.previous is not None and not command.has_chain:
                size = self._chain_bytes(command)
                await hold_until_replied(self._chains.taken(size))
        return await self._propose(command)

    def _check_room(self, command: OpenTurn) -> OpenOutcome | None:
        """Reserve room for a turn; return the outcome if there is none."""
        # A command that was sent again opens the turn as before.
        if self._ledger.is_open(command):
            return None
        outcome = None
        if self._chain_bytes(command) > MAX_CHAIN_BYTES:
            outcome = OpenOutcome.TOO_LONG
        elif not self._room.reserve(command):
            outcome = OpenOutcome.NO_ROOM
        if outcome is not None:
            logger.warning(
                'A turn was not opened for lack of memory.',
                attempt=command.turn.attempt,
                outcome=outcome.value,
                keeps_bytes=command.keeps_bytes,
                chain_bytes=self._chain_bytes(command),
                reserved_bytes=self._room.reserved_bytes,
                held_bytes=self._room.held_bytes,
                most_bytes=self._room.limits.most_bytes,
            )
        return outcome

    def _chain_bytes(self, command: OpenTurn) -> int:
        if command.previous is None:
            return 0
        key = TurnKey(command.turn.workspace, command.previous)
        return self._ledger.chain_bytes(key)

    async def _close(self, command: CloseTurn) -> LedgerReply:
        """Close a turn; only settle it if there is no room to store it."""
        kept = command.kept
        # A command that was sent again needs no more room.
        if (
            kept is None
            or self._ledger.has_turn(command.turn)
            or self._room.can_store(len(kept.content))
        ):
            reply = await self._propose(command)
            self._room.release(command.turn)
            return reply
        logger.warning(
            'A turn was closed without being stored for lack of memory.',
            attempt=command.turn.attempt,
            content_bytes=len(kept.content),
            held_bytes=self._room.held_bytes,
            most_bytes=self._room.limits.most_bytes,
        )
        await self._propose(msgspec.structs.replace(command, kept=None))
        self._room.release(command.turn)
        return CloseReply(is_stored=False, has_room=False)

    async def _propose_nothing(self) -> None:
        try:
            await self._propose(CloseTurn(turn=_NO_TURN))
        except CallError as exc:
            logger.info(
                'A command without effect was not committed.', reason=exc
            )

    async def _propose(
        self, command: OpenTurn | CloseTurn
    ) -> OpenReply | CloseReply:
        # Only a replica that serves knows the ledger's time; others refuse.
        if self.group.is_serving:
            command = self._time.stamp(command, self.group.replica.term)
        reply = await self.group.propose_for_caller(_encode(command))
        if not isinstance(reply, (OpenReply, CloseReply)):
            raise CallError(ErrorCode.INTERNAL, 'a command gave no reply')
        if isinstance(reply, OpenReply):
            self._metrics.count(Counter.LEDGER_OPENED, reply.outcome)
        return reply


def make_sender(links: Links, region: str | None = None) -> Send:
    """Return a function that sends replication requests over links.

    Args:
        links: Links to other instances.
        region: Region whose ledger the replicas belong to; None for the ledger
            of all regions.
    """

    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        link = links.get(target)
        body = _encode(LedgerMessage(req))
        if region is not None:
            body = _encode(HomeRequest(region, body))
        try:
            wire = await link.request(Channel.LEDGER, body, _PEER_TIMEOUT_MS)
            reply = decode_reply(_reply_decoder, wire)
        except CallError as exc:
            raise PeerError(str(exc)) from None
        if not isinstance(reply, LedgerMessageReply):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply.body

    return send
