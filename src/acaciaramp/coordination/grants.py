"""Token buckets of the workspaces' shared rates, granted by a single owner.

The owner is the leader of the control group. It stores *checkpoints* in the
group's log, so that the next owner knows how many tokens remain: a checkpoint
holds the tokens that the owner leaves in the bucket until it has stored a newer
one, and its *allowance* is what it may grant above them. A new owner starts
from the stored checkpoints and adds the tokens refilled since it applied them.
All owners together therefore never exceed one rate, however often they change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.messages import GrantReply, RateCheckpoint
from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.routing.model import WorkspacePolicy

    Checkpoints = dict[str, RateCheckpoint]

# Share of each rate that the owner grants. Entry instances keep the rest, so
# that one that is partitioned from the owner can still admit requests.
_POOLED_SHARE = 0.9
# Share of each burst reserved for programs that have started: refusing a
# program halfway wastes the tokens that it has already used.
_RESERVED_SHARE = 0.3
# Lifetime of a granted token. Tokens granted up to this long before a quota
# window may be used within it; a tenth of the 5 s window is within the allowed
# overrun.
GRANT_LIFETIME_MS = 500
# Share of each burst that the owner may grant between two checkpoints. A larger
# share leaves the next owner fewer tokens to start with.
_ALLOWANCE_SHARE = 0.5
_MIN_ALLOWANCE = 4
# Retry delay for a token that needs a newer checkpoint, longer than a commit
# takes.
_CHECKPOINT_WAIT_MS = 40


class _RatePool(msgspec.Struct):
    """The pooled share of one workspace's rate.

    Attributes:
        bucket: Its token bucket.
        allowance: Tokens that may be granted before the next checkpoint is
            stored.
        granted: Tokens granted since the newest checkpoint was made.
    """

    bucket: TokenBucket
    allowance: int = 0
    granted: int = 0


class RatePools:
    """The pooled shares of all workspaces' rates."""

    def __init__(self, clock: Clock) -> None:
        """Create the pools without workspaces.

        Args:
            clock: Source of time for the buckets.
        """
        self._clock = clock
        self._pools: dict[str, _RatePool] = {}
        self._checkpoints: dict[str, RateCheckpoint] = {}
        self._checkpoints_ms = clock.now_ms()

    @property
    def has_granted(self) -> bool:
        """Whether any token was granted since the newest checkpoints."""
        return any(pool.granted for pool in self._pools.values())

    def start(self, checkpoints: Checkpoints, applied_ms: int) -> None:
        """Drop all pools; ``configure`` recreates them from checkpoints.

        Args:
            checkpoints: The previous owner's stored checkpoints.
            applied_ms: When this instance applied them, on its clock.
        """
        self._pools = {}
        self._checkpoints = dict(checkpoints)
        self._checkpoints_ms = applied_ms

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
                pool = _RatePool(self._make_bucket(item.name, rate, burst))
            pool.bucket.set_limits(rate, burst)
            self._pools[item.name] = pool

    def make_checkpoints(self) -> Checkpoints:
        """Return the checkpoints to store next; reset the grant counts."""
        checkpoints: dict[str, RateCheckpoint] = {}
        for workspace, pool in self._pools.items():
            tokens = pool.bucket.tokens
            limit = max(_MIN_ALLOWANCE, _ALLOWANCE_SHARE * pool.bucket.burst)
            allowance = int(min(tokens, limit))
            checkpoints[workspace] = RateCheckpoint(
                tokens - allowance, allowance
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

    def grant(self, workspace: str, *, is_new: bool) -> GrantReply:
        """Grant a token of a workspace's rate, if one is available.

        Args:
            workspace: The workspace.
            is_new: Whether the token is for a program that has not started;
                the reserved tokens go only to programs that have.
        """
        pool = self._pools.get(workspace)
        if pool is None:
            return GrantReply(0)
        reserve = _RESERVED_SHARE * pool.bucket.burst if is_new else 0
        if not pool.bucket.has_token(reserve):
            return GrantReply(0, pool.bucket.wait_ms(reserve))
        if pool.allowance < 1:
            return GrantReply(0, _CHECKPOINT_WAIT_MS)
        pool.bucket.try_consume()
        pool.allowance -= 1
        pool.granted += 1
        return GrantReply(1)

    def needs_checkpoint(self) -> bool:
        """Return whether an allowance runs out while its bucket has tokens."""
        return any(
            pool.allowance < _MIN_ALLOWANCE and pool.bucket.has_token()
            for pool in self._pools.values()
        )

    def _make_bucket(
        self, workspace: str, rate: float, burst: float
    ) -> TokenBucket:
        """Create the bucket of a workspace that has none yet.

        With a checkpoint of the previous owner, the bucket refills from the
        time at which the checkpoint was applied, short of the allowance that
        the previous owner may have granted. Without one it starts empty.
        """
        checkpoint = self._checkpoints.pop(workspace, None)
        if checkpoint is None:
            return TokenBucket(rate, burst, self._clock.now_ms(), self._clock)
        capacity = max(0, burst - checkpoint.allowance)
        bucket = TokenBucket(rate, capacity, self._checkpoints_ms, self._clock)
        bucket.add(checkpoint.tokens)
        return bucket


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
