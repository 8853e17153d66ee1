"""Limits of the workspaces' shared rates, granted by a single owner.

The owner is the leader of the control group. It stores *checkpoints* in the
group's log, so that the next owner knows what may have been granted: a
checkpoint holds the tokens granted in the last window, and its *allowance* is
what the owner may grant until it has stored a newer one. A new owner counts both
as granted at the latest possible time. All owners together therefore never
exceed one limit, however often they change. Only the checkpoints of workspaces
that were granted tokens are stored anew.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.messages import GrantReply, RateCheckpoint
from acaciaramp.limits.window import WindowLimit

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import GrantRequest
    from acaciaramp.routing.model import WorkspacePolicy

    Checkpoints = dict[str, RateCheckpoint]

# Share of each rate that the owner grants. Entry instances keep the rest, so
# that one that is partitioned from the owner can still admit requests.
_POOLED_SHARE = 0.9
# Lifetime of a granted token. Tokens granted up to this long before a quota
# window may be used within it; a tenth of the 5 s window is within the allowed
# overrun.
GRANT_LIFETIME_MS = 500
# Share of each window that the owner may grant between two checkpoints. A
# larger share leaves the next owner fewer tokens to start with.
_ALLOWANCE_SHARE = 0.25
_MIN_ALLOWANCE = 8
# Parts of a window in which checkpoints count grants separately, so that they
# leave the window of the next owner one after the other.
_AGES = 10
# Retry delay for a token that needs a newer checkpoint; a commit takes about as
# long.
_CHECKPOINT_WAIT_MS = 20


class _RatePool(msgspec.Struct):
    """The pooled share of one workspace's rate.

    Attributes:
        limit: Its limit.
        allowance: Tokens that may be granted before the next checkpoint is
            stored.
        granted: Tokens granted since the newest checkpoint was made.
        is_stored: Whether a checkpoint of this owner was stored.
    """

    limit: WindowLimit
    allowance: int = 0
    granted: int = 0
    is_stored: bool = False


class RatePools:
    """The pooled shares of all workspaces' rates."""

    def __init__(self, clock: Clock, window_ms: int) -> None:
        """Create the pools without workspaces.

        Args:
            clock: Source of time for the limits.
            window_ms: Window over which rates are limited, milliseconds.
        """
        self._clock = clock
        self._window_ms = window_ms
        self._pools: dict[str, _RatePool] = {}
        self._checkpoints: dict[str, RateCheckpoint] = {}
        self._applied_ms: dict[str, int] = {}

    @property
    def has_granted(self) -> bool:
        """Whether any token was granted since the newest checkpoints."""
        return any(pool.granted for pool in self._pools.values())

    def start(
        self, checkpoints: Checkpoints, applied_ms: dict[str, int]
    ) -> None:
        """Drop all pools; ``configure`` recreates them from checkpoints.

        Args:
            checkpoints: The previous owners' stored checkpoints.
            applied_ms: When this instance applied each, on its clock.
        """
        self._pools = {}
        self._checkpoints = dict(checkpoints)
        self._applied_ms = dict(applied_ms)

    def configure(
        self, workspaces: tuple[WorkspacePolicy, ...], entries: int
    ) -> None:
        """Apply the rates of a routing table.

        Args:
            workspaces: All workspaces.
            entries: Number of entry instances that share the rates.
        """
        previous = self._pools
        self._pools = {}
        for item in workspaces:
            if item.rate_per_s <= 0:
                continue
            share = 1 - entries * local_share(item, entries)
            rate = share * item.rate_per_s
            burst = share * item.burst
            pool = previous.get(item.name)
            if pool is None:
                pool = _RatePool(self._make_limit(item.name, rate, burst))
            pool.limit.set_limits(rate, burst)
            self._pools[item.name] = pool

    def make_checkpoints(self) -> Checkpoints:
        """Return the checkpoints to store next; reset the grant counts.

        Those that are still true and allow enough grants are left out.
        """
        checkpoints: dict[str, RateCheckpoint] = {}
        for workspace, pool in self._pools.items():
            is_due = pool.granted or not pool.is_stored
            if not is_due and not _is_allowance_low(pool):
                continue
            allowance = _possible_allowance(pool)
            checkpoints[workspace] = RateCheckpoint(
                allowance, pool.limit.counts_by_age(_AGES)
            )
            pool.granted = 0
        return checkpoints

    def on_checkpoints_stored(self, checkpoints: Checkpoints) -> None:
        """Set the allowances of checkpoints that have been committed.

        Tokens granted since the checkpoints were made are subtracted.
        """
        for workspace, checkpoint in checkpoints.items():
            pool = self._pools.get(workspace)
            if pool is not None:
                pool.allowance = checkpoint.allowance - pool.granted
                pool.is_stored = True

    def grant(self, req: GrantRequest) -> GrantReply:
        """Grant a token of a workspace's rate, if one is available."""
        pool = self._pools.get(req.workspace)
        if pool is None:
            return GrantReply(0)
        if not pool.limit.has_token():
            return GrantReply(0, pool.limit.wait_ms())
        if pool.allowance < 1:
            return GrantReply(0, _CHECKPOINT_WAIT_MS)
        pool.limit.try_consume()
        pool.allowance -= 1
        pool.granted += 1
        return GrantReply(1)

    def take_back(self, workspace: str) -> None:
        """Take back a granted token that is not used."""
        pool = self._pools.get(workspace)
        if pool is not None:
            pool.limit.forget()

    def needs_checkpoint(self) -> bool:
        """Return whether an allowance runs out while its limit has tokens."""
        return any(map(_is_allowance_low, self._pools.values()))

    def is_allowance_low(self, workspace: str) -> bool:
        """Return whether the allowance of a workspace runs out."""
        pool = self._pools.get(workspace)
        return pool is not None and _is_allowance_low(pool)

    def _make_limit(
        self, workspace: str, rate: float, burst: float
    ) -> WindowLimit:
        """Create the limit of a workspace that has none yet.

        Without a checkpoint, a whole window may just have been granted.
        """
        now_ms = self._clock.now_ms()
        limit = WindowLimit(rate, burst, self._window_ms, self._clock)
        checkpoint = self._checkpoints.pop(workspace, None)
        if checkpoint is None or not checkpoint.by_age:
            limit.record(math.ceil(limit.most), now_ms)
            return limit
        applied_ms = self._applied_ms.get(workspace, now_ms)
        limit.record_by_age(checkpoint.by_age, applied_ms)
        limit.record(checkpoint.allowance, now_ms)
        return limit


def local_share(workspace: WorkspacePolicy, entries: int) -> float:
    """Return the share of a workspace's rate that each entry instance keeps.

    It is 0 where that share of the burst is less than one token, since such a
    bucket would never admit a request.

    Args:
        workspace: The workspace.
        entries: Number of entry instances.
    """
    share = (1 - _POOLED_SHARE) / max(1, entries)
    return share if share * workspace.burst >= 1 else 0


def _possible_allowance(pool: _RatePool) -> int:
    """Return the number of tokens that a checkpoint made now would allow."""
    most = max(_MIN_ALLOWANCE, _ALLOWANCE_SHARE * pool.limit.most)
    return max(0, int(min(pool.limit.tokens, most)))


def _is_allowance_low(pool: _RatePool) -> bool:
    """Return whether a checkpoint would at least double the allowance."""
    return _possible_allowance(pool) > 2 * max(0, pool.allowance)
