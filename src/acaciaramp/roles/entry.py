"""Entry instance: serves callers and forwards their requests to endpoints."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from acaciaramp.coordination.grants import GRANT_LIFETIME_MS, local_share
from acaciaramp.coordination.messages import (
    CrashReport,
    Done,
    GrantReply,
    GrantRequest,
    ReturnToken,
    SlotReply,
    SlotRequest,
)
from acaciaramp.errors import CallError
from acaciaramp.forwarding.admission import Admission
from acaciaramp.forwarding.buffers import BufferLimit
from acaciaramp.forwarding.chooser import EndpointChooser
from acaciaramp.forwarding.cold_endpoints import ColdEndpoints
from acaciaramp.forwarding.connections import ConnectionPool
from acaciaramp.forwarding.crashes import CrashWatch
from acaciaramp.forwarding.endpoint_limits import EndpointLimits
from acaciaramp.forwarding.forwarder import Forwarder
from acaciaramp.forwarding.gateway import Gateway
from acaciaramp.forwarding.leaving_prober import (
    LeavingProber,
    make_health_probe,
)
from acaciaramp.forwarding.protocol import TrafficLimitProtocol
from acaciaramp.forwarding.turns import TurnLifecycle
from acaciaramp.ids import WorkspaceId
from acaciaramp.limits.quota import Quota
from acaciaramp.roles.admission_control import make_overload_control
from acaciaramp.roles.endpoint_paths import EndpointPaths
from acaciaramp.roles.entry_parts import (
    make_load_exchange,
    make_selector,
    make_turn_manager,
)
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.routing.router import Router
from acaciaramp.settings.node import split_address
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    import random

    import anyio

    from acaciaramp.coordination.messages import Endpoint, View
    from acaciaramp.forwarding.crashes import Crash
    from acaciaramp.ids import InstanceId, ServiceName
    from acaciaramp.roles.adapter import PlatformAdapter
    from acaciaramp.roles.common import RoleContext

logger = get_logger('entry')

# The owner of the rates replies within a round trip between regions.
_GRANT_TIMEOUT_MS = 250
_REPORT_TIMEOUT_MS = 2_000
_TICK_MS = 500
_DRAIN_POLL_MS = 20
# After this silence of the control group this instance reads the instance list
# itself.
_VIEW_MAX_AGE_MS = 2_000
# After this silence of the control group this instance reports not ready, so
# that callers are sent to other instances.
_READY_SILENCE_MS = 3_000
# The load balancer probes readiness once a second and stops sending callers
# after two failed probes.
_BALANCER_DELAY_MS = 2_500
# Part at the end of the grace period that is left for the process to exit,
# before it is killed.
_EXIT_MARGIN_MS = 1_000
# Lower bound of this instance's share, which applies even where an endpoint
# accepts fewer connections than there are entry instances.
_MIN_CONNECTIONS = 2
_MS_PER_SECOND = 1_000
_STATUS_READY = 200
_STATUS_NOT_READY = 503


class EntryRole:
    """Composition root of an entry instance."""

    def __init__(
        self, context: RoleContext, adapter: PlatformAdapter, rng: random.Random
    ) -> None:
        """Create the components; ``run`` starts them.

        Args:
            context: Dependencies that every role shares.
            adapter: Translates the platform's formats.
            rng: Chooses among the weighted services of a route and among equal
                endpoints.
        """
        cfg = context.cfg
        self._context = context
        self._adapter = adapter
        self._router = Router(rng)
        self._entries = 0
        self._leader_term = 0
        self._quota = Quota(
            self._request_tokens, GRANT_LIFETIME_MS, context.clock
        )
        self._selector = make_selector(cfg, context.clock, rng, context.metrics)
        self._overload = make_overload_control(
            context, self._selector, self._workspace_priority, rng
        )
        self._cold = ColdEndpoints(lambda: self._router.services, context.clock)
        self._limits = EndpointLimits(
            self._request_slot, context.clock, self._cold.per_s
        )
        self._paths = EndpointPaths(context, self._selector, rng)
        self._crashes = CrashWatch(
            self._paths.refuses_connections, self._report_crash, context.clock
        )
        self._loads = make_load_exchange(context, self._selector, rng)
        self._connections = ConnectionPool(
            self._paths.dialer, context.clock, self._max_connections
        )
        self._leaving_prober = LeavingProber(
            self._selector,
            make_health_probe(
                adapter.codec,
                self._connections,
                lambda: self._router.services,
                context.clock,
            ),
            self._crashes.record_return,
            context.clock,
            context.metrics,
            int(cfg.bounds.drain_ms),
        )
        self._follower = context.make_follower(
            self._on_table, self._on_view, lambda: None
        )
        self._turns = make_turn_manager(
            context, self._ledger_instances, lambda: self._follower.view
        )
        lifecycle = TurnLifecycle(self._turns, context.clock, context.metrics)
        chooser = EndpointChooser(
            self._selector,
            self._limits,
            context.clock,
            lifecycle.record_origin,
            self._overload,
        )
        self._gateway = Gateway(
            codec=adapter.codec,
            router=self._router,
            admission=Admission(
                self._quota,
                lifecycle.needs_ledger,
                self._return_token,
                context.clock,
                context.metrics,
            ),
            turns=lifecycle,
            chooser=chooser,
            forwarder=Forwarder(
                adapter.codec,
                chooser,
                self._selector,
                self._limits,
                self._connections,
                context.clock,
                context.metrics,
                self._crashes,
                self._paths.dialer,
                self._paths.reach,
            ),
            clock=context.clock,
            metrics=context.metrics,
            buffers=BufferLimit(budget=context.callers),
        )
        self._readiness_port = split_address(cfg.readiness or '')[1]
        self._read_endpoints = adapter.make_reader(
            cfg.instance_list.address, context.clock, context.metrics
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        if self._gateway.draining.has_begun or self._router.table is None:
            return False
        if self._paths.dialer.is_cut_off:
            return False
        silence_ms = self._follower.silence_ms()
        has_contact = silence_ms is not None and silence_ms < _READY_SILENCE_MS
        return has_contact and self._selector.has_endpoints

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then drain the requests in flight."""
        context = self._context
        context.tasks.start_soon(context.serve_peers, self._loads.handlers)
        if context.cfg.exchange_loads:
            context.tasks.start_soon(self._loads.run)
        context.tasks.start_soon(self._follower.run)
        context.tasks.start_soon(self._run_ticks)
        context.tasks.start_soon(self._crashes.run)
        context.tasks.start_soon(self._leaving_prober.run)
        if self._overload is not None:
            context.tasks.start_soon(self._overload.run)
        self._paths.start()
        sockets = [
            bind_socket(*split_address(address))
            for address in (context.cfg.callers, context.cfg.readiness)
            if address is not None
        ]
        protocol = functools.partial(
            TrafficLimitProtocol,
            self._router,
            context.metrics,
            budget=context.callers,
        )
        backlog = context.callers.limits.backlog
        async with running_server(
            self._app, sockets, protocol, backlog
        ) as server:
            await stop.wait()
            self._begin_draining()
            await self._drain()
            await self._end_requests()
            # Without this the server would wait for the remaining requests
            # until the process is killed.
            server.force_exit = self._is_busy()
        logger.info('Stopped.', under_way=self._gateway.in_flight)

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        if scope['server'][1] == self._readiness_port:
            await _send_readiness(send, is_ready=self.is_ready)
            return
        await self._gateway.serve(scope, receive, send)

    def _begin_draining(self) -> None:
        """Report not ready and begin to refuse what cannot end in time.

        The process exits ``_EXIT_MARGIN_MS`` before its grace period ends.
        """
        grace_ms = self._context.cfg.bounds.grace_s * _MS_PER_SECOND
        self._gateway.draining.begin(
            _BALANCER_DELAY_MS, max(0, int(grace_ms) - _EXIT_MARGIN_MS)
        )
        self._paths.stop()
        logger.info(
            'Stopping; reporting not ready, then draining requests.',
            under_way=self._gateway.in_flight,
        )

    async def _drain(self) -> None:
        """Wait for requests in flight and for turns that are being settled.

        The wait begins when the load balancer has noticed the stop.
        """
        draining = self._gateway.draining
        await self._context.clock.sleep_ms(
            min(_BALANCER_DELAY_MS, draining.left_ms)
        )
        while draining.left_ms and self._is_busy():
            await self._context.clock.sleep_ms(_DRAIN_POLL_MS)

    async def _end_requests(self) -> None:
        """End the requests that are still in flight, and send their refusals."""
        if not self._gateway.in_flight:
            return
        logger.warning(
            'The grace period is over; ending the requests in flight.',
            under_way=self._gateway.in_flight,
        )
        self._gateway.end_requests()
        await self._context.clock.sleep_ms(_DRAIN_POLL_MS)

    def _is_busy(self) -> bool:
        has_work = self._gateway.in_flight or self._turns.pending_settlements
        return bool(has_work or self._paths.is_serving_peers)

    async def _run_ticks(self) -> None:
        context = self._context
        while True:
            await context.clock.sleep_ms(_TICK_MS)
            await self._connections.close_expired()
            has_endpoints = self._follower.view.endpoints is not None
            if self._is_view_stale() or not has_endpoints:
                await self._poll_endpoints()

    async def _poll_endpoints(self) -> None:
        """Read the instance list, as the view does not carry a recent one."""
        try:
            self._replace_endpoints(await self._read_endpoints())
        except CallError as exc:
            logger.warning(
                'Could not read the instance list; keeping the last one.',
                reason=exc,
            )

    async def _request_tokens(self, workspace: str) -> tuple[int, int | None]:
        """Request a token of a workspace's shared rate from its owner.

        Returns:
            The number of tokens granted, 0 or 1, and if it is 0 the
            milliseconds until one may be available (None for never).

        Raises:
            CallError: The owner did not reply in time.
        """
        reply = await self._follower.request(
            GrantRequest(WorkspaceId(workspace)),
            GrantReply,
            _GRANT_TIMEOUT_MS,
        )
        return reply.granted, reply.wait_ms

    def _workspace_priority(self, workspace: WorkspaceId) -> int | None:
        """Return the priority of a workspace; None if its routes' applies."""
        found = self._router.workspaces.get(workspace)
        return None if found is None else found.priority

    async def _request_slot(self, req: SlotRequest) -> SlotReply:
        """Ask the owner for a slot at a limited endpoint.

        Raises:
            CallError: The owner did not reply in time.
        """
        return await self._follower.request(req, SlotReply, _GRANT_TIMEOUT_MS)

    def _return_token(self, workspace: WorkspaceId) -> None:
        self._context.tasks.start_soon(
            self._follower.notify, ReturnToken(workspace)
        )

    def _ledger_instances(self) -> tuple[InstanceId, ...]:
        """Return the instances of which one leads the ledger.

        If the view may be out of date, these are all storage instances.
        """
        view = self._follower.view
        if view.ledger_voters and not self._is_view_stale():
            return view.ledger_voters
        return view.storages

    def _is_view_stale(self) -> bool:
        silence_ms = self._follower.silence_ms()
        return silence_ms is None or silence_ms > _VIEW_MAX_AGE_MS

    def _max_connections(self, service: ServiceName) -> int | None:
        """Return this instance's share of the connections to an endpoint.

        None if the service sets no limit.
        """
        found = self._router.services.get(service)
        if found is None or not found.most_connections:
            return None
        share = found.most_connections // max(1, self._entries)
        return max(_MIN_CONNECTIONS, share)

    def _report_crash(self, crash: Crash) -> None:
        self._context.tasks.start_soon(self._send_crash_report, crash)

    async def _send_crash_report(self, crash: Crash) -> None:
        report = CrashReport(crash.digest, *crash.lifetime)
        try:
            await self._follower.request(report, Done, _REPORT_TIMEOUT_MS)
        except CallError as exc:
            logger.warning(
                'Could not report a crashed endpoint; the crash is not counted.',
                digest=crash.digest,
                reason=exc,
            )

    def _on_table(self, body: bytes) -> None:
        try:
            table = self._adapter.decode_table(body)
        except InvalidTableError as exc:
            logger.error_from(
                'Could not decode a routing table; keeping the last one.', exc
            )
            return
        before = self._router.version
        if self._router.install_table(table):
            logger.info(
                'A routing table is in force.',
                version=table.version,
                before=before,
            )
        self._configure_quota()

    def _on_view(self, view: View) -> None:
        if view.endpoints is not None:
            self._replace_endpoints(view.endpoints)
        self._selector.replace_evacuated(view.evacuated)
        self._gateway.quarantined = frozenset(view.quarantined)
        if self._follower.term != self._leader_term:
            self._leader_term = self._follower.term
            self._crashes.report_again()
        self._paths.replace_peers(view)
        self._loads.replace_peers(view)
        entries = len(view.entries)
        # The view of a new leader may lack entry instances that have not
        # reported yet. Keeping the larger count keeps the sum of the local
        # shares within the rate.
        if not view.is_settled:
            entries = max(entries, self._entries)
        self._entries = entries
        self._configure_quota()

    def _replace_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        self._selector.replace_endpoints(endpoints)
        self._crashes.observe(endpoints)
        self._cold.replace_endpoints(endpoints)
        self._limits.retain({endpoint.id for endpoint in endpoints})

    def _configure_quota(self) -> None:
        if self._router.table is not None and self._entries:
            self._quota.configure(
                self._router.table.workspaces,
                lambda item: local_share(item, self._entries),
            )


async def _send_readiness(send: Any, *, is_ready: bool) -> None:
    status = _STATUS_READY if is_ready else _STATUS_NOT_READY
    headers = [(b'content-length', b'0')]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b''})
