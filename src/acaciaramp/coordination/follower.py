"""Client of the control group's leader, used by every instance."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, TypeVar, cast

from acaciaramp.coordination.codec import (
    decode_reply,
    encode,
    unpack_view,
)
from acaciaramp.coordination.messages import (
    COMMANDS_GENERATION,
    NO_TABLE,
    ControlReply,
    ControlRequest,
    FollowReply,
    FollowRequest,
    View,
    ViewNumber,
)
from acaciaramp.coordination.tables import DeltaError, HeldTable
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.messages import Channel
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import LedgerReplicaStatus, Node
    from acaciaramp.peering.links import Links

logger = get_logger('coordination')

_Reply = TypeVar('_Reply', bound=ControlReply)

# The leader replies to a long poll after LONG_POLL_MS unless it must first
# wait for an election; more than twice that leaves time for the network and for
# a sync of the leader's disk.
_REPORT_TIMEOUT_MS = 1_200
# The timeout doubles after each report that times out on an open connection, up to
# this one: a large reply must arrive at some time, however slow the link is.
_LONGEST_REPORT_TIMEOUT_MS = 9_600
_MAX_TIMEOUT_DOUBLINGS = 3
# One attempt at one control instance; longer than a round trip and a sync.
_ATTEMPT_TIMEOUT_MS = 700
_RETRY_DELAY_MS = 100
# Delay before a request to the leader that another instance has named.
_REDIRECT_DELAY_MS = 10


class Follower:
    """One instance's connection to the leader of the control group.

    It finds the leader among the known control instances, long-polls it for
    the routing table and the view, and sends requests to it.

    Attributes:
        view: The newest view.
        table: The newest routing table.
        last_contact_ms: When the leader last replied to a report, on this
            instance's clock; None if it never has.
    """

    def __init__(
        self,
        node: Node,
        seeds: Callable[[], list[InstanceId]],
        links: Links,
        clock: Clock,
        on_table: Callable[[bytes], None] | None,
        on_view: Callable[[View], None],
        ledger_status: Callable[[], LedgerReplicaStatus | None],
        home_status: Callable[[], LedgerReplicaStatus | None] | None = None,
    ) -> None:
        """Create the follower; ``run`` starts it.

        Args:
            node: Description of this instance.
            seeds: Returns the control instances to try besides those of the
                view.
            links: Links to other instances.
            clock: Source of time.
            on_table: Called with each newer routing table as operators sent
                it; None if this instance needs no table.
            on_view: Called with each newer view.
            ledger_status: Returns the status of the ledger replica here, to be
                sent with each report.
            home_status: Returns the status of the replica of the region's
                ledger here, if any.
        """
        self.view = View()
        self.table = HeldTable()
        self.last_contact_ms: int | None = None
        self._node = node
        self._seeds = seeds
        self._links = links
        self._clock = clock
        self._on_table = on_table
        self._on_view = on_view
        self._ledger_status = ledger_status
        self._home_status = home_status
        self._number = ViewNumber()
        self._leader: InstanceId | None = None
        self._timeouts = 0
        self._attempt_numbers = itertools.count()

    async def run(self) -> None:
        """Report to the leader and apply its updates until cancelled."""
        while True:
            req = FollowRequest(
                node=self._node,
                version=self._table_version(),
                number=self._number,
                ledger=self._ledger_status(),
                home_ledger=self._home_status and self._home_status(),
                commands=COMMANDS_GENERATION,
            )
            target = self._next_target()
            try:
                reply = await self._send_to(
                    target, req, self._report_timeout_ms(target)
                )
                _check_type(reply, FollowReply)
                self._on_reply(target, cast('FollowReply', reply))
            except CallError as exc:
                self._record_timeout(target, exc)
                await self._clock.sleep_ms(self._on_failure(target, exc))
                continue
            self._timeouts = 0

    async def request(
        self, req: ControlRequest, reply_type: type[_Reply], timeout_ms: int
    ) -> _Reply:
        """Send a request to the leader; retry until it replies.

        Args:
            req: The request; it must be idempotent.
            reply_type: Type of its reply; another type counts as a failure.
            timeout_ms: Timeout of all attempts together, milliseconds.

        Raises:
            CallError: No leader replied in time.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        failure = CallError(ErrorCode.HOME_UNREACHABLE, 'no leader answers')
        while self._clock.now_ms() < until_ms:
            remaining_ms = until_ms - self._clock.now_ms()
            target = self._next_target()
            try:
                reply = await self._send_to(
                    target, req, min(_ATTEMPT_TIMEOUT_MS, remaining_ms)
                )
                _check_type(reply, reply_type)
            except CallError as exc:
                failure = exc
                await self._clock.sleep_ms(self._on_failure(target, exc))
                continue
            self._leader = target
            return cast('_Reply', reply)
        raise failure

    async def notify(self, req: ControlRequest) -> None:
        """Send a request to the leader once, whether or not it arrives."""
        if self._leader is None:
            return
        try:
            await self._send_to(self._leader, req, _ATTEMPT_TIMEOUT_MS)
        except CallError as exc:
            logger.info(
                'A notification may not have reached the control leader; it '
                'is not repeated.',
                instance=self._leader,
                reason=exc,
            )

    @property
    def term(self) -> int:
        """Term of the leader that published the view; 0 before the first."""
        return self._number.term

    def silence_ms(self) -> int | None:
        """Return the milliseconds since the last reply to a report.

        None if there has been no reply.
        """
        if self.last_contact_ms is None:
            return None
        return self._clock.now_ms() - self.last_contact_ms

    def _table_version(self) -> int:
        return NO_TABLE if self._on_table is None else self.table.version

    def _update_table(self, reply: FollowReply) -> None:
        """Replace the table; request a whole one if a difference is unusable."""
        try:
            if reply.table is not None:
                self.table.replace(reply.version, reply.table)
            elif reply.delta is not None:
                self.table.update(reply.version, reply.delta)
            else:
                return
            body = self.table.body
        except (DeltaError, InvalidTableError) as exc:
            logger.error_from(
                'An update of the routing table is unusable; requesting the '
                'whole table.',
                exc,
            )
            self.table = HeldTable()
            return
        if self._on_table is not None:
            self._on_table(body)

    async def _send_to(
        self, target: InstanceId, req: ControlRequest, timeout_ms: int
    ) -> ControlReply:
        link = self._links.get(target)
        encoded = await link.request(
            Channel.COORDINATION, encode(req), timeout_ms
        )
        return decode_reply(encoded)

    def _next_target(self) -> InstanceId:
        """Return the leader if known, else the next control instance."""
        if self._leader is not None:
            return self._leader
        known = [*self.view.controls, *self._seeds()]
        return known[next(self._attempt_numbers) % len(known)]

    def _report_timeout_ms(self, target: InstanceId) -> int:
        """Return the timeout of a report in milliseconds.

        It is shorter without a connection, so that another instance is tried
        soon.
        """
        if not self._links.get(target).is_connected:
            return _ATTEMPT_TIMEOUT_MS
        timeout_ms = _REPORT_TIMEOUT_MS << self._timeouts
        return min(timeout_ms, _LONGEST_REPORT_TIMEOUT_MS)

    def _record_timeout(self, target: InstanceId, exc: CallError) -> None:
        """Count a report that was not answered though the link is open."""
        is_timeout = exc.refusal.code is ErrorCode.HOME_UNREACHABLE
        if is_timeout and self._links.get(target).is_connected:
            self._timeouts = min(self._timeouts + 1, _MAX_TIMEOUT_DOUBLINGS)

    def _on_failure(self, target: InstanceId, exc: CallError) -> int:
        """Choose the next target after a failed request to ``target``.

        It is the leader named in the refusal, if any.

        Returns:
            The delay before the next request, in milliseconds.
        """
        named_leader = exc.refusal.leader
        if self._leader == target:
            self._links.metrics.count(Counter.LEADER_LOST)
            logger.warning(
                'Lost the control leader; trying another control instance.',
                instance=target,
                reason=exc,
            )
        self._leader = None
        if not named_leader or named_leader == target:
            return _RETRY_DELAY_MS
        self._leader = InstanceId(named_leader)
        return _REDIRECT_DELAY_MS

    def _on_reply(self, target: InstanceId, reply: FollowReply) -> None:
        if self._leader != target:
            logger.info('Found the control leader.', instance=target)
        self._leader = target
        self.last_contact_ms = self._clock.now_ms()
        if reply.version > self.table.version:
            self._update_table(reply)
        if reply.view is not None and reply.number > self._number:
            self.view = unpack_view(reply.view)
            self._number = reply.number
            self._on_view(self.view)


def _check_type(
    reply: ControlReply, expected: type[FollowReply] | type[_Reply]
) -> None:
    """Check the type of a reply.

    Raises:
        CallError: It is the reply to another request.
    """
    if not isinstance(reply, expected):
        raise CallError(
            ErrorCode.INTERNAL,
            'the reply is of another kind',
            Verdict.MAY_HAVE_RUN,
        )
