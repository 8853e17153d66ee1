"""One instance's share of a workspace's rate limit, with loans.

The shares in use on all instances never add up to more than the whole. A lender
stops using a part before it replies and uses it again only once the loan has
expired on its own clock; the borrower counts the duration from its request. So
lost or late messages cannot break the sum, and clocks need not agree.

An instance does not store what it admitted or lent before a restart. A share
therefore starts without tokens, and all of it counts as lent until the longest
possible loan from before the start has expired.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.limits.bucket import TokenBucket
from acaciaramp.limits.messages import LoanPart

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Workspace

_IDLE_AFTER_MS = 500
# Smaller borrowed parts are not lent on; also prevents a division by zero.
_MIN_SHARE = 1e-9
_MAX_PARTS = 32


class Loan(NamedTuple):
    """Parts of a share that another instance may use for a limited time.

    Attributes:
        parts: The lent parts, which end at different times.
        tokens: Tokens moved from the lender's bucket to the borrower's.
    """

    parts: list[LoanPart]
    tokens: float


class Share:
    """One instance's share of the rate and burst of one workspace.

    Attributes:
        waiting: Number of requests that wait for a token here.
    """

    def __init__(
        self,
        workspace: Workspace,
        base_share: float,
        ready_ms: int,
        clock: Clock,
    ) -> None:
        """Create the share without tokens.

        Args:
            workspace: The workspace, with its rate and burst.
            base_share: The share without loans, 0 to 1.
            ready_ms: Time at which all loans from before the start have
                expired, on ``clock``.
            clock: Source of time.
        """
        self.waiting = 0
        self._workspace = workspace
        self._base_share = base_share
        self._clock = clock
        self._lent: dict[int, float] = {}
        if ready_ms > clock.now_ms():
            self._lent[ready_ms] = base_share
        self._borrowed: dict[int, float] = {}
        self._used_ms = clock.now_ms() - _IDLE_AFTER_MS
        self._bucket = TokenBucket(
            workspace.rate * base_share,
            workspace.burst * base_share,
            ready_ms,
            clock,
        )

    @property
    def current(self) -> float:
        """The share that may be used now, 0 to 1."""
        lent = sum(self._lent.values())
        borrowed = sum(self._borrowed.values())
        return max(0, self._base_share - lent + borrowed)

    def configure(self, workspace: Workspace) -> None:
        """Set the rate and burst of a new document."""
        self._workspace = workspace
        self._resize_bucket()

    def try_admit(self) -> bool:
        """Consume one token; return whether one was available."""
        self.expire_loans()
        self._used_ms = self._clock.now_ms()
        return self._bucket.try_consume()

    def wait_ms(self) -> int | None:
        """Return the wait for the next token, None if none will come."""
        return self._bucket.wait_ms()

    def lend(self, duration_ms: int, *, yields_fraction: bool) -> Loan:
        """Lend all of the share if it is idle, otherwise half of it.

        Borrowed parts are lent on for the remainder of their duration, so that
        a load that moves between instances does not wait for loans to expire.
        Nothing is lent while requests wait here, except that fractions of a
        token on two instances would admit no request on either, so one of them
        yields its fraction.

        Args:
            duration_ms: Duration of the loan, milliseconds.
            yields_fraction: Whether less than a whole token is lent although
                requests wait here.
        """
        self.expire_loans()
        is_idle = self._clock.now_ms() - self._used_ms >= _IDLE_AFTER_MS
        lacks_token = self.waiting > 0 and not self._bucket.has_token()
        if self.waiting and not (lacks_token and yields_fraction):
            return Loan([], 0)
        lent_fraction = 1 if is_idle or lacks_token else 1 / 2
        share_before = max(self.current, _MIN_SHARE)
        parts = [
            self._lend_own(lent_fraction, duration_ms),
            *self._lend_borrowed(lent_fraction),
        ]
        token_fraction: float = 1
        if not lacks_token:
            token_fraction = min(
                1, sum(part.share for part in parts) / share_before
            )
        tokens = self._bucket.consume_fraction(token_fraction)
        self._resize_bucket()
        return Loan(parts, tokens)

    def add_loan(self, loan: Loan, requested_ms: int) -> None:
        """Add a loan of another instance to the share until it expires.

        Args:
            loan: The loan; parts that have expired already are ignored.
            requested_ms: Time of the request for it, on this instance's clock.
        """
        now_ms = self._clock.now_ms()
        is_expired = True
        for part in loan.parts:
            end_ms = requested_ms + part.duration_ms
            if end_ms > now_ms:
                is_expired = False
                borrowed = self._borrowed.get(end_ms, 0)
                self._borrowed[end_ms] = borrowed + part.share
        _merge_nearest(self._borrowed, keeps_earlier=True)
        if not is_expired:
            self._resize_bucket()
            self._bucket.add(loan.tokens)

    def expire_loans(self) -> None:
        """Drop expired borrowed parts and regain lent parts that expired."""
        now_ms = self._clock.now_ms()
        lent = _unexpired(self._lent, now_ms)
        borrowed = _unexpired(self._borrowed, now_ms)
        if (lent, borrowed) != (self._lent, self._borrowed):
            self._lent = lent
            self._borrowed = borrowed
            self._resize_bucket()

    def _lend_own(self, fraction: float, duration_ms: int) -> LoanPart:
        own = self._base_share - sum(self._lent.values())
        part = own * fraction
        end_ms = self._clock.now_ms() + duration_ms
        self._lent[end_ms] = self._lent.get(end_ms, 0) + part
        _merge_nearest(self._lent, keeps_earlier=False)
        return LoanPart(part, duration_ms)

    def _lend_borrowed(self, fraction: float) -> list[LoanPart]:
        """Lend a fraction of the borrowed parts until they expire."""
        now_ms = self._clock.now_ms()
        parts = [
            LoanPart(part * fraction, end_ms - now_ms)
            for end_ms, part in self._borrowed.items()
            if part * fraction > _MIN_SHARE
        ]
        for end_ms in self._borrowed:
            self._borrowed[end_ms] *= 1 - fraction
        return parts

    def _resize_bucket(self) -> None:
        current = self.current
        self._bucket.set_limits(
            self._workspace.rate * current, self._workspace.burst * current
        )


def _unexpired(loans: dict[int, float], now_ms: int) -> dict[int, float]:
    return {end_ms: part for end_ms, part in loans.items() if end_ms > now_ms}


def _merge_nearest(loans: dict[int, float], *, keeps_earlier: bool) -> None:
    """Merge the parts with the closest ends until few enough remain.

    Otherwise the number of parts would grow with every loan that is lent on.

    Args:
        loans: Shares by the end of the loan, milliseconds.
        keeps_earlier: Whether merged parts end at the earlier of the two times,
            which is safe for a borrower; a lender needs the later one.
    """
    while len(loans) > _MAX_PARTS:
        ends_ms = sorted(loans)
        pairs = itertools.pairwise(ends_ms)
        first_ms, last_ms = min(pairs, key=_gap_ms)
        kept_ms = first_ms if keeps_earlier else last_ms
        loans[kept_ms] = loans.pop(first_ms) + loans.pop(last_ms)


def _gap_ms(pair: tuple[int, int]) -> int:
    return pair[1] - pair[0]
