"""Serves the ledger on a storage instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
    OpenReply,
    OpenTurn,
)
from acaciaramp.coordination.messages import LedgerReplicaStatus
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.replies import decode_reply
from acaciaramp.replication.errors import PeerError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.conversations.ledger import Ledger
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.links import Links
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.group import Group
    from acaciaramp.replication.requests import Send

    HandleHome = Callable[[HomeRequest], Awaitable[bytes]]

_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(LedgerRequest)
_reply_decoder = msgspec.msgpack.Decoder(LedgerReply)
_PEER_TIMEOUT_MS = 1_000


class LedgerReplica:
    """Handles ledger requests on an instance with a replica of the ledger.

    Attributes:
        group: The local replica and its replication group.
    """

    def __init__(
        self,
        group: Group,
        ledger: Ledger,
        clock: Clock,
        metrics: Metrics,
        handle_home: HandleHome | None = None,
    ) -> None:
        """Create the handler on top of a replica.

        Args:
            group: The local replica and its replication group.
            ledger: The state machine of the replica.
            clock: Measures the time of the ledger while this replica leads.
            metrics: Counts the outcomes of opened turns.
            handle_home: Handles requests to the ledger of the region here.
        """
        self.group = group
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
            case OpenTurn() | CloseTurn():
                return await self._propose(req)

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
