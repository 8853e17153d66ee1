"""Rate limiting with local shares and tokens granted by a central owner."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.routing.model import WorkspacePolicy

_DEFAULT_RETRY_MS = 500
# Pause before the owner is asked again after it did not reply.
_OWNER_RETRY_MS = 50
# The instances elect another owner within this time.
_OWNER_RETRY_AFTER_MS = 900


# Requests a token for a workspace. Returns the number of tokens granted, 1 or 0, and the time
# after which to ask again, milliseconds, or None if unknown.
RequestTokens = Callable[[str], Awaitable[tuple[int, int | None]]]


class Patience(NamedTuple):
    """How long a request may wait for a token, milliseconds.

    Attributes:
        token_ms: While the owner of the rate has no token.
        owner_ms: While the owner does not reply, as when another one is being
            elected.
    """

    token_ms: int
    owner_ms: int


class _Retry(NamedTuple):
    """When to request a token again, and whether the owner has replied."""

    after_ms: int
    has_owner: bool


class _WorkspaceQuota:
    """Tokens of one workspace that one entry instance may use."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.granted = 0
        self.granted_until_ms = 0

    def has_token(self, now_ms: int) -> bool:
        """Return whether there is a granted or a local token."""
        return self._has_granted(now_ms) or self.bucket.has_token()

    def try_consume(self, now_ms: int) -> bool:
        """Consume a granted or a local token; return whether there was one."""
        return self.pop_granted(now_ms) or self.bucket.try_consume()

    def pop_granted(self, now_ms: int) -> bool:
        """Consume a granted token; return whether there was one."""
        if not self._has_granted(now_ms):
            return False
        self.granted -= 1
        return True

    def _has_granted(self, now_ms: int) -> bool:
        return self.granted > 0 and now_ms < self.granted_until_ms


class Quota:
    """Admits requests of one entry instance within the workspaces' rates.

    A part of each rate is divided evenly among the entry instances and consumed
    locally; the remainder is granted token by token by one owner. All buckets
    start empty.
    """

    def __init__(
        self, request_tokens: RequestTokens, grant_ms: int, clock: Clock
    ) -> None:
        """Create the quota without workspaces.

        Args:
            request_tokens: Requests a token from the owner; raises
                ``CallError``.
            grant_ms: Lifetime of granted tokens, milliseconds.
            clock: Source of time.
        """
        self._request_tokens = request_tokens
        self._grant_ms = grant_ms
        self._clock = clock
        self._shares: dict[str, _WorkspaceQuota] = {}

    def configure(
        self,
        workspaces: tuple[WorkspacePolicy, ...],
        share_of: Callable[[WorkspacePolicy], float],
    ) -> None:
        """Set the rates of all workspaces.

        Workspaces without a rate are not limited.

        Args:
            workspaces: All workspaces.
            share_of: Returns this entry instance's local share of a rate, 0
                to 1.
        """
        previous = self._shares
        self._shares = {}
        for item in workspaces:
            if item.rate_per_s <= 0:
                continue
            fraction = share_of(item)
            rate = fraction * item.rate_per_s
            burst = fraction * item.burst
            share = previous.get(item.name)
            if share is None:
                now_ms = self._clock.now_ms()
                bucket = TokenBucket(rate, burst, now_ms, self._clock)
                share = _WorkspaceQuota(bucket)
            share.bucket.set_limits(rate, burst)
            share.rate_per_s = item.rate_per_s
            share.burst = item.burst
            self._shares[item.name] = share

    async def prefetch(self, workspace: str) -> None:
        """Request a token that a request is about to need, without waiting.

        Nothing is requested if a token is available here.

        Args:
            workspace: Workspace of the request.
        """
        share = self._shares.get(workspace)
        if share is None or share.has_token(self._clock.now_ms()):
            return
        await self._request_grant(workspace, share)

    def pop_granted(self, workspace: str) -> bool:
        """Drop a granted token that is not used; return whether there was one.

        The caller may return it to the owner.

        Args:
            workspace: Workspace of the token.
        """
        share = self._shares.get(workspace)
        return share is not None and share.pop_granted(self._clock.now_ms())

    async def admit(self, workspace: str, patience: Patience) -> None:
        """Wait for a token and consume it for one request.

        Args:
            workspace: Workspace of the request.
            patience: Longest waits for a token.

        Raises:
            CallError: No token is available within the longest wait.
        """
        share = self._shares.get(workspace)
        if share is None or share.try_consume(self._clock.now_ms()):
            return
        started_ms = self._clock.now_ms()
        while True:
            retry = await self._request_grant(workspace, share)
            now_ms = self._clock.now_ms()
            if share.try_consume(now_ms):
                return
            longest_ms = patience.token_ms
            if not retry.has_owner:
                longest_ms = patience.owner_ms
            if now_ms + retry.after_ms >= started_ms + longest_ms:
                break
            await self._clock.sleep_ms(max(1, retry.after_ms))
        raise _refusal(workspace, share, retry)

    async def _request_grant(
        self, workspace: str, share: _WorkspaceQuota
    ) -> _Retry:
        """Request a token from the owner; return when to request again."""
        requested_ms = self._clock.now_ms()
        try:
            granted, wait_ms = await self._request_tokens(workspace)
        except CallError:
            return _Retry(_OWNER_RETRY_MS, has_owner=False)
        if granted:
            if self._clock.now_ms() >= share.granted_until_ms:
                share.granted = 0
            share.granted += granted
            # Counted from the request, so that a token does not outlive the
            # lifetime that the owner assumes if the reply is late.
            share.granted_until_ms = requested_ms + self._grant_ms
        return _Retry(wait_ms or _DEFAULT_RETRY_MS, has_owner=True)


def _refusal(
    workspace: str, share: _WorkspaceQuota, retry: _Retry
) -> CallError:
    if retry.has_owner:
        return CallError(
            ErrorCode.RATE_LIMITED,
            f'workspace "{workspace}" has used its rate of '
            f'{share.rate_per_s:g}/s with a burst of {share.burst:g}',
            retry_after_ms=retry.after_ms,
        )
    return CallError(
        ErrorCode.RATE_LIMITED,
        f'the owner of the rate of workspace "{workspace}" does not answer',
        retry_after_ms=_OWNER_RETRY_AFTER_MS,
    )
