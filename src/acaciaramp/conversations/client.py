"""Client of the ledger for instances without a replica of it."""

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
from acaciaramp.peering.replies import decode_reply
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.peering.links import Links

logger = get_logger('conversations')

# Timeout of one request to one instance: longer than two trips between regions
# and two disk syncs.
_REQUEST_TIMEOUT_MS = 400
_RETRY_PAUSE_MS = 50
# How long an instance that did not reply is avoided, even if other instances
# still name it as the leader.
_AVOID_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_reply_decoder = msgspec.msgpack.Decoder(LedgerReply)


class LedgerClient:
    """Sends requests to the leader of the ledger and finds it when it moves.

    The last known leader is asked first. Without one, the storage instances
    are asked in turn; a follower names the leader in its refusal.
    """

    def __init__(
        self,
        links: Links,
        storages: Callable[[], Sequence[InstanceId]],
        clock: Clock,
    ) -> None:
        """Create the client.

        Args:
            links: Links to other instances.
            storages: Returns the storage instances that may lead the ledger.
            clock: Clock for timeouts.
        """
        self._links = links
        self._storages = storages
        self._clock = clock
        self._leader: InstanceId | None = None
        self._round_robin = itertools.count()
        self._avoided_until_ms: dict[InstanceId, int] = {}

    async def open_turn(self, req: OpenTurn, wait_ms: int) -> OpenReply:
        """Open a turn: reserve its tokens and fetch the chain it continues.

        Args:
            req: The command; it is idempotent and may be sent more than once.
            wait_ms: Time limit over all attempts, milliseconds.

        Raises:
            CallError: No leader of the ledger replied in time.
        """
        reply = await self._request(req, wait_ms)
        if not isinstance(reply, OpenReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')
        return reply

    async def close_turn(self, req: CloseTurn, wait_ms: int) -> None:
        """Close a turn: settle its tokens and store it if it is retained.

        The command is committed when this returns.

        Args:
            req: The command; it is idempotent and may be sent more than once.
            wait_ms: Time limit over all attempts, milliseconds.

        Raises:
            CallError: No leader of the ledger replied in time.
        """
        reply = await self._request(req, wait_ms)
        if not isinstance(reply, CloseReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')

    async def _request(self, req: LedgerRequest, wait_ms: int) -> LedgerReply:
        deadline_ms = self._clock.now_ms() + wait_ms
        body = _encode(req)
        last_error = CallError(
            ErrorCode.HOME_UNREACHABLE, 'no storage instance is known'
        )
        while self._clock.now_ms() < deadline_ms:
            left_ms = deadline_ms - self._clock.now_ms()
            target = self._next_target()
            if target is not None:
                try:
                    return await self._request_from(
                        target, body, min(_REQUEST_TIMEOUT_MS, left_ms)
                    )
                except CallError as exc:
                    last_error = exc
                    self._record_failure(target, exc)
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
        raise last_error

    async def _request_from(
        self, target: InstanceId, body: bytes, wait_ms: int
    ) -> LedgerReply:
        link = self._links.get(target)
        wire = await link.request(Channel.LEDGER, body, wait_ms)
        reply = decode_reply(_reply_decoder, wire)
        if self._leader != target:
            logger.info(
                'Found the leader of the ledger; sending requests to it.',
                instance=target,
            )
            self._leader = target
        return reply

    def _next_target(self) -> InstanceId | None:
        if self._leader is not None:
            return self._leader
        candidates = self._storages()
        if not candidates:
            return None
        candidates = [
            item for item in candidates if not self._is_avoided(item)
        ] or candidates
        return candidates[next(self._round_robin) % len(candidates)]

    def _record_failure(self, target: InstanceId, exc: CallError) -> None:
        if self._leader == target:
            logger.warning(
                'Lost the leader of the ledger; looking for the new one.',
                instance=target,
                reason=exc,
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
