"""Tokens of the workspaces' common rates, granted by one owner.

The owner is the leader of the control group. So that the next one knows what
is left, the owner stores levels in the group's log: tokens that it will not
grant before it has stored newer ones. What lies above a level is its
*allowance*. A new owner starts from the stored levels and what has come since
it learned of them, so that owners grant no more than one rate together, however
often they change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.coordination.messages import GrantReply, RateLevel
from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.routing.model import WorkspacePolicy

    Levels = dict[str, RateLevel]

# Part of each rate that the owner grants; entries keep the rest for
# themselves, so that one that is cut off can go on.
_POOLED_PART = 0.9
# Part of each burst that is kept for programs under way: a program that is
# refused in its middle has used tokens for nothing.
_KEPT_PART = 0.3
# A window of the quota may see a grant's whole life more than its length;
# a tenth of five seconds stays within the overrun that is allowed.
GRANT_MS = 500
# Part of each burst that the owner may grant between two stored levels; more
# makes the next owner start with less.
_ALLOWED_PART = 0.5
_LEAST_ALLOWED = 4
# When a token that waits for newer levels can be had; a commit takes less.
_STORE_WAIT_MS = 40


class _Pool(msgspec.Struct):
    """The pooled part of one workspace's rate.

    Attributes:
        bucket: Its tokens.
        allowance: Tokens that may be granted before newer levels are stored.
        granted: Tokens granted since the newest levels were taken.
    """

    bucket: TokenBucket
    allowance: int = 0
    granted: int = 0


class Grants:
    """The pooled part of each workspace's rate."""

    def __init__(self, clock: Clock) -> None:
        """Create the pool without workspaces.

        Args:
            clock: Refills the pool.
        """
        self._clock = clock
        self._pools: dict[str, _Pool] = {}
        self._levels: dict[str, RateLevel] = {}
        self._since_ms = clock.now_ms()

    @property
    def has_granted(self) -> bool:
        """Whether anything was granted since levels were taken."""
        return any(pool.granted for pool in self._pools.values())

    def start(self, levels: Levels, since_ms: int) -> None:
        """Become the owner.

        Args:
            levels: What the owner before promised.
            since_ms: When this instance learned of them.
        """
        self._pools = {}
        self._levels = dict(levels)
        self._since_ms = since_ms

    def configure(
        self, workspaces: tuple[WorkspacePolicy, ...], entries: int
    ) -> None:
        """Take over the rates of a routing table.

        Args:
            workspaces: All workspaces.
            entries: How many entries share the rates.
        """
        known = self._pools
        self._pools = {}
        for item in workspaces:
            if item.rate_per_s <= 0:
                continue
            part = 1 - entries * own_part(item, entries)
            rate = part * item.rate_per_s
            burst = part * item.burst
            pool = known.get(item.name)
            if pool is None:
                pool = _Pool(self._bucket(item.name, rate, burst))
            pool.bucket.set_limits(rate, burst)
            self._pools[item.name] = pool

    def take_levels(self) -> Levels:
        """Return the levels to store next."""
        levels: dict[str, RateLevel] = {}
        for workspace, pool in self._pools.items():
            held = pool.bucket.tokens
            allowed = max(_LEAST_ALLOWED, _ALLOWED_PART * pool.bucket.burst)
            allowance = int(min(held, allowed))
            levels[workspace] = RateLevel(held - allowance, allowance)
            pool.granted = 0
        return levels

    def take_stored(self, levels: Levels) -> None:
        """Take note that levels are stored."""
        for workspace, level in levels.items():
            pool = self._pools.get(workspace)
            if pool is not None:
                pool.allowance = level.allowance - pool.granted

    def grant(self, workspace: str, *, is_new: bool) -> GrantReply:
        """Return a token of a workspace, if there is one.

        Args:
            workspace: Whose rate.
            is_new: Whether it is for a program that has not begun; the last
                tokens are for those that have.
        """
        pool = self._pools.get(workspace)
        if pool is None:
            return GrantReply(0)
        reserve = _KEPT_PART * pool.bucket.burst if is_new else 0
        if not pool.bucket.has_token(reserve):
            return GrantReply(0, pool.bucket.wait_ms(reserve))
        if pool.allowance < 1:
            return GrantReply(0, _STORE_WAIT_MS)
        pool.bucket.try_consume()
        pool.allowance -= 1
        pool.granted += 1
        return GrantReply(1)

    def is_short(self) -> bool:
        """Return whether levels had better be stored soon."""
        return any(
            pool.allowance < _LEAST_ALLOWED and pool.bucket.has_token()
            for pool in self._pools.values()
        )

    def _bucket(self, workspace: str, rate: float, burst: float) -> TokenBucket:
        """Return the bucket of a workspace that was not known before.

        One that the owner before had is filled since its level was learned of,
        short of what that owner may have granted; any other one starts empty.
        """
        level = self._levels.pop(workspace, None)
        if level is None:
            return TokenBucket(rate, burst, self._clock.now_ms(), self._clock)
        most = max(0, burst - level.allowance)
        bucket = TokenBucket(rate, most, self._since_ms, self._clock)
        bucket.add(level.tokens)
        return bucket


def own_part(workspace: WorkspacePolicy, entries: int) -> float:
    """Return the part of a workspace's rate that one of some entries keeps.

    A part of a burst that holds no whole token would never admit anything.
    """
    part = (1 - _POOLED_PART) / max(1, entries)
    return part if part * workspace.burst >= 1 else 0
