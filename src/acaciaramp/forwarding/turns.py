"""Opens the turn of a call before it is forwarded and settles it after."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.conversations.messages import TurnKey
from acaciaramp.conversations.turns import (
    LEDGER_RETRY_AFTER_MS,
    OpenedTurn,
    TurnManager,
    TurnPlan,
    TurnResult,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import WorkspaceId
from acaciaramp.metrics.names import Timer
from acaciaramp.routing.model import RouteKind
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.conversations.messages import StreamOrigin
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.relay import Relay
    from acaciaramp.metrics.client import Metrics

logger = get_logger('gateway')


class TurnLifecycle:
    """Connects the calls of an entry instance with the ledger."""

    def __init__(
        self, turns: TurnManager, clock: Clock, metrics: Metrics
    ) -> None:
        """Create the turn lifecycle.

        Args:
            turns: Opens, commits and settles turns on the ledger.
            clock: Source of time.
            metrics: Records the latency of the ledger.
        """
        self._metrics = metrics
        self._turns = turns
        self._clock = clock

    def needs_ledger(self, call: Call) -> bool:
        """Return whether ``open`` asks the ledger about a call."""
        is_stream = call.route.kind is RouteKind.STREAMING
        return is_stream and _plan(call).needs_ledger

    async def open(self, call: Call) -> OpenedTurn | None:
        """Open the turn of a call.

        Returns:
            The opened turn; None if the route is not a streaming one, or the
            call has no budget, continues no turn and is neither retained nor
            resumable.

        Raises:
            CallError: The turn must not be sent to an endpoint.
        """
        if call.route.kind is not RouteKind.STREAMING:
            return None
        plan = _plan(call)
        is_stored = plan.retention_ms > 0 or call.begins_stream
        if not plan.needs_ledger and not is_stored:
            return None
        left_ms = call.deadline_ms - self._clock.now_ms()
        started_ms = self._clock.now_ms()
        turn = await self._turns.open(plan, left_ms)
        self._metrics.record_duration(
            Timer.LEDGER, self._clock.now_ms() - started_ms
        )
        logger.info(
            'Opened a turn; it is admitted and forwarded next.',
            attempt=call.inbound.attempt,
            program=plan.program,
            previous=plan.previous,
            resumes=plan.resumes,
            origin=None if turn.origin is None else turn.origin.version,
            took_ms=self._clock.now_ms() - call.inbound.started_ms,
        )
        return turn

    async def record_origin(self, call: Call, origin: StreamOrigin) -> None:
        """Commit the origin of the stream that a call is about to begin.

        Raises:
            CallError: The ledger did not reply in time.
        """
        if call.turn is None:
            return
        logger.info(
            'Recording another origin of a stream that begins.',
            attempt=call.inbound.attempt,
            service=origin.service,
            version=origin.version,
        )
        left_ms = call.deadline_ms - self._clock.now_ms()
        try:
            await self._turns.record_origin(call.turn, origin, left_ms)
        except CallError as exc:
            raise CallError(
                ErrorCode.HOME_UNREACHABLE,
                f'the ledger does not answer: {exc}',
                call.verdict,
                retry_after_ms=LEDGER_RETRY_AFTER_MS,
            ) from None

    def make_before_finish(
        self, call: Call
    ) -> Callable[[Relay], Awaitable[None]]:
        """Return the callback that settles or commits the turn of a call.

        A relay calls it when the response has arrived completely, before its
        end is sent to the caller.
        """

        async def before_finish(relay: Relay) -> None:
            turn = call.turn
            if turn is None:
                return
            if not relay.is_success:
                self._turns.settle(turn.plan, 0)
                return
            tokens = relay.events.events * call.tokens_per_event
            if not turn.plan.retention_ms:
                self._turns.settle(turn.plan, tokens, call.endpoint)
                return
            result = TurnResult(
                tokens=tokens,
                output=bytes(relay.events.content),
                endpoint=call.endpoint,
            )
            with anyio.CancelScope(shield=True):
                await self._commit(turn, result)
            call.turn = None

        return before_finish

    def settle_failed(self, call: Call) -> None:
        """Release the turn of a call that failed, if no endpoint has run it.

        Only the call knows whether an endpoint has: the error that ended it may
        be about another request, such as one to the ledger. If an endpoint may
        have run it, the number of generated tokens is unknown and the whole
        reservation stays used.
        """
        if call.turn is None:
            return
        is_released = call.verdict is Verdict.NOT_RUN
        logger.info(
            'A turn ended without a whole response.',
            attempt=call.inbound.attempt,
            program=call.inbound.turn.program,
            is_released=is_released,
        )
        if is_released:
            self._turns.release(call.turn.plan)

    async def _commit(self, turn: OpenedTurn, result: TurnResult) -> None:
        """Commit a turn whose response has arrived completely.

        Its tokens have been handed out by then, so that they are settled also if
        it is not stored.

        Raises:
            CallError: The ledger did not store it.
        """
        try:
            await self._turns.commit(turn, result)
        except CallError as exc:
            self._turns.settle(turn.plan, result.tokens, result.endpoint)
            raise CallError(
                ErrorCode.HOME_UNREACHABLE,
                f'the ledger did not commit the turn: {exc}',
                Verdict.RAN,
            ) from None


def _plan(call: Call) -> TurnPlan:
    params = call.inbound.turn
    retention_ms = 0
    if call.route.has_retained_turns:
        retention_ms = max(1, call.route.retention_ms)
    return TurnPlan(
        key=TurnKey(call.workspace or WorkspaceId(''), call.inbound.attempt),
        program=params.program,
        budget=params.budget,
        most_tokens=params.most_tokens,
        previous=params.previous if call.route.has_retained_turns else None,
        content=call.inbound.body,
        retention_ms=retention_ms,
        origin=call.expected_origin,
        resumes=call.inbound.resumed if call.resumes_stream else None,
        timeout_ms=call.deadline_ms - call.inbound.started_ms,
        regions=call.allowed_regions,
    )
