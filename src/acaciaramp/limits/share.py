"""One instance's share of a workspace, lent to and borrowed from others.

The shares in use on all instances never add up to more than the whole. A
lender stops using its part before it answers, and uses it again only when the
loan has run out on its own clock; the borrower counts from when it asked. So no
lost or late message breaks the sum, and no clocks need to agree.

An instance that starts may have run before: it does not remember what it
admitted nor what it lent. So a share begins without tokens, and all of it counts
as lent until the longest loan from before has run out.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.limits.bucket import TokenBucket
from acaciaramp.limits.messages import LoanPart

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Workspace

_BUSY_MS = 500
_LEAST_SHARE = 1e-9
_MOST_PARTS = 32


class Loan(NamedTuple):
    """Parts of a share that another instance uses for a while.

    Attributes:
        parts: The parts.
        tokens: Tokens that go along.
    """

    parts: list[LoanPart]
    tokens: float


class Share:
    """What one instance may admit of one workspace.

    Attributes:
        waiting: Requests that wait here for a token.
    """

    def __init__(
        self, workspace: Workspace, base: float, usable_ms: int, clock: Clock
    ) -> None:
        """Create the share without tokens.

        Args:
            workspace: Its rate and burst.
            base: The instance's own part, of 1 for the whole.
            usable_ms: When the loans from before the start have run out, on
                this clock.
            clock: Source of time.
        """
        self.waiting = 0
        self._workspace = workspace
        self._base = base
        self._clock = clock
        self._lent: dict[int, float] = {}
        if usable_ms > clock.now_ms():
            self._lent[usable_ms] = base
        self._borrowed: dict[int, float] = {}
        self._used_ms = clock.now_ms() - _BUSY_MS
        self._bucket = TokenBucket(
            workspace.rate * base, workspace.burst * base, usable_ms, clock
        )

    @property
    def current(self) -> float:
        """The part that may be used now, of 1 for the whole."""
        lent = sum(self._lent.values())
        borrowed = sum(self._borrowed.values())
        return max(0, self._base - lent + borrowed)

    def change(self, workspace: Workspace) -> None:
        """Take the rate and burst of a new document."""
        self._workspace = workspace
        self._adjust()

    def try_admit(self) -> bool:
        """Take one token if there is one."""
        self.end_loans()
        self._used_ms = self._clock.now_ms()
        return self._bucket.try_consume()

    def wait_ms(self) -> int | None:
        """Return when the next token comes, None if none does."""
        return self._bucket.wait_ms()

    def lend(self, duration_ms: int, *, gives_way: bool) -> Loan:
        """Lend what is not needed here: all when idle, else half.

        What was borrowed is passed on for the rest of its time, so that a
        load that moves does not wait for loans to run out. Nothing is lent
        while requests wait here. Fractions of a token that lie on several
        instances would serve nobody, so one of two gives way.

        Args:
            duration_ms: How long the loan lasts, milliseconds.
            gives_way: Whether less than a whole token goes to the other one.
        """
        self.end_loans()
        is_idle = self._clock.now_ms() - self._used_ms >= _BUSY_MS
        is_short = self.waiting > 0 and not self._bucket.has_token()
        if self.waiting and not (is_short and gives_way):
            return Loan([], 0)
        taken = 1 if is_idle or is_short else 1 / 2
        had = max(self.current, _LEAST_SHARE)
        parts = [self._lend_own(taken, duration_ms), *self._pass_on(taken)]
        fraction: float = 1
        if not is_short:
            fraction = min(1, sum(part.share for part in parts) / had)
        tokens = self._bucket.take_fraction(fraction)
        self._adjust()
        return Loan(parts, tokens)

    def borrow(self, loan: Loan, asked_ms: int) -> None:
        """Use a loan until it runs out.

        Args:
            loan: What was lent.
            asked_ms: When it was asked for, on this instance's clock.
        """
        now_ms = self._clock.now_ms()
        is_late = True
        for part in loan.parts:
            end_ms = asked_ms + part.duration_ms
            if end_ms > now_ms:
                is_late = False
                held = self._borrowed.get(end_ms, 0)
                self._borrowed[end_ms] = held + part.share
        _merge(self._borrowed, is_earlier=True)
        if not is_late:
            self._adjust()
            self._bucket.add(loan.tokens)

    def end_loans(self) -> None:
        """Stop using what was borrowed and is over; use again what was lent."""
        now_ms = self._clock.now_ms()
        lent = _lasting(self._lent, now_ms)
        borrowed = _lasting(self._borrowed, now_ms)
        if (lent, borrowed) != (self._lent, self._borrowed):
            self._lent = lent
            self._borrowed = borrowed
            self._adjust()

    def _lend_own(self, taken: float, duration_ms: int) -> LoanPart:
        own = self._base - sum(self._lent.values())
        part = own * taken
        end_ms = self._clock.now_ms() + duration_ms
        self._lent[end_ms] = self._lent.get(end_ms, 0) + part
        _merge(self._lent, is_earlier=False)
        return LoanPart(part, duration_ms)

    def _pass_on(self, taken: float) -> list[LoanPart]:
        """Give away a part of what was borrowed, for the rest of its time."""
        now_ms = self._clock.now_ms()
        given = [
            LoanPart(part * taken, end_ms - now_ms)
            for end_ms, part in self._borrowed.items()
            if part * taken > _LEAST_SHARE
        ]
        for end_ms in self._borrowed:
            self._borrowed[end_ms] *= 1 - taken
        return given

    def _adjust(self) -> None:
        current = self.current
        self._bucket.set_limits(
            self._workspace.rate * current, self._workspace.burst * current
        )


def _lasting(loans: dict[int, float], now_ms: int) -> dict[int, float]:
    return {end_ms: part for end_ms, part in loans.items() if end_ms > now_ms}


def _merge(loans: dict[int, float], *, is_earlier: bool) -> None:
    """Let parts that end at nearly the same time end together.

    Parts that are passed on would become ever more otherwise.

    Args:
        loans: Parts by their end, milliseconds.
        is_earlier: Whether both end when the first does: that is safe for a
            borrower; for a lender, both end when the last does.
    """
    while len(loans) > _MOST_PARTS:
        ends_ms = sorted(loans)
        pairs = itertools.pairwise(ends_ms)
        first_ms, last_ms = min(pairs, key=_gap_ms)
        kept_ms = first_ms if is_earlier else last_ms
        loans[kept_ms] = loans.pop(first_ms) + loans.pop(last_ms)


def _gap_ms(pair: tuple[int, int]) -> int:
    return pair[1] - pair[0]
