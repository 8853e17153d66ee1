"""An entry instance: takes the requests of callers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.client import LedgerClient
from acaciaramp.conversations.turns import TurnManager
from acaciaramp.coordination.grants import GRANT_MS, own_part
from acaciaramp.coordination.messages import (
    CrashReport,
    Done,
    GrantReply,
    GrantRequest,
)
from acaciaramp.errors import CallError
from acaciaramp.forwarding.connections import ConnectionPool
from acaciaramp.forwarding.forwarder import Forwarder
from acaciaramp.forwarding.gateway import Gateway
from acaciaramp.forwarding.protocol import ForwardingProtocol
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.forwarding.turns import TurnLifecycle
from acaciaramp.ids import WorkspaceId
from acaciaramp.limits.quota import Quota
from acaciaramp.routing.checks import InvalidTableError
from acaciaramp.routing.router import Router
from acaciaramp.settings.node import split_address
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import bind_socket, serving

if TYPE_CHECKING:
    import random

    import anyio

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint, View
    from acaciaramp.ids import ServiceName
    from acaciaramp.roles.adapter import PlatformAdapter
    from acaciaramp.roles.common import RoleContext
    from acaciaramp.settings.node import NodeSettings

logger = get_logger('entry')

# The owner of the rates answers within one way across regions.
_GRANT_WAIT_MS = 250
_REPORT_WAIT_MS = 2_000
_TICK_MS = 500
_FINISH_POLL_MS = 20
# Without news from the control group for so long, the list is read here.
_STALE_VIEW_MS = 2_000
# An instance that is cut off for so long sends its callers to others.
_LOST_MS = 3_000
# The balancer asks once a second and gives up after two misses.
_NOTICE_MS = 2_500
# Kept of the time until a stopped process is killed.
_EXIT_MARGIN_MS = 1_000
# Also where endpoints accept fewer connections than there are entries.
_LEAST_CONNECTIONS = 2
_MS_PER_SECOND = 1_000
_READY = 200
_NOT_READY = 503


class EntryRole:
    """All parts of an entry instance."""

    def __init__(
        self, base: RoleContext, adapter: PlatformAdapter, rng: random.Random
    ) -> None:
        """Create the parts; ``run`` starts them.

        Args:
            base: Parts that every role has.
            adapter: Translates for the platform.
            rng: Splits requests between services.
        """
        cfg = base.cfg
        self._base = base
        self._adapter = adapter
        self._router = Router(rng)
        self._entries = 0
        self._quota = Quota(self._ask_tokens, GRANT_MS, base.clock)
        self._placement = make_selector(cfg, base.clock)
        self._connections = ConnectionPool(base.clock, self._most_connections)
        self._follower = base.make_follower(
            self._take_table, self._take_view, lambda: None
        )
        ledger = LedgerClient(
            base.links, lambda: self._follower.view.storages, base.clock
        )
        self._turns = TurnManager(ledger, ChainCache(), base.clock, base.tasks)
        self._gateway = Gateway(
            codec=adapter.codec,
            router=self._router,
            quota=self._quota,
            turns=TurnLifecycle(
                self._turns, self._router, base.clock, base.metrics
            ),
            forwarder=Forwarder(
                adapter.codec,
                self._placement,
                self._connections,
                base.clock,
                base.metrics,
                self._report_crash,
            ),
            clock=base.clock,
            metrics=base.metrics,
        )
        self._readiness_port = split_address(cfg.readiness or '')[1]
        self._read_endpoints = adapter.make_reader(
            cfg.instance_list.address, base.clock, base.metrics
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        if self._gateway.is_stopping or self._router.table is None:
            return False
        silence_ms = self._follower.silence_ms()
        is_led = silence_ms is not None and silence_ms < _LOST_MS
        return is_led and self._placement.has_endpoints

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then end without cutting a request."""
        base = self._base
        base.tasks.start_soon(base.serve_peers, {})
        base.tasks.start_soon(self._follower.run)
        base.tasks.start_soon(self._tick)
        ports = [
            bind_socket(*split_address(address))
            for address in (base.cfg.callers, base.cfg.readiness)
            if address is not None
        ]
        protocol = functools.partial(
            ForwardingProtocol, self._router, base.metrics
        )
        async with serving(self._app, ports, protocol) as server:
            await stop.wait()
            self._gateway.is_stopping = True
            logger.info('Stopping.', under_way=self._gateway.in_flight)
            await base.clock.sleep_ms(_NOTICE_MS)
            await self._finish()
            # Whoever is served still would be waited for until the process
            # is killed.
            server.force_exit = self._is_busy()
        logger.info('Stopped.', under_way=self._gateway.in_flight)

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        if scope['server'][1] == self._readiness_port:
            await _answer_ready(send, is_ready=self.is_ready)
            return
        await self._gateway.serve(scope, receive, send)

    async def _finish(self) -> None:
        """Wait for the answers under way and for what they leave to settle."""
        base = self._base
        grace_ms = base.cfg.bounds.grace_s * _MS_PER_SECOND
        until_ms = base.clock.now_ms() + grace_ms - _NOTICE_MS - _EXIT_MARGIN_MS
        while base.clock.now_ms() < until_ms and self._is_busy():
            await base.clock.sleep_ms(_FINISH_POLL_MS)

    def _is_busy(self) -> bool:
        return bool(self._gateway.in_flight or self._turns.pending_settlements)

    async def _tick(self) -> None:
        base = self._base
        while True:
            await base.clock.sleep_ms(_TICK_MS)
            await self._connections.close_expired()
            silence_ms = self._follower.silence_ms()
            is_silent = silence_ms is None or silence_ms > _STALE_VIEW_MS
            if is_silent or self._follower.view.endpoints is None:
                await self._read_list()

    async def _read_list(self) -> None:
        """Read the list of endpoints, since nobody tells what is in it."""
        try:
            self._take_endpoints(await self._read_endpoints())
        except CallError as exc:
            logger.warning('The instance list cannot be read.', reason=exc)

    async def _ask_tokens(
        self, workspace: str, is_new: bool
    ) -> tuple[int, int | None]:
        reply = await self._follower.request(
            GrantRequest(WorkspaceId(workspace), is_new),
            GrantReply,
            _GRANT_WAIT_MS,
        )
        return reply.granted, reply.wait_ms

    def _most_connections(self, service: ServiceName) -> int | None:
        """Return this entry's part of what an endpoint accepts of all."""
        known = self._router.services.get(service)
        if known is None or not known.most_connections:
            return None
        part = known.most_connections // max(1, self._entries)
        return max(_LEAST_CONNECTIONS, part)

    def _report_crash(self, digest: str, endpoint: Endpoint) -> None:
        self._base.tasks.start_soon(self._send_report, digest, endpoint)

    async def _send_report(self, digest: str, endpoint: Endpoint) -> None:
        try:
            await self._follower.request(
                CrashReport(digest, endpoint.id), Done, _REPORT_WAIT_MS
            )
        except CallError as exc:
            logger.warning(
                'A crash is not reported.', digest=digest, reason=exc
            )

    def _take_table(self, body: bytes) -> None:
        try:
            table = self._adapter.decode_table(body)
        except InvalidTableError as exc:
            logger.error_from('A routing table cannot be used.', exc)
            return
        before = self._router.version
        if self._router.install_table(table):
            logger.info(
                'A routing table is in force.',
                version=table.version,
                before=before,
            )
        self._configure_quota()

    def _take_view(self, view: View) -> None:
        if view.endpoints is not None:
            self._take_endpoints(view.endpoints)
        self._gateway.quarantined = frozenset(view.quarantined)
        entries = len(view.entries)
        if not view.is_settled:
            entries = max(entries, self._entries)
        self._entries = entries
        self._configure_quota()

    def _take_endpoints(self, endpoints: tuple[Endpoint, ...]) -> None:
        self._placement.replace_endpoints(endpoints)

    def _configure_quota(self) -> None:
        if self._router.table is not None and self._entries:
            self._quota.configure(
                self._router.table.workspaces,
                lambda item: own_part(item, self._entries),
            )


def make_selector(cfg: NodeSettings, clock: Clock) -> EndpointSelector:
    """Return the placement of an entry where its settings say it stands."""
    return EndpointSelector(
        cfg.availability_zone, cfg.region, cfg.regions, clock
    )


async def _answer_ready(send: Any, *, is_ready: bool) -> None:
    status = _READY if is_ready else _NOT_READY
    headers = [(b'content-length', b'0')]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b''})
