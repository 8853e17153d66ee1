"""Client of the ledger for instances without a replica of it."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    HomeRequest,
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
    from collections.abc import Callable, Coroutine, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.peering.links import Links

logger = get_logger('conversations')

# Timeout of the first attempt of a request: longer than two trips between regions
# and two disk syncs. It doubles with each further attempt, as a leader that is slow
# under load must not get the same request again and again.
_ATTEMPT_TIMEOUT_MS = 400
_SEARCH_PAUSE_MS = 50
# The pause after a refused attempt doubles up to this one.
_LONGEST_PAUSE_MS = 400
# How long an instance that cannot be reached is avoided, even if other instances
# still name it as the leader.
_AVOID_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_reply_decoder = msgspec.msgpack.Decoder(LedgerReply)


class LedgerClient:
    """Sends requests to the leader of the ledger and finds it when it moves.

    The last known leader is asked first. Without one, a single request at a time
    asks the storage instances in turn, while all others wait for its outcome; a
    follower names the leader in its refusal.
    """

    def __init__(
        self,
        links: Links,
        storages: Callable[[], Sequence[InstanceId]],
        clock: Clock,
        region: str | None = None,
    ) -> None:
        """Create the client.

        Args:
            links: Links to other instances.
            storages: Returns the storage instances that may lead the ledger.
            clock: Clock for timeouts.
            region: Region of the ledger; None for the ledger of all regions.
        """
        self._links = links
        self._storages = storages
        self._clock = clock
        self._region = region
        self._leader: InstanceId | None = None
        # Counts the leaders that were lost: of many requests that fail at one
        # leader only the first starts a search.
        self._losses = 0
        self._search = anyio.Lock()
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
        reply = await self._request(self._encode(req), wait_ms)
        if not isinstance(reply, OpenReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')
        return reply

    def close_turn(
        self, req: CloseTurn, wait_ms: int
    ) -> Coroutine[Any, Any, CloseReply]:
        """Close a turn: settle its tokens and store it if it is retained.

        The command is committed when the coroutine returns. It is encoded at
        once, so that the content is not held twice while the reply is awaited.

        Args:
            req: The command; it is idempotent and may be sent more than once.
            wait_ms: Time limit over all attempts, milliseconds.

        Raises:
            CallError: No leader of the ledger replied in time.
        """
        return self._close(self._encode(req), wait_ms)

    async def _close(self, body: bytes, wait_ms: int) -> CloseReply:
        reply = await self._request(body, wait_ms)
        if not isinstance(reply, CloseReply):
            raise CallError(ErrorCode.INTERNAL, 'a reply of another kind')
        return reply

    def _encode(self, req: LedgerRequest) -> bytes:
        body = _encode(req)
        if self._region is None:
            return body
        return _encode(HomeRequest(self._region, body))

    async def _request(self, body: bytes, wait_ms: int) -> LedgerReply:
        deadline_ms = self._clock.now_ms() + wait_ms
        timeout_ms = _ATTEMPT_TIMEOUT_MS
        pause_ms = _SEARCH_PAUSE_MS
        last_error = CallError(
            ErrorCode.HOME_UNREACHABLE, 'no leader of the ledger is known'
        )
        while self._clock.now_ms() < deadline_ms:
            left_ms = deadline_ms - self._clock.now_ms()
            leader = self._leader
            try:
                if leader is not None:
                    return await self._send_to_leader(
                        leader, body, min(timeout_ms, left_ms)
                    )
                reply = await self._find_leader(body, left_ms)
            except CallError as exc:
                last_error = exc
                timeout_ms *= 2
                await self._clock.sleep_ms(min(pause_ms, left_ms))
                pause_ms = min(2 * pause_ms, _LONGEST_PAUSE_MS)
                continue
            if reply is not None:
                return reply
        raise last_error

    async def _send_to_leader(
        self, leader: InstanceId, body: bytes, wait_ms: int
    ) -> LedgerReply:
        losses = self._losses
        try:
            return await self._send(leader, body, wait_ms)
        except CallError as exc:
            is_premature = wait_ms < _ATTEMPT_TIMEOUT_MS and self._is_slow(
                leader, exc
            )
            if losses == self._losses and not is_premature:
                self._lose_leader(leader, exc)
            raise

    async def _find_leader(
        self, body: bytes, wait_ms: int
    ) -> LedgerReply | None:
        """Ask storage instances in turn until one leads or names the leader.

        Args:
            body: Request to send to them.
            wait_ms: Time limit, milliseconds.

        Returns:
            The reply of the leader if it was among those asked; None once it is
            known, also if another request has found it.

        Raises:
            CallError: No leader was found in time.
        """
        deadline_ms = self._clock.now_ms() + wait_ms
        try:
            with self._clock.timeout(wait_ms):
                async with self._search:
                    return await self._search_leader(body, deadline_ms)
        except TimeoutError:
            raise CallError(
                ErrorCode.HOME_UNREACHABLE, 'no leader of the ledger was found'
            ) from None

    async def _search_leader(
        self, body: bytes, deadline_ms: int
    ) -> LedgerReply | None:
        while self._leader is None:
            target = self._next_candidate()
            left_ms = deadline_ms - self._clock.now_ms()
            if target is not None:
                try:
                    reply = await self._send(
                        target, body, min(_ATTEMPT_TIMEOUT_MS, left_ms)
                    )
                except CallError as exc:
                    self._follow_hint(target, exc)
                else:
                    self._set_leader(target)
                    return reply
            if self._leader is None:
                await self._clock.sleep_ms(_SEARCH_PAUSE_MS)
        return None

    async def _send(
        self, target: InstanceId, body: bytes, wait_ms: int
    ) -> LedgerReply:
        link = self._links.get(target)
        wire = await link.request(Channel.LEDGER, body, wait_ms)
        return decode_reply(_reply_decoder, wire)

    def _next_candidate(self) -> InstanceId | None:
        candidates = self._storages()
        if not candidates:
            return None
        candidates = [
            item for item in candidates if not self._is_avoided(item)
        ] or candidates
        return candidates[next(self._round_robin) % len(candidates)]

    def _set_leader(self, leader: InstanceId) -> None:
        logger.info(
            'Found the leader of the ledger; sending requests to it.',
            instance=leader,
        )
        self._leader = leader

    def _lose_leader(self, leader: InstanceId, exc: CallError) -> None:
        logger.warning(
            'Lost the leader of the ledger; looking for the new one.',
            instance=leader,
            reason=exc,
        )
        self._losses += 1
        self._leader = None
        self._follow_hint(leader, exc)

    def _follow_hint(self, target: InstanceId, exc: CallError) -> None:
        """Use the leader that a refusal names; avoid an unreachable instance.

        An instance that is connected but replies late is not avoided: if the
        others still name it, it leads and is only slow.
        """
        is_silent = exc.refusal.code is ErrorCode.HOME_UNREACHABLE
        if is_silent and not self._is_slow(target, exc):
            until_ms = self._clock.now_ms() + _AVOID_MS
            self._avoided_until_ms[target] = until_ms
        hint = exc.refusal.leader
        if hint and hint != target and not self._is_avoided(InstanceId(hint)):
            self._set_leader(InstanceId(hint))

    def _is_slow(self, target: InstanceId, exc: CallError) -> bool:
        """Return whether a connected instance has not replied in time."""
        is_silent = exc.refusal.code is ErrorCode.HOME_UNREACHABLE
        return is_silent and self._links.get(target).is_connected

    def _is_avoided(self, instance: InstanceId) -> bool:
        until_ms = self._avoided_until_ms.get(instance, 0)
        return self._clock.now_ms() < until_ms
