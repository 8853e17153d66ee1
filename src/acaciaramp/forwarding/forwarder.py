"""Forwards a request to endpoints, with retries until its deadline."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio

from acaciaramp.conversations.messages import StreamOrigin
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import BadInput, Counter, Timer
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.connections import Connection, ConnectionPool
    from acaciaramp.forwarding.endpoint_limits import EndpointLimits
    from acaciaramp.forwarding.messages import Codec, ResponseHead
    from acaciaramp.forwarding.relay import Relay
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.metrics.client import Metrics

logger = get_logger('forwarding')

# Once every endpoint has refused a request or failed, all are tried again. This
# is done within this fraction of the request's time limit.
_RETRY_WINDOW_FRACTION = 0.5
_RETRY_PAUSE_MS = 40
_RETRY_AFTER_MS = 300
# Fraction of the latency objective that a request that starts a program waits for
# a slot at a limited endpoint.
_NEW_PROGRAM_WAIT_FRACTION = 0.25
# Statuses that mean to a caller that its request was not executed.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Forwarder:
    """Forwards requests to endpoints and retries them where that is safe."""

    def __init__(
        self,
        codec: Codec,
        selector: EndpointSelector,
        limits: EndpointLimits,
        connections: ConnectionPool,
        clock: Clock,
        metrics: Metrics,
        report_crash: Callable[[str, Endpoint], None],
        record_origin: Callable[[Call, StreamOrigin], Awaitable[None]],
    ) -> None:
        """Create the forwarder.

        Args:
            codec: Reads and writes the headers of the platform.
            selector: Selects endpoints.
            limits: Request limits that endpoints state.
            connections: Pool of connections to endpoints.
            clock: Source of time.
            metrics: Counts retries and invalid responses.
            report_crash: Called with the digest of a request and the endpoint
                whose connection failed during the request.
            record_origin: Commits the origin of the stream that a request
                begins; raises ``CallError``.
        """
        self._codec = codec
        self._selector = selector
        self._limits = limits
        self._connections = connections
        self._clock = clock
        self._metrics = metrics
        self._report_crash = report_crash
        self._record_origin = record_origin

    def expected_origin(self, call: Call) -> StreamOrigin | None:
        """Return the probable origin of the stream that a request begins.

        None if it begins none that may be resumed, or if no endpoint is known.
        """
        if not call.begins_stream:
            return None
        ranked = self._selector.rank(call.endpoint_query)
        return _origin(ranked[0]) if ranked else None

    def check_resumption(self, call: Call) -> None:
        """Check that some endpoint can go on with the stream of a request.

        Raises:
            CallError: The version that began the stream is not listed any more.
        """
        if call.resumes_stream and self._selector.lacks_version(
            call.endpoint_query
        ):
            raise CallError(
                ErrorCode.STREAM_VERSION_GONE,
                f'no endpoint of service "{call.service}" has the version that '
                'began the stream',
            )

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
        """Return the next endpoint; the origin of its stream is committed.

        A caller whose connection is lost may resume the stream through another
        instance, so that the origin is stored before the first event.

        Raises:
            CallError: No endpoint is available, or the origin could not be
                committed.
        """
        endpoint = await self._select_endpoint(call, excluded)
        origin = _origin(endpoint)
        if call.begins_stream and call.origin != origin:
            await self._record_origin(call, origin)
        return endpoint

    async def _select_endpoint(
        self, call: Call, excluded: set[str]
    ) -> Endpoint:
        """Return the next endpoint; once all are excluded, retry them all.

        Raises:
            CallError: No endpoint is available within the retry window, or no
                endpoint can go on with the stream that the request resumes.
        """
        while True:
            self.check_resumption(call)
            endpoint = await self._choose_endpoint(call, excluded)
            if endpoint is not None:
                return endpoint
            if not self._retry_window_ms(call):
                raise _no_endpoint_error(call)
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            excluded.clear()

    async def _choose_endpoint(
        self, call: Call, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return the best endpoint that takes the request, None without one.

        An endpoint that limits its requests is chosen if it has a free slot. The
        request waits for one only if every endpoint limits its requests.

        Raises:
            CallError: All endpoints limit their requests, and none has a slot
                in time.
        """
        ranked = self._selector.rank(call.endpoint_query, excluded)
        limited = list(itertools.takewhile(self._limits.is_limited, ranked))
        others = ranked[len(limited) :]
        endpoint: Endpoint | None = None
        if limited:
            endpoint = await self._claim_slot(
                call, limited, is_last_resort=not others and not excluded
            )
        if endpoint is None and others:
            return others[0]
        return endpoint

    async def _claim_slot(
        self, call: Call, limited: list[Endpoint], *, is_last_resort: bool
    ) -> Endpoint | None:
        """Return a limited endpoint when its slot has come, None without a slot.

        Args:
            call: The request.
            limited: Limited endpoints, preferred ones first.
            is_last_resort: Whether the request has no other choice, so that it
                waits for a slot.

        Raises:
            CallError: It has no other choice, and none has a slot in time.
        """
        wait_ms = self._longest_slot_wait_ms(call) if is_last_resort else 0
        try:
            slot = await self._limits.reserve(limited, wait_ms)
        except CallError as exc:
            logger.warning(
                'The owner of the slots of limited endpoints does not reply.',
                attempt=call.inbound.attempt,
                reason=exc,
            )
            return None
        if slot.endpoint is None:
            if is_last_resort:
                raise _no_slot_error(call, slot.wait_ms)
            return None
        await self._clock.sleep_ms(slot.wait_ms)
        endpoint = next(item for item in limited if item.id == slot.endpoint)
        return endpoint if self._selector.is_listed(endpoint) else None

    def _longest_slot_wait_ms(self, call: Call) -> int:
        """Return how long a request may wait for a slot, milliseconds.

        A request that starts a program is refused early, so that its caller can
        retry, and running programs get the slots.
        """
        if call.starts_program:
            return int(_NEW_PROGRAM_WAIT_FRACTION * call.route.objective_ms)
        return self._retry_window_ms(call)

    def _retry_window_ms(self, call: Call) -> int:
        """Return the rest of the time for selecting endpoints, milliseconds."""
        started_ms = call.inbound.started_ms
        window_ms = _RETRY_WINDOW_FRACTION * (call.deadline_ms - started_ms)
        return max(0, int(started_ms + window_ms - self._clock.now_ms()))

    async def _try_endpoint(
        self, call: Call, endpoint: Endpoint, relay: Relay
    ) -> None:
        logger.info(
            'Selected an endpoint; sending the request to it.',
            attempt=call.inbound.attempt,
            service=call.service,
            resumes=call.inbound.resumed,
            left_ms=call.deadline_ms - self._clock.now_ms(),
            limit_per_s=self._limits.per_s(endpoint.id),
            **self._selector.explain(endpoint, call.endpoint_query),
        )
        self._selector.record_start(endpoint, call.affinity_key)
        call.endpoint = endpoint.id
        try:
            await self._send_on_connection(call, endpoint, relay)
        finally:
            self._selector.record_end(endpoint)

    async def _send_on_connection(
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
        """Send the request on a connection and relay the response.

        Raises:
            EndpointError: The attempt failed.
        """
        left_ms = call.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.NOT_RUN, 'no time is left to send it'
            )
        headers = self._codec.write_request(
            call.inbound, endpoint, call.workspace, left_ms, len(call.body)
        )
        inbound = call.inbound
        call.is_sent = True
        try:
            with self._clock.timeout(left_ms):
                resp = await conn.send(
                    inbound.method, inbound.target, headers, call.body
                )
                head = self._codec.read_response(resp.status, resp.headers)
                self._check_response(call, endpoint, head)
                conn.idle_ms = head.idle_ms or conn.idle_ms
                await relay.send(head, resp)
                await resp.aclose()
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT, Verdict.MAY_HAVE_RUN, 'no answer came in time'
            ) from None
        self._selector.record_success(endpoint)

    def _check_response(
        self, call: Call, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Check that a response belongs to the request and may be relayed.

        Raises:
            EndpointError: The endpoint refused the request, responded to
                another one, or sent a status that tells callers that a
                request was not executed without confirming that.
        """
        self._record_limit(call, endpoint, head)
        if head.load is not None:
            self._selector.record_load(endpoint, head.load)
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
        if head.status in _NOT_RUN_STATUSES:
            raise EndpointError(
                Failure.SERVER_ERROR,
                Verdict.MAY_HAVE_RUN,
                f'status {head.status} without the word that it was not run',
            )

    def _record_limit(
        self, call: Call, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Record the limit in a response; a refusal without one ends none."""
        is_silent = head.is_not_run and head.limit_per_s is None
        if head.attempt == call.inbound.attempt and not is_silent:
            self._limits.record(endpoint, head.limit_per_s)

    def _record_failure(
        self, call: Call, endpoint: Endpoint, exc: EndpointError
    ) -> None:
        """Record a failed attempt; report a lost connection as a crash."""
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
            self._report_crash(call.digest(), endpoint)
        call.is_sent = False
        if exc.verdict is not Verdict.NOT_RUN:
            call.runs += 1
        self._metrics.count(Counter.RETRIED, exc.failure)

    def _check_retry(self, call: Call, exc: EndpointError) -> None:
        """Check that a request may be retried after a failed attempt.

        Raises:
            CallError: The endpoint may have executed the request, and it must
                not be executed again.
        """
        if exc.verdict is Verdict.NOT_RUN or call.can_retry:
            return
        raise _unknown_outcome_error(exc) from None


def _origin(endpoint: Endpoint) -> StreamOrigin:
    return StreamOrigin(endpoint.service, endpoint.version)


def _unknown_outcome_error(exc: EndpointError) -> CallError:
    code = ErrorCode.OUTCOME_UNKNOWN
    if exc.failure is Failure.TIMEOUT:
        code = ErrorCode.DEADLINE_EXCEEDED
    return CallError(code, str(exc), exc.verdict)


def _no_endpoint_error(call: Call) -> CallError:
    return CallError(
        ErrorCode.NO_ENDPOINT,
        f'no endpoint of service "{call.service}" takes the request',
        call.verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _no_slot_error(call: Call, wait_ms: int) -> CallError:
    return CallError(
        ErrorCode.ENDPOINT_LIMITED,
        f'all endpoints of service "{call.service}" limit their requests; the '
        f'next one is accepted in {wait_ms} ms',
        call.verdict,
        retry_after_ms=wait_ms,
    )
