"""Sends a request to endpoints until one has answered or time is up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import BadInput, Counter, Timer
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.connections import Connection, ConnectionPool
    from acaciaramp.forwarding.messages import Codec, ResponseHead
    from acaciaramp.forwarding.relay import Relay
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.metrics.client import Metrics

logger = get_logger('forwarding')

# Part of a request's time in which it is offered to full endpoints.
_OFFER_PART = 0.5
_OFFER_PAUSE_MS = 40
_RETRY_AFTER_MS = 300
# Statuses that promise that a request has not run.
_PROMISES = frozenset((408, 421, 429, 503))


class Forwarder:
    """Sends requests to endpoints."""

    def __init__(
        self,
        codec: Codec,
        placement: EndpointSelector,
        connections: ConnectionPool,
        clock: Clock,
        metrics: Metrics,
        report_crash: Callable[[str, Endpoint], None],
    ) -> None:
        """Create the forwarder.

        Args:
            codec: Reads and writes headers.
            placement: Chooses endpoints.
            connections: Connections to them.
            clock: Source of time.
            metrics: Counts retries.
            report_crash: Told of the digest of a request under which an
                endpoint broke off.
        """
        self._codec = codec
        self._placement = placement
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._report_crash = report_crash

    async def forward(self, call: Call, relay: Relay) -> None:
        """Forward a request and hand on its answer.

        Raises:
            CallError: No endpoint answered; its verdict tells whether one may
                have run the request.
            EndpointError: The answer was cut after it had begun.
        """
        excluded: set[str] = set()
        is_answered = False
        while not is_answered:
            endpoint = await self._choose(call, excluded)
            try:
                await self._attempt(call, endpoint, relay)
            except EndpointError as exc:
                self._take_failure(call, endpoint, exc)
                if relay.is_begun:
                    raise
                self._check_repeat(call, exc)
                excluded.add(endpoint.id)
            else:
                is_answered = True

    async def _choose(self, call: Call, excluded: set[str]) -> Endpoint:
        """Return the next endpoint; wait when all have refused."""
        while True:
            endpoint = self._placement.choose(call.service, call.line, excluded)
            if endpoint is not None:
                return endpoint
            now_ms = self._clock.now_ms()
            started_ms = call.inbound.started_ms
            until_ms = started_ms + _OFFER_PART * (call.give_up_ms - started_ms)
            if now_ms >= until_ms:
                raise _no_endpoint(call)
            await self._clock.sleep_ms(_OFFER_PAUSE_MS)
            excluded.clear()

    async def _attempt(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        logger.info(
            'An endpoint was chosen.',
            attempt=call.inbound.attempt,
            service=call.service,
            left_ms=call.give_up_ms - self._clock.now_ms(),
            **self._placement.explain(endpoint, call.line),
        )
        self._placement.begin(endpoint, call.line)
        try:
            await self._on_connection(call, endpoint, relay)
        finally:
            self._placement.end(endpoint)

    async def _on_connection(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        conn = await self._connections.acquire(endpoint)
        started_ms = self._clock.now_ms()
        try:
            await self._exchange(call, endpoint, relay, conn)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._connections.discard(endpoint, conn)
            raise
        self._metrics.record_duration(
            Timer.ENDPOINT, self._clock.now_ms() - started_ms
        )
        if conn.has_stray_bytes:
            self._metrics.count(Counter.BAD_INPUT, BadInput.STRAY_BYTES)
        await self._connections.release(endpoint, conn)

    async def _exchange(
        self, call: Call, endpoint: Endpoint, relay: Relay, conn: Connection
    ) -> None:
        """Send the request on a connection and hand on the answer."""
        left_ms = call.give_up_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.NOT_RUN, 'no time is left to send it'
            )
        headers = self._codec.write_request(
            call.inbound, endpoint, call.workspace, left_ms, len(call.body)
        )
        inbound = call.inbound
        try:
            with self._clock.timeout(left_ms):
                resp = await conn.send(
                    inbound.method, inbound.target, headers, call.body
                )
                head = self._codec.read_response(resp.status, resp.headers)
                self._check(call, endpoint, head)
                conn.idle_ms = head.idle_ms or conn.idle_ms
                await relay.take(head, resp)
                await resp.aclose()
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.MAY_HAVE_RUN, 'no answer came in time'
            ) from None
        self._placement.take_success(endpoint)

    def _check(
        self, call: Call, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Accept an answer only if it is that of the request, and true.

        Raises:
            EndpointError: It is not, or the endpoint refused.
        """
        if head.load is not None:
            self._placement.take_load(endpoint, head.load)
        if head.is_not_run:
            raise EndpointError(
                Failure.REFUSED,
                Verdict.NOT_RUN,
                f'the endpoint did not run it: {head.status}',
            )
        if head.attempt != call.inbound.attempt:
            self._metrics.count(Counter.BAD_INPUT, BadInput.STRAY_ANSWER)
            raise EndpointError(
                Failure.MALFORMED,
                Verdict.MAY_HAVE_RUN,
                f'an answer to "{head.attempt}" came',
            )
        if head.status in _PROMISES:
            raise EndpointError(
                Failure.SERVER_ERROR,
                Verdict.MAY_HAVE_RUN,
                f'status {head.status} without the word that it was not run',
            )

    def _take_failure(
        self, call: Call, endpoint: Endpoint, exc: EndpointError
    ) -> None:
        """Take note of a failed attempt."""
        logger.warning(
            'An attempt failed.',
            attempt=call.inbound.attempt,
            endpoint=endpoint.id,
            failure=exc.failure.value,
            verdict=exc.verdict.value,
            reason=exc,
            left_ms=call.give_up_ms - self._clock.now_ms(),
        )
        if exc.failure in {Failure.CONNECT, Failure.CONNECTION_LOST}:
            self._placement.take_failure(endpoint, exc.failure.value)
        if exc.failure is Failure.CONNECTION_LOST:
            self._report_crash(call.digest(), endpoint)
        if exc.verdict is not Verdict.NOT_RUN:
            call.runs += 1
        self._metrics.count(Counter.RETRIED, exc.failure)

    def _check_repeat(self, call: Call, exc: EndpointError) -> None:
        """Refuse to send a request again that must not run twice.

        Raises:
            CallError: No other endpoint may run it.
        """
        if exc.verdict is Verdict.NOT_RUN or call.may_run_again:
            return
        raise _unknown_outcome(exc) from None


def _unknown_outcome(exc: EndpointError) -> CallError:
    code = ErrorCode.OUTCOME_UNKNOWN
    if exc.failure is Failure.TIMEOUT:
        code = ErrorCode.DEADLINE_EXCEEDED
    return CallError(code, str(exc), exc.verdict)


def _no_endpoint(call: Call) -> CallError:
    verdict = Verdict.MAY_HAVE_RUN if call.runs else Verdict.NOT_RUN
    return CallError(
        ErrorCode.NO_ENDPOINT,
        f'no endpoint of service "{call.service}" takes the request',
        verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )
