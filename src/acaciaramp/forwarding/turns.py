"""Turns among the requests: opened before they are sent, then settled."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.conversations.messages import TurnKey
from acaciaramp.conversations.turns import OpenedTurn, TurnManager, TurnPlan
from acaciaramp.ids import WorkspaceId
from acaciaramp.metrics.names import Timer
from acaciaramp.routing.model import RouteKind
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.relay import Relay
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.router import Router

logger = get_logger('gateway')

# A turn that is whole is kept before its end is told; a new leader of the
# ledger is found in this time.
_KEEP_WAIT_MS = 3_000


class TurnLifecycle:
    """What the calls of one entry ask of the ledger."""

    def __init__(
        self, turns: TurnManager, router: Router, clock: Clock, metrics: Metrics
    ) -> None:
        """Create the part.

        Args:
            turns: Reserves, keeps and settles.
            router: Knows how many tokens an event has.
            clock: Source of time.
            metrics: Times the ledger.
        """
        self._metrics = metrics
        self._turns = turns
        self._router = router
        self._clock = clock

    async def open(self, call: Call) -> OpenedTurn | None:
        """Return the turn that a call is, None if it needs no ledger.

        Raises:
            CallError: The turn must not be sent.
        """
        if call.route.kind is not RouteKind.STREAMING:
            return None
        plan = _plan(call)
        if not plan.needs_ledger and not plan.retention_ms:
            return None
        left_ms = call.give_up_ms - self._clock.now_ms()
        asked_ms = self._clock.now_ms()
        turn = await self._turns.open(plan, left_ms)
        self._metrics.record_duration(
            Timer.LEDGER, self._clock.now_ms() - asked_ms
        )
        logger.info(
            'A turn is open.',
            attempt=call.inbound.attempt,
            program=plan.program,
            previous=plan.previous,
            took_ms=self._clock.now_ms() - call.inbound.started_ms,
        )
        return turn

    def before_end_of(self, call: Call) -> Callable[[Relay], Awaitable[None]]:
        """Return what is done when an answer has come, before its end."""

        async def before_end(relay: Relay) -> None:
            turn = call.turn
            if turn is None:
                return
            if not relay.is_success:
                self._turns.settle(turn.plan, 0)
                return
            tokens = self._tokens(call, relay)
            if not turn.plan.retention_ms:
                self._turns.settle(turn.plan, tokens)
                return
            output = bytes(relay.events.content)
            with anyio.CancelScope(shield=True):
                await self._turns.keep(turn, tokens, output, _KEEP_WAIT_MS)
            call.turn = None

        return before_end

    def settle_failed(self, call: Call, verdict: Verdict) -> None:
        """Settle a turn without a whole answer.

        It counts at its most where an endpoint may have run it, since nobody
        knows what it generated.
        """
        if call.turn is not None and verdict is Verdict.NOT_RUN:
            self._turns.give_back(call.turn.plan)

    def _tokens(self, call: Call, relay: Relay) -> int:
        service = self._router.services.get(call.service)
        per_event = 0 if service is None else service.tokens_per_event
        return relay.events.events * per_event


def _plan(call: Call) -> TurnPlan:
    terms = call.inbound.turn
    retention_ms = 0
    if call.route.is_retained:
        retention_ms = max(1, call.route.retention_ms)
    return TurnPlan(
        key=TurnKey(call.workspace or WorkspaceId(''), call.inbound.attempt),
        program=terms.program,
        budget=terms.budget,
        most_tokens=terms.most_tokens,
        previous=terms.previous if call.route.is_retained else None,
        content=call.inbound.body,
        retention_ms=retention_ms,
    )
