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

from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.limits.bucket import TokenBucket

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Workspace

_BUSY_MS = 500
_LEAST_SHARE = 1e-9


class Loan(NamedTuple):
    """Part of a share that another instance uses for a while.

    Attributes:
        share: The part, of 1 for the whole workspace.
        tokens: Tokens that go along.
    """

    share: float
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
        self._lent: list[tuple[int, float]] = []
        if usable_ms > clock.now_ms():
            self._lent.append((usable_ms, base))
        self._borrowed: list[tuple[int, float]] = []
        self._used_ms = clock.now_ms() - _BUSY_MS
        self._bucket = TokenBucket(
            workspace.rate * base, workspace.burst * base, usable_ms, clock
        )

    @property
    def current(self) -> float:
        """The part that may be used now, of 1 for the whole."""
        lent = sum(part for _, part in self._lent)
        borrowed = sum(part for _, part in self._borrowed)
        return max(0, self._base - lent + borrowed)

    def change(self, workspace: Workspace) -> None:
        """Take the rate and burst of a new document."""
        self._workspace = workspace
        self._adjust()

    def try_admit(self) -> bool:
        """Take one token if there is one."""
        self.end_loans()
        self._used_ms = self._clock.now_ms()
        return self._bucket.try_take()

    def wait_ms(self) -> int | None:
        """Return when the next token comes, None if none does."""
        return self._bucket.wait_ms()

    def lend(self, duration_ms: int, *, gives_way: bool) -> Loan:
        """Lend what is not needed here: all when idle, else half.

        Only what is the instance's own is lent, and nothing while requests
        wait here. Fractions of a token that lie on several instances would
        serve nobody, so one of two gives way.

        Args:
            duration_ms: How long the loan lasts, milliseconds.
            gives_way: Whether less than a whole token goes to the other one.
        """
        self.end_loans()
        own = self._base - sum(part for _, part in self._lent)
        is_idle = self._clock.now_ms() - self._used_ms >= _BUSY_MS
        is_short = self.waiting > 0 and not self._bucket.has_token()
        if self.waiting and not (is_short and gives_way):
            return Loan(0, 0)
        part = own if is_idle or is_short else own / 2
        fraction: float = 1
        if not is_short:
            fraction = min(1, part / max(self.current, _LEAST_SHARE))
        tokens = self._bucket.take_fraction(fraction)
        self._lent.append((self._clock.now_ms() + duration_ms, part))
        self._adjust()
        return Loan(part, tokens)

    def borrow(self, loan: Loan, asked_ms: int, duration_ms: int) -> None:
        """Use a loan until it runs out.

        Args:
            loan: What was lent.
            asked_ms: When it was asked for, on this instance's clock.
            duration_ms: How long the loan lasts, milliseconds.
        """
        end_ms = asked_ms + duration_ms
        if end_ms <= self._clock.now_ms():
            return
        self._borrowed.append((end_ms, loan.share))
        self._adjust()
        self._bucket.add(loan.tokens)

    def end_loans(self) -> None:
        """Stop using what was borrowed and is over; use again what was lent."""
        now_ms = self._clock.now_ms()
        lent = [item for item in self._lent if item[0] > now_ms]
        borrowed = [item for item in self._borrowed if item[0] > now_ms]
        if (lent, borrowed) != (self._lent, self._borrowed):
            self._lent = lent
            self._borrowed = borrowed
            self._adjust()

    def _adjust(self) -> None:
        current = self.current
        self._bucket.change(
            self._workspace.rate * current, self._workspace.burst * current
        )
