"""A turn at its entry: reserved before it is sent, settled when it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from acaciaramp.conversations.messages import (
    CloseTurn,
    KeptTurn,
    OpenOutcome,
    OpenTurn,
    Reservation,
    TurnKey,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.conversations.cache import ChainCache
    from acaciaramp.conversations.client import LedgerClient

logger = get_logger('conversations')

# A turn that ended is settled in the background; the ledger has a new leader
# well within this time, also after a loss of power of all instances.
_SETTLE_WAIT_MS = 15_000
# A new leader is elected within about a second.
_RETRY_AFTER_MS = 500


class TurnPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What a turn needs from the ledger.

    Attributes:
        key: Names the turn.
        program: The program, if the turn uses a budget.
        budget: Tokens that all turns of the program may generate.
        most_tokens: The most tokens that the turn generates.
        previous: The request id of the turn that it continues.
        content: Its input.
        retention_ms: How long it is kept; 0 if it is not.
    """

    key: TurnKey
    program: ProgramId | None
    budget: int | None
    most_tokens: int
    previous: str | None
    content: bytes
    retention_ms: int

    @property
    def needs_ledger(self) -> bool:
        """Whether anything has to be asked before the turn is sent."""
        return self._has_budget or self.previous is not None

    def reservation(self) -> Reservation | None:
        """Return the tokens that the turn needs, None without a budget."""
        if self.program is None or self.budget is None:
            return None
        return Reservation(
            program=self.program,
            most_tokens=self.most_tokens,
            budget=self.budget,
        )

    @property
    def _has_budget(self) -> bool:
        return self.program is not None and self.budget is not None


class OpenedTurn:
    """A turn that may be sent.

    Attributes:
        plan: What it needs from the ledger.
        chain: Contents of the turns that it continues.
        is_new: Whether it is the first turn of its program.
    """

    def __init__(self, plan: TurnPlan, chain: bytes, *, is_new: bool) -> None:
        """Create the turn."""
        self.plan = plan
        self.chain = chain
        self.is_new = is_new

    @property
    def body(self) -> bytes:
        """What the endpoint gets."""
        return self.chain + self.plan.content


class TurnManager:
    """The turns of one entry."""

    def __init__(
        self,
        ledger: LedgerClient,
        cache: ChainCache,
        clock: Clock,
        tasks: TaskGroup,
    ) -> None:
        """Create the entry's part.

        Args:
            ledger: Asks the ledger.
            cache: Chains seen lately.
            clock: Source of time.
            tasks: Where turns are settled in the background.
        """
        self._ledger = ledger
        self._cache = cache
        self._clock = clock
        self._tasks = tasks
        self._unsettled = 0

    @property
    def pending_settlements(self) -> int:
        """Turns that have ended and are not settled yet."""
        return self._unsettled

    async def open(self, plan: TurnPlan, wait_ms: int) -> OpenedTurn:
        """Reserve a turn's tokens and find what it continues.

        Args:
            plan: The turn.
            wait_ms: Longest wait, milliseconds.

        Raises:
            CallError: The budget is spent, there is no such turn to continue,
                or the ledger does not answer.
        """
        if not plan.needs_ledger:
            return OpenedTurn(plan, b'', is_new=True)
        known = self._known_chain(plan)
        req = OpenTurn(
            turn=plan.key,
            reservation=plan.reservation(),
            previous=plan.previous,
            has_chain=known is not None,
            at_ms=self._clock.wall_ms(),
        )
        try:
            reply = await self._ledger.open(req, wait_ms)
        except CallError as exc:
            self.give_back(plan)
            raise CallError(
                ErrorCode.HOME_UNREACHABLE,
                f'the ledger does not answer: {exc}',
                retry_after_ms=_RETRY_AFTER_MS,
            ) from None
        except BaseException:
            # The ledger may have reserved the tokens all the same.
            self.give_back(plan)
            raise
        if reply.outcome is OpenOutcome.EXHAUSTED:
            raise CallError(
                ErrorCode.BUDGET_EXHAUSTED,
                f'{reply.spent} of {plan.budget} tokens are used or reserved, '
                f'with {reply.under_way} turns under way or broken off; '
                f'the turn may need {plan.most_tokens}',
            )
        if reply.outcome is OpenOutcome.UNKNOWN_TURN:
            raise CallError(
                ErrorCode.UNKNOWN_STEP, f'there is no turn "{plan.previous}"'
            )
        if reply.outcome is OpenOutcome.ENDED:
            raise CallError(
                ErrorCode.BAD_REQUEST,
                f'a request "{plan.key.attempt}" has ended before',
            )
        chain = reply.chain if known is None else known
        return OpenedTurn(plan, chain, is_new=reply.is_new)

    async def keep(
        self, turn: OpenedTurn, tokens: int, output: bytes, wait_ms: int
    ) -> None:
        """Settle a whole turn and keep it; it is kept when this returns.

        Raises:
            CallError: The ledger does not answer.
        """
        plan = turn.plan
        content = plan.content + output
        now_ms = self._clock.wall_ms()
        kept = KeptTurn(
            previous=plan.previous,
            content=content,
            until_ms=now_ms + plan.retention_ms,
        )
        req = CloseTurn(
            turn=plan.key,
            program=plan.program,
            tokens=tokens,
            kept=kept,
            at_ms=now_ms,
        )
        await self._ledger.close(req, wait_ms)
        self._cache.put(plan.key, turn.chain + content)

    def settle(self, plan: TurnPlan, tokens: int) -> None:
        """Settle a turn in the background."""
        if plan.reservation() is None:
            return
        req = CloseTurn(
            turn=plan.key,
            program=plan.program,
            tokens=tokens,
            at_ms=self._clock.wall_ms(),
        )
        self._unsettled += 1
        self._tasks.start_soon(self._settle, req)

    def give_back(self, plan: TurnPlan) -> None:
        """Give back the tokens of a turn that no endpoint has run."""
        self.settle(plan, 0)

    async def _settle(self, req: CloseTurn) -> None:
        try:
            await self._ledger.close(req, _SETTLE_WAIT_MS)
        except CallError as exc:
            logger.warning(
                'A turn counts at its most: it could not be settled.',
                attempt=req.turn.attempt,
                program=req.program,
                tokens=req.tokens,
                reason=exc,
            )
        finally:
            self._unsettled -= 1

    def _known_chain(self, plan: TurnPlan) -> bytes | None:
        if plan.previous is None:
            return None
        key = TurnKey(plan.key.workspace, plan.previous)
        return self._cache.get(key)
