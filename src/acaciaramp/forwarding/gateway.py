"""Takes a request from its route to its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.call import Call
from acaciaramp.forwarding.caller import Caller
from acaciaramp.forwarding.relay import Relay
from acaciaramp.metrics.names import BadInput, Counter, Timer
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.errors import Refusal
    from acaciaramp.forwarding.caller import Receive, Send
    from acaciaramp.forwarding.forwarder import Forwarder
    from acaciaramp.forwarding.messages import Codec, InboundRequest
    from acaciaramp.forwarding.turns import TurnLifecycle
    from acaciaramp.ids import WorkspaceId
    from acaciaramp.limits.quota import Quota
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.model import Route
    from acaciaramp.routing.router import Router

logger = get_logger('gateway')

_RETRY_AFTER_MS = 300
# A control leader is elected, and its table here, within this time; a caller
# waits for it for most of its own time: one that is sent away has lost a try.
_TABLE_WAIT_MS = 2_500
_TABLE_WAIT_PART = 0.8
# Less than a quarter of the objectives, within which a refusal should come.
_NEW_WAIT_MS = 70
# A call that is refused ends its program, so that it waits for most of its time.
_UNDER_WAY_WAIT_PART = 0.6


class Gateway:
    """Serves the requests of callers.

    Attributes:
        is_stopping: Whether connections end with their next answer.
        in_flight: Requests that have not been answered.
        quarantined: Digests of requests that no endpoint may get.
    """

    def __init__(
        self,
        *,
        codec: Codec,
        router: Router,
        quota: Quota,
        turns: TurnLifecycle,
        forwarder: Forwarder,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the gateway.

        Args:
            codec: Reads and writes headers.
            router: The routing table in force.
            quota: Rates of the workspaces.
            turns: Opens and settles turns.
            forwarder: Sends to endpoints.
            clock: Source of time.
            metrics: Counts refusals.
        """
        self.is_stopping = False
        self.in_flight = 0
        self.quarantined: frozenset[str] = frozenset()
        self._codec = codec
        self._router = router
        self._quota = quota
        self._turns = turns
        self._forwarder = forwarder
        self._clock = clock
        self._metrics = metrics

    async def serve(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request, as an ASGI application does."""
        caller = Caller(receive, send, closes=lambda: self.is_stopping)
        started_ms = self._clock.now_ms()
        self.in_flight += 1
        inbound: InboundRequest | None = None
        try:
            inbound = self._codec.read_request(scope)
            inbound.started_ms = started_ms
            self._note_forged(inbound)
            await self._answer(inbound, caller)
        except CallError as exc:
            await self._refuse(inbound, exc.refusal, caller, started_ms)
        except EndpointError as exc:
            # The connection ends without the rest, so that what came of the
            # answer does not look whole.
            logger.warning(
                'An answer was broken off.',
                reason=exc,
                took_ms=self._clock.now_ms() - started_ms,
                **_names(inbound),
            )
        except Exception as exc:
            # A defect: whether the request was sent is not known here.
            logger.error_from('A request failed unexpectedly.', exc)
            refusal = CallError(
                ErrorCode.INTERNAL, 'an internal error', Verdict.MAY_HAVE_RUN
            ).refusal
            await self._refuse(inbound, refusal, caller, started_ms)
        finally:
            self.in_flight -= 1

    async def _answer(self, inbound: InboundRequest, caller: Caller) -> None:
        await self._await_table(inbound)
        route = self._find_route(inbound)
        workspace = self._authorize(inbound, route)
        body = await caller.read_body(self._router.limits.body_bytes)
        if body is None:
            return
        inbound.body = body
        failure: CallError | EndpointError | None = None
        async with anyio.create_task_group() as tasks:
            failure = await self._while_present(
                inbound, route, workspace, caller, tasks.cancel_scope, tasks
            )
        if failure is not None:
            raise failure

    async def _while_present(
        self,
        inbound: InboundRequest,
        route: Route,
        workspace: WorkspaceId | None,
        caller: Caller,
        scope: anyio.CancelScope,
        tasks: Any,
    ) -> CallError | EndpointError | None:
        """Forward the request unless the caller goes; return how it failed."""

        async def watch() -> None:
            await caller.wait_gone()
            if not caller.has_ended:
                logger.info('The caller has gone.', attempt=inbound.attempt)
            scope.cancel()

        tasks.start_soon(watch)
        try:
            await self._forward(inbound, route, workspace, caller)
        except (CallError, EndpointError) as exc:
            return exc
        finally:
            scope.cancel()
        return None

    async def _await_table(self, inbound: InboundRequest) -> None:
        """Wait for the first table of an instance that has just started.

        Raises:
            CallError: None has come.
        """
        if self._router.table is not None:
            return
        left_ms = inbound.wait_ms or _TABLE_WAIT_MS
        wait_ms = min(_TABLE_WAIT_MS, int(_TABLE_WAIT_PART * left_ms))
        try:
            with self._clock.timeout(wait_ms):
                await self._router.in_force.wait()
        except TimeoutError:
            raise CallError(
                ErrorCode.DOCUMENT_STALE,
                'no routing table is in force here yet',
                retry_after_ms=_RETRY_AFTER_MS,
            ) from None

    def _find_route(self, inbound: InboundRequest) -> Route:
        route = self._router.find(inbound.host, inbound.path)
        if route is None:
            raise CallError(ErrorCode.NOT_FOUND, 'there is no such route')
        return route

    def _authorize(
        self, inbound: InboundRequest, route: Route
    ) -> WorkspaceId | None:
        """Return the workspace of the request's key.

        Raises:
            CallError: The key is missing or unknown.
        """
        if route.is_public or not self._router.needs_key:
            return None
        if inbound.key is None:
            raise CallError(ErrorCode.KEY_MISSING, 'a key is needed')
        found = self._router.workspace_for_key(inbound.key)
        if found is None:
            raise CallError(ErrorCode.KEY_UNKNOWN, 'the key is not known')
        return found.name

    async def _forward(
        self,
        inbound: InboundRequest,
        route: Route,
        workspace: WorkspaceId | None,
        caller: Caller,
    ) -> None:
        wait_ms = route.timeout_ms
        if inbound.wait_ms is not None:
            wait_ms = min(wait_ms, inbound.wait_ms)
        call = Call(
            inbound=inbound,
            route=route,
            service=self._router.pick_service(route),
            workspace=workspace,
            give_up_ms=inbound.started_ms + wait_ms,
        )
        self._check_quarantine(call)
        # Before the rate: a turn that its budget refuses must use no token.
        call.turn = await self._turns.open(call)
        await self._admit(call)
        relay = Relay(call, caller, self._turns.before_end_of(call))
        try:
            await self._forwarder.forward(call, relay)
        except CallError as exc:
            self._turns.settle_failed(call, exc.refusal.verdict)
            raise
        except BaseException:
            self._turns.settle_failed(call, Verdict.MAY_HAVE_RUN)
            raise
        self._log_answer(call, relay)

    async def _admit(self, call: Call) -> None:
        """Wait for a token of the workspace's rate.

        Raises:
            CallError: The workspace has used its rate.
        """
        if call.workspace is None:
            return
        asked_ms = self._clock.now_ms()
        try:
            await self._quota.admit(
                call.workspace,
                is_new=call.begins_program,
                wait_ms=self._token_wait_ms(call),
            )
        except BaseException:
            self._turns.settle_failed(call, Verdict.NOT_RUN)
            raise
        self._metrics.record_duration(
            Timer.ADMISSION, self._clock.now_ms() - asked_ms
        )

    def _token_wait_ms(self, call: Call) -> int:
        """Return how long a token is worth waiting for.

        What begins nothing yet is refused early, so that its caller comes
        back; what belongs to a program under way has the program's slack.
        """
        if call.begins_program:
            return _NEW_WAIT_MS
        left_ms = call.give_up_ms - self._clock.now_ms()
        return int(_UNDER_WAY_WAIT_PART * left_ms)

    def _check_quarantine(self, call: Call) -> None:
        if self.quarantined and call.digest() in self.quarantined:
            raise CallError(
                ErrorCode.ENDPOINT_FAILED,
                'requests like this one have crashed endpoints',
                retry_after_ms=_RETRY_AFTER_MS,
            )

    async def _refuse(
        self,
        inbound: InboundRequest | None,
        refusal: Refusal,
        caller: Caller,
        started_ms: int,
    ) -> None:
        self._metrics.count(Counter.REFUSED, refusal.code)
        logger.warning(
            'A request was refused.',
            code=refusal.code.value,
            verdict=refusal.verdict.value,
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
            took_ms=self._clock.now_ms() - started_ms,
            version=self._router.version,
            **_names(inbound),
        )
        if not caller.has_started:
            status, headers, body = self._codec.write_refusal(refusal)
            await caller.send_response(status, headers, body)

    def _note_forged(self, inbound: InboundRequest) -> None:
        """Take note of headers that only the system may set."""
        if inbound.forged:
            self._metrics.count(Counter.BAD_INPUT, BadInput.FORGED_HEADER)
            logger.warning(
                'Headers that only the system sets were left out.',
                attempt=inbound.attempt,
                headers=inbound.forged,
            )

    def _log_answer(self, call: Call, relay: Relay) -> None:
        took_ms = self._clock.now_ms() - call.inbound.started_ms
        self._metrics.count(Counter.ANSWERED, call.route.kind)
        self._metrics.record_duration(Timer.REQUEST, took_ms)
        logger.info(
            'A request was answered.',
            **_names(call.inbound),
            route=call.route.name,
            version=self._router.version,
            workspace=call.workspace,
            status=relay.status,
            events=relay.events.events,
            took_ms=took_ms,
        )


def _names(inbound: InboundRequest | None) -> dict[str, str]:
    """Return what a request is found by in the logs."""
    if inbound is None:
        return {}
    names = {'attempt': inbound.attempt}
    if inbound.turn.program is not None:
        names['program'] = inbound.turn.program
    return names
