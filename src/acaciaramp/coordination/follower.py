"""Follows the leader of the control group: reports to it and asks it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, TypeVar

from acaciaramp.coordination.codec import decode_reply, encode
from acaciaramp.coordination.messages import (
    ControlReply,
    ControlRequest,
    FollowReply,
    FollowRequest,
    View,
    ViewNumber,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.messages import Channel
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import LedgerReplicaStatus, Node
    from acaciaramp.peering.links import Links

logger = get_logger('coordination')

_Reply = TypeVar('_Reply', bound=ControlReply)

# The leader answers a report after HOLD_MS at the latest; twice that has room
# for the way and for a sync of its disk.
_ANSWER_MS = 1_200
# One try at one control instance; longer than a way and a sync.
_TRY_MS = 700
_RETRY_MS = 100
# Before the leader is asked that another instance has named.
_HINT_MS = 10


class Follower:
    """One instance's connection to whichever control instance leads.

    Attributes:
        view: The newest view.
        heard_ms: When the leader last answered, None if never.
    """

    def __init__(
        self,
        node: Node,
        seeds: Callable[[], list[InstanceId]],
        links: Links,
        clock: Clock,
        on_table: Callable[[bytes], None],
        on_view: Callable[[View], None],
        ledger_status: Callable[[], LedgerReplicaStatus | None],
    ) -> None:
        """Create the follower; ``run`` starts it.

        Args:
            node: This instance.
            seeds: Returns some control instances.
            links: Links to other instances.
            clock: Source of time.
            on_table: Takes each newer routing table.
            on_view: Takes each newer view.
            ledger_status: Returns what to report of a replica of the ledger.
        """
        self.view = View()
        self.heard_ms: int | None = None
        self._node = node
        self._seeds = seeds
        self._links = links
        self._clock = clock
        self._on_table = on_table
        self._on_view = on_view
        self._standing = ledger_status
        self._version = 0
        self._number = ViewNumber()
        self._leader: InstanceId | None = None
        self._turn = itertools.count()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            req = FollowRequest(
                node=self._node,
                version=self._version,
                number=self._number,
                ledger=self._standing(),
            )
            target = self._next_target()
            try:
                reply = await self._ask_one(target, req, self._patience(target))
            except CallError as exc:
                await self._clock.sleep_ms(self._leave(target, exc))
                continue
            if isinstance(reply, FollowReply):
                self._take(target, reply)

    async def request(
        self, req: ControlRequest, kind: type[_Reply], wait_ms: int
    ) -> _Reply:
        """Return the leader's reply to a request that may be repeated.

        Args:
            req: The request.
            kind: The type of its replies.
            wait_ms: Longest wait, milliseconds.

        Raises:
            CallError: No leader answered in time.
        """
        until_ms = self._clock.now_ms() + wait_ms
        failure = CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')
        while self._clock.now_ms() < until_ms:
            left_ms = until_ms - self._clock.now_ms()
            target = self._next_target()
            try:
                reply = await self._ask_one(target, req, min(_TRY_MS, left_ms))
            except CallError as exc:
                failure = exc
                await self._clock.sleep_ms(self._leave(target, exc))
                continue
            if isinstance(reply, kind):
                self._leader = target
                return reply
        raise failure

    def silence_ms(self) -> int | None:
        """Return how long no leader has answered; None if none ever did."""
        if self.heard_ms is None:
            return None
        return self._clock.now_ms() - self.heard_ms

    async def _ask_one(
        self, target: InstanceId, req: ControlRequest, wait_ms: int
    ) -> ControlReply:
        link = self._links.get(target)
        wire = await link.request(Channel.COORDINATION, encode(req), wait_ms)
        return decode_reply(wire)

    def _next_target(self) -> InstanceId:
        if self._leader is not None:
            return self._leader
        known = [*self.view.controls, *self._seeds()]
        return known[next(self._turn) % len(known)]

    def _patience(self, target: InstanceId) -> int:
        """Return how long a report may take, milliseconds."""
        return _ANSWER_MS if self._links.get(target).is_connected else _TRY_MS

    def _leave(self, target: InstanceId, exc: CallError) -> int:
        """Choose whom to ask after one that gave no answer.

        Returns:
            The pause before that, milliseconds.
        """
        hint = exc.refusal.leader
        if self._leader == target:
            self._links.metrics.count(Counter.LEADER_LOST)
            logger.warning(
                'The control leader is lost.', instance=target, reason=exc
            )
        self._leader = None
        if not hint or hint == target:
            return _RETRY_MS
        self._leader = InstanceId(hint)
        return _HINT_MS

    def _take(self, target: InstanceId, reply: FollowReply) -> None:
        if self._leader != target:
            logger.info('Follows a control leader.', instance=target)
        self._leader = target
        self.heard_ms = self._clock.now_ms()
        if reply.table is not None and reply.version > self._version:
            self._version = reply.version
            self._on_table(reply.table)
        if reply.view is not None and reply.number > self._number:
            self._number = reply.number
            self.view = reply.view
            self._on_view(reply.view)
