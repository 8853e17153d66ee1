"""Admits requests within a workspace's rate over all entry instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.routing.model import WorkspacePolicy

_DEFAULT_RETRY_MS = 500

# Asks for a token, for a program that has begun or not; returns how many were
# granted, one or none, and when there may be more.
RequestTokens = Callable[[str, bool], Awaitable[tuple[int, int | None]]]


class _Share:
    """What one entry may use of one workspace's rate."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.granted = 0
        self.granted_until_ms = 0

    def try_take(self, now_ms: int) -> bool:
        """Take a token that is here, if there is one."""
        if self.granted and now_ms < self.granted_until_ms:
            self.granted -= 1
            return True
        return self.bucket.try_consume()


class Quota:
    """One entry's part of all workspaces' rates.

    A part of each rate is divided evenly among the entries and needs nobody's
    leave; the rest is granted by one owner. Everything starts empty.
    """

    def __init__(
        self, request_tokens: RequestTokens, grant_ms: int, clock: Clock
    ) -> None:
        """Create the quota without workspaces.

        Args:
            request_tokens: Asks the owner for tokens; raises ``CallError``.
            grant_ms: How long granted tokens may be used, milliseconds.
            clock: Refills the own part.
        """
        self._ask = request_tokens
        self._grant_ms = grant_ms
        self._clock = clock
        self._shares: dict[str, _Share] = {}

    def configure(
        self,
        workspaces: tuple[WorkspacePolicy, ...],
        share_of: Callable[[WorkspacePolicy], float],
    ) -> None:
        """Take over rates.

        Args:
            workspaces: All workspaces.
            share_of: Returns the part of a rate that this entry has for itself.
        """
        known = self._shares
        self._shares = {}
        for item in workspaces:
            if item.rate_per_s <= 0:
                continue
            part = share_of(item)
            rate = part * item.rate_per_s
            burst = part * item.burst
            share = known.get(item.name)
            if share is None:
                now_ms = self._clock.now_ms()
                bucket = TokenBucket(rate, burst, now_ms, self._clock)
                share = _Share(bucket)
            share.bucket.set_limits(rate, burst)
            share.rate_per_s = item.rate_per_s
            share.burst = item.burst
            self._shares[item.name] = share

    async def admit(
        self, workspace: str, *, is_new: bool, wait_ms: int
    ) -> None:
        """Return once a request of a workspace may go on.

        Args:
            workspace: Whose request.
            is_new: Whether it begins a program.
            wait_ms: Longest wait for a token, milliseconds.

        Raises:
            CallError: The workspace has used its rate.
        """
        share = self._shares.get(workspace)
        if share is None or share.try_take(self._clock.now_ms()):
            return
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            retry_ms = await self._refill(workspace, share, is_new)
            now_ms = self._clock.now_ms()
            if share.try_take(now_ms):
                return
            if now_ms + retry_ms >= until_ms:
                break
            await self._clock.sleep_ms(max(1, retry_ms))
        raise CallError(
            ErrorCode.RATE_LIMITED,
            f'workspace "{workspace}" has used its rate of '
            f'{share.rate_per_s:g}/s with a burst of {share.burst:g}',
            retry_after_ms=retry_ms,
        )

    async def _refill(self, workspace: str, share: _Share, is_new: bool) -> int:
        """Ask the owner for a token; return when to come back if none came."""
        asked_ms = self._clock.now_ms()
        try:
            granted, wait_ms = await self._ask(workspace, is_new)
        except CallError:
            return share.bucket.wait_ms() or _DEFAULT_RETRY_MS
        if granted:
            if self._clock.now_ms() >= share.granted_until_ms:
                share.granted = 0
            share.granted += granted
            # Counted from the question, so that no grant outlives its time.
            share.granted_until_ms = asked_ms + self._grant_ms
        return wait_ms or _DEFAULT_RETRY_MS
