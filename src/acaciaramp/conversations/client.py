"""Asks the leader of the ledger, wherever it is."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    LedgerReply,
    LedgerRequest,
    OpenReply,
    OpenTurn,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.peering.messages import Channel
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.peering.links import Links

logger = get_logger('conversations')

# One try at one instance: longer than crossing regions twice and two syncs.
_TRY_MS = 400
_RETRY_MS = 50
# An instance that did not answer is not asked again for so long, even where
# others still take it for the leader.
_AVOID_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_reply_decoder = msgspec.msgpack.Decoder(LedgerReply)


class LedgerClient:
    """Asks the ledger for one instance without a replica of it."""

    def __init__(
        self,
        links: Links,
        storages: Callable[[], Sequence[InstanceId]],
        clock: Clock,
    ) -> None:
        """Create the client.

        Args:
            links: Links to other instances.
            storages: Returns the storage instances.
            clock: Bounds the tries.
        """
        self._links = links
        self._storages = storages
        self._clock = clock
        self._leader: InstanceId | None = None
        self._turn = itertools.count()
        self._avoided_until_ms: dict[InstanceId, int] = {}

    async def open(self, req: OpenTurn, wait_ms: int) -> OpenReply:
        """Begin a turn.

        Args:
            req: The turn; it may be sent more than once.
            wait_ms: Longest wait, milliseconds.

        Raises:
            CallError: The ledger did not answer in time.
        """
        reply = await self._ask(req, wait_ms)
        if not isinstance(reply, OpenReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')
        return reply

    async def close(self, req: CloseTurn, wait_ms: int) -> None:
        """End a turn; what is to be kept of it is kept when this returns.

        Args:
            req: The turn; it may be sent more than once.
            wait_ms: Longest wait, milliseconds.

        Raises:
            CallError: The ledger did not answer in time.
        """
        reply = await self._ask(req, wait_ms)
        if not isinstance(reply, CloseReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')

    async def _ask(self, req: LedgerRequest, wait_ms: int) -> LedgerReply:
        until_ms = self._clock.now_ms() + wait_ms
        body = _encode(req)
        failure = CallError(
            ErrorCode.HOME_UNREACHABLE, 'no storage instance is known'
        )
        while self._clock.now_ms() < until_ms:
            left_ms = until_ms - self._clock.now_ms()
            target = self._next_target()
            if target is not None:
                try:
                    return await self._ask_one(
                        target, body, min(_TRY_MS, left_ms)
                    )
                except CallError as exc:
                    failure = exc
                    self._leave(target, exc)
            await self._clock.sleep_ms(_RETRY_MS)
        raise failure

    async def _ask_one(
        self, target: InstanceId, body: bytes, wait_ms: int
    ) -> LedgerReply:
        link = self._links.get(target)
        wire = await link.request(Channel.LEDGER, body, wait_ms)
        if self._leader != target:
            logger.info('Found the leader of the ledger.', instance=target)
            self._leader = target
        return _reply_decoder.decode(wire)

    def _next_target(self) -> InstanceId | None:
        if self._leader is not None:
            return self._leader
        known = self._storages()
        if not known:
            return None
        known = [item for item in known if not self._is_avoided(item)] or known
        return known[next(self._turn) % len(known)]

    def _leave(self, target: InstanceId, exc: CallError) -> None:
        if self._leader == target:
            logger.warning(
                'The leader of the ledger is lost.', instance=target, reason=exc
            )
        self._leader = None
        hint = exc.refusal.leader
        if exc.refusal.code is ErrorCode.HOME_UNREACHABLE:
            until_ms = self._clock.now_ms() + _AVOID_MS
            self._avoided_until_ms[target] = until_ms
        if hint and hint != target and not self._is_avoided(InstanceId(hint)):
            self._leader = InstanceId(hint)

    def _is_avoided(self, instance: InstanceId) -> bool:
        until_ms = self._avoided_until_ms.get(instance, 0)
        return self._clock.now_ms() < until_ms
