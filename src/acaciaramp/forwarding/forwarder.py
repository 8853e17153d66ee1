"""Forwards a request to endpoints, with retries until its deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.endpoints.failures import FINAL_STATUSES, EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.endpoint_bytes import EndpointBytes
from acaciaramp.metrics.names import BadInput, Counter, Timer
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.chooser import EndpointChooser
    from acaciaramp.forwarding.connections import Connection, ConnectionPool
    from acaciaramp.forwarding.crashes import CrashWatch
    from acaciaramp.forwarding.dialer import Dialer
    from acaciaramp.forwarding.endpoint_limits import EndpointLimits
    from acaciaramp.forwarding.messages import Codec, ResponseHead
    from acaciaramp.forwarding.reach import Reach
    from acaciaramp.forwarding.relay import Relay
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.metrics.client import Metrics

logger = get_logger('forwarding')

# Statuses that mean to a caller that its request was not executed.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A caller that comes back is likely to reach another instance.
_CUT_OFF_RETRY_AFTER_MS = 100


class Forwarder:
    """Forwards requests to endpoints and retries them where that is safe."""

    def __init__(
        self,
        codec: Codec,
        chooser: EndpointChooser,
        selector: EndpointSelector,
        limits: EndpointLimits,
        connections: ConnectionPool,
        clock: Clock,
        metrics: Metrics,
        crashes: CrashWatch,
        dialer: Dialer,
        reach: Reach,
    ) -> None:
        """Create the forwarder.

        Args:
            codec: Reads and writes the headers of the platform.
            chooser: Chooses the endpoint of each attempt.
            selector: Is told of the load and the outcome of requests.
            limits: Request limits that endpoints state.
            connections: Pool of connections to endpoints.
            clock: Source of time.
            metrics: Counts retries and invalid responses.
            crashes: Decides which failed attempts are crashes of endpoints.
            dialer: Knows whether endpoints can be reached at all.
            reach: Learns of requests that are sent directly.
        """
        self._dialer = dialer
        self._reach = reach
        self._codec = codec
        self._chooser = chooser
        self._selector = selector
        self._limits = limits
        self._connections = connections
        self._endpoint_bytes = EndpointBytes()
        self._clock = clock
        self._metrics = metrics
        self._crashes = crashes

    async def forward(self, call: Call, relay: Relay) -> None:
        """Forward a request and relay its response.

        Args:
            call: The request.
            relay: Sends the response to the caller.

        Raises:
            CallError: No endpoint responded; the verdict says whether one may
                have executed the request.
            EndpointError: The response was truncated after a part of it had
                been sent to the caller.
        """
        excluded: set[str] = set()
        is_done = False
        while not is_done:
            endpoint = await self._next_endpoint(call, excluded)
            try:
                await self._try_endpoint(call, endpoint, relay)
            except EndpointError as exc:
                self._record_failure(call, endpoint, exc)
                if relay.has_started:
                    raise
                self._check_retry(call, exc)
                excluded.add(endpoint.id)
            else:
                is_done = True

    async def _next_endpoint(self, call: Call, excluded: set[str]) -> Endpoint:
        """Return the endpoint for the next attempt.

        Raises:
            CallError: None is available or reached in any way.
        """
        regions = call.allowed_regions
        if self._dialer.is_cut_off_in(regions):
            raise CallError(
                ErrorCode.NO_ENDPOINT,
                'neither this instance nor a peer can reach the endpoints',
                call.verdict,
                retry_after_ms=_CUT_OFF_RETRY_AFTER_MS,
            )
        return await self._chooser.next_endpoint(call, excluded)

    async def _try_endpoint(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        logger.info(
            'Selected an endpoint; sending the request to it.',
            attempt=call.inbound.attempt,
            service=call.service,
            resumes=call.inbound.resumed,
            left_ms=call.deadline_ms - self._clock.now_ms(),
            program_left_ms=call.program_left_ms(self._clock.now_ms()),
            waited_ms=self._clock.now_ms() - call.inbound.started_ms,
            limit_per_s=self._limits.per_s(endpoint.id),
            **self._selector.explain(endpoint, call.endpoint_query),
        )
        query = call.endpoint_query
        timing = self._selector.start_timing(endpoint, query)
        context_tokens = query.work.context_tokens
        self._selector.record_start(endpoint, call.affinity_key, context_tokens)
        overload = self._chooser.overload
        if overload is not None:
            overload.release(call)
        call.endpoint = endpoint.id
        relay.timing = timing
        try:
            await self._send_on_connection(call, endpoint, relay)
        finally:
            self._selector.record_end(endpoint, context_tokens)
            if overload is not None:
                overload.wake(call.service)
        if relay.is_success:
            timing.record_end(call.tokens_per_event)

    async def _send_on_connection(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        with self._endpoint_bytes.sending(endpoint.id, len(call.body)):
            await self._send_counted(call, endpoint, relay)

    async def _send_counted(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        conn = await self._connections.acquire(endpoint, call.allowed_regions)
        started_ms = self._clock.now_ms()
        try:
            await self._exchange(call, endpoint, relay, conn)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._connections.discard(endpoint, conn)
            raise
        took_ms = self._clock.now_ms() - started_ms
        self._metrics.record_duration(Timer.ENDPOINT, took_ms)
        if self._chooser.overload is not None:
            self._chooser.overload.record_served(call, took_ms)
        if conn.has_stray_bytes:
            self._metrics.count(Counter.BAD_INPUT, BadInput.STRAY_BYTES)
        await self._connections.release(endpoint, conn)

    async def _exchange(
        self, call: Call, endpoint: Endpoint, relay: Relay, conn: Connection
    ) -> None:
        """Send the request on a connection and relay the response.

        Raises:
            EndpointError: The attempt failed.
        """
        sent_ms = self._clock.now_ms()
        left_ms = call.deadline_ms - sent_ms
        if left_ms <= 0:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.NOT_RUN, 'no time is left to send it'
            )
        headers = self._codec.write_request(
            call.inbound, endpoint, call.workspace, left_ms, len(call.body)
        )
        inbound = call.inbound
        call.is_sent = True
        if conn.peer is None:
            self._reach.record_sent(inbound.attempt)
            if relay.timing is not None:
                relay.timing.record_sent()
        else:
            logger.info(
                'Sending the request through a peer.',
                attempt=inbound.attempt,
                peer=conn.peer,
            )
        try:
            with self._clock.timeout(left_ms):
                resp = await conn.send(
                    inbound.method, inbound.target, headers, call.body
                )
                if conn.peer is None:
                    self._reach.record_heard(inbound.attempt)
                head = self._codec.read_response(resp.status, resp.headers)
                if head.attempt == inbound.attempt:
                    self._crashes.record_response(endpoint, sent_ms)
                self._check_response(call, endpoint, head)
                if self._chooser.overload is not None:
                    self._chooser.overload.record_response(
                        call, self._clock.now_ms() - sent_ms
                    )
                conn.idle_ms = head.idle_ms or conn.idle_ms
                call.responded_ms = self._clock.now_ms()
                await relay.send(head, resp)
                await resp.aclose()
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.MAY_HAVE_RUN, 'no answer came in time'
            ) from None
        finally:
            self._reach.record_ended(inbound.attempt)
        self._selector.record_success(endpoint)

    def _check_response(
        self, call: Call, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Check that a response belongs to the request and may be relayed.

        Raises:
            EndpointError: The status is none, or the endpoint refused the
                request, responded to another one, or sent a status that tells
                callers that a request was not executed without confirming
                that.
        """
        if head.status not in FINAL_STATUSES:
            raise EndpointError(
                Failure.MALFORMED,
                Verdict.MAY_HAVE_RUN,
                f'{head.status} is no status of a response',
            )
        if head.attempt != call.inbound.attempt:
            self._metrics.count(Counter.BAD_INPUT, BadInput.STRAY_ANSWER)
            raise EndpointError(
                Failure.MALFORMED,
                Verdict.MAY_HAVE_RUN,
                f'an answer to "{head.attempt}" came',
            )
        if head.is_leaving:
            self._selector.record_leaving(endpoint)
            self._crashes.record_leaving(endpoint)
        self._record_limit(endpoint, head)
        if head.load is not None:
            self._selector.record_load(endpoint, head.load)
            if self._chooser.overload is not None:
                self._chooser.overload.wake(call.service)
        if head.is_not_run:
            raise EndpointError(
                Failure.REFUSED,
                Verdict.NOT_RUN,
                f'the endpoint did not run it: {head.status}',
            )
        if head.status in _NOT_RUN_STATUSES:
            raise EndpointError(
                Failure.SERVER_ERROR,
                Verdict.MAY_HAVE_RUN,
                f'status {head.status} without the word that it was not run',
            )

    def _record_limit(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Record the limit in a response; a refusal without one ends none."""
        if head.limit_per_s is not None or not head.is_not_run:
            self._limits.record(endpoint, head.limit_per_s)

    def _record_failure(
        self, call: Call, endpoint: Endpoint, exc: EndpointError
    ) -> None:
        """Record a failed attempt, which may have crashed the endpoint."""
        logger.warning(
            'An attempt at an endpoint failed; retrying it if that is safe.',
            attempt=call.inbound.attempt,
            endpoint=endpoint.id,
            failure=exc.failure.value,
            verdict=exc.verdict.value,
            reason=exc,
            left_ms=call.deadline_ms - self._clock.now_ms(),
        )
        if exc.failure in {Failure.CONNECT, Failure.CONNECTION_LOST}:
            self._selector.record_failure(endpoint, exc.failure.value)
        if exc.failure is Failure.CONNECTION_LOST:
            self._reach.suspect(endpoint.id)
            self._crashes.suspect(call.digest(), endpoint)
        if exc.failure is Failure.TIMEOUT and call.is_sent:
            self._crashes.suspect_silent(call.digest(), endpoint)
        if self._chooser.overload is not None:
            self._chooser.overload.record_failure(call, exc)
        call.is_sent = False
        if exc.verdict is not Verdict.NOT_RUN:
            call.runs += 1
        self._metrics.count(Counter.RETRIED, exc.failure)

    def _check_retry(self, call: Call, exc: EndpointError) -> None:
        """Check that a request may be retried after a failed attempt.

        Raises:
            CallError: The endpoint may have executed the request, and it must
                not be executed again; or it would add to an overload.
        """
        may_have_run = exc.verdict is not Verdict.NOT_RUN
        if may_have_run and not call.can_retry:
            raise _unknown_outcome_error(exc) from None
        if self._chooser.overload is not None:
            self._chooser.overload.check_retry(call, exc)
        if may_have_run:
            logger.info(
                'Retrying a request that may have run, as its route allows.',
                attempt=call.inbound.attempt,
                route=call.route.name,
                kind=call.route.kind.value,
                is_resumable=call.route.is_resumable,
                runs=call.runs,
                attempts=call.route.attempts,
            )


def _unknown_outcome_error(exc: EndpointError) -> CallError:
    code = ErrorCode.OUTCOME_UNKNOWN
    if exc.failure is Failure.TIMEOUT:
        code = ErrorCode.DEADLINE_EXCEEDED
    return CallError(code, str(exc), exc.verdict)
