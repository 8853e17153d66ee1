"""Starts, connects and gracefully stops the components of an instance."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio

from acaciaramp.assembly import (
    HomeFactory,
    build_caller_budget,
    build_cell_host,
    build_dispatcher,
    instance_locations,
    load_tls_contexts,
    replication_timing,
)
from acaciaramp.cells.router import ProgramRouter
from acaciaramp.clock import SystemClock
from acaciaramp.control.group import ControlGroup
from acaciaramp.control.operators import make_operator_app
from acaciaramp.control.wire import handle_encoded as handle_control
from acaciaramp.control.wire import make_exchange
from acaciaramp.documents.registry import Registry, load_document
from acaciaramp.endpoints.engine import EngineClient
from acaciaramp.endpoints.http import HttpClient
from acaciaramp.entry.asgi import make_app
from acaciaramp.entry.context import EntryContext
from acaciaramp.entry.protocol import RequestLimitProtocol
from acaciaramp.ids import InstanceId
from acaciaramp.limits.admission import Admission
from acaciaramp.limits.wire import handle_encoded as handle_limits
from acaciaramp.limits.wire import make_lender
from acaciaramp.membership.instance_list import InstanceListPoller
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.link import Link, LinkTiming
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.server import Address, serve_peers
from acaciaramp.programs.session_releaser import SessionReleaser
from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import bind_socket, running_server, serve_forever

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.cells.cell import Cell
    from acaciaramp.cells.host import CellHost
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Document
    from acaciaramp.settings.model import ListenAddress, Peer, Settings

logger = get_logger('application')

# Name of the control group's store, kept next to the stores of the cells.
_CONTROL_STORE = InstanceId('_control')
_SESSION_RECONCILE_PERIOD_MS = 5_000


class Application:
    """One instance with its entry, cells, control group and peer links.

    Attributes:
        metrics: Counters and timers of the instance.
        ready: Set once the listener for callers accepts requests.
        session_releaser: Frees the engine memory of ended programs.
        instance_list_poller: Polls the platform's instance list for endpoints
            that are about to be shut down.
    """

    def __init__(
        self, settings: Settings, document: Document, clock: Clock
    ) -> None:
        """Create the instance; ``run`` starts it.

        Args:
            settings: Settings of the instance.
            document: Environment document to start with.
            clock: Source of time.
        """
        self.metrics = Metrics(settings.statsd)
        self.ready = anyio.Event()
        self._callers = build_caller_budget(settings, clock, self.metrics)
        self._settings = settings
        self._clock = clock
        self._tls_contexts = load_tls_contexts(settings)
        self._registry = Registry(document)
        self._http = HttpClient(self._clock)
        self._engine = EngineClient(self._http, clock, self.metrics)
        self.session_releaser = SessionReleaser(
            self._engine.release_sessions,
            self._engine.list_sessions,
            self._registry,
            clock,
        )
        self.instance_list_poller = InstanceListPoller(
            settings.instance_list, self._http, clock
        )
        self._cells: CellHost | None = None
        self._control: ControlGroup | None = None
        self._is_stopping = False

    @property
    def cells(self) -> dict[InstanceId, Cell]:
        """The cells that this instance hosts, by name."""
        return {} if self._cells is None else self._cells.cells

    @property
    def revision(self) -> int:
        """Revision of the environment document in force."""
        return self._registry.document.revision

    @property
    def active_document_json(self) -> str:
        """The environment document in force, encoded as JSON."""
        return self._registry.document.model_dump_json()

    @property
    def is_control_leader(self) -> bool:
        """Whether this instance leads the control group."""
        return self._control is not None and self._control.status().is_leader

    @classmethod
    def from_settings(cls, settings: Settings) -> Application:
        """Create the instance that the settings describe.

        Raises:
            FileError: The environment document cannot be read.
            TextValidationError: The environment document is invalid.
        """
        document = load_document(settings.document)
        return cls(settings, document, SystemClock())

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then shut down gracefully.

        The shutdown completes open requests, drains the cells and transfers
        leadership to other instances. A cell that is not idle within
        ``waits.drain_ms`` refuses new steps from then on, and the shutdown
        waits for the steps that it is running.

        Args:
            stop: Event that starts the shutdown.
        """
        async with anyio.create_task_group() as tasks:
            await self._serve(tasks, stop)
            tasks.cancel_scope.cancel()
        await self._http.aclose()
        logger.info(
            'The instance has stopped.', instance=self._settings.instance
        )

    async def _serve(self, tasks: TaskGroup, stop: anyio.Event) -> None:
        links = self._build_links()
        for link in links.values():
            tasks.start_soon(link.run)
        host = self._build_host(links, tasks)
        control = self._build_control_group(host, links)
        router = self._build_router(host, links)
        admission = self._build_admission(links)
        self._cells = host
        self._control = control
        handlers = {
            Channel.PROGRAMS: router.handle_encoded,
            Channel.CELLS: host.handle_encoded,
            Channel.CONTROL: functools.partial(handle_control, control),
            Channel.LIMITS: functools.partial(handle_limits, admission),
        }
        peer_address = _peering_address(self._settings.inner)
        await tasks.start(
            serve_peers,
            peer_address,
            handlers,
            self._clock,
            self.metrics,
            self._tls_contexts,
        )
        tasks.start_soon(self.instance_list_poller.run)
        tasks.start_soon(self.session_releaser.run)
        tasks.start_soon(self._reconcile_sessions, host)
        tasks.start_soon(host.run)
        tasks.start_soon(control.run)
        await self._serve_operators(control, tasks)
        await self._wait_for_document(control, stop)
        await admission.wait_until_ready()
        ctx = self._build_context(router, control, admission)
        await self._serve_callers(ctx, stop)
        await host.drain(self._settings.waits.drain_ms)
        await control.transfer_leadership()
        await host.transfer_leadership()

    def _build_host(
        self, links: dict[InstanceId, Link], tasks: TaskGroup
    ) -> CellHost:
        home_factory = HomeFactory(
            settings=self._settings,
            registry=self._registry,
            dispatcher=build_dispatcher(
                self._settings,
                self._engine,
                self._http,
                self.instance_list_poller,
                self._clock,
                self.metrics,
            ),
            session_releaser=self.session_releaser,
            clock=self._clock,
            metrics=self.metrics,
        )
        return build_cell_host(
            home_factory, links, instance_locations(self._settings), tasks
        )

    def _build_router(
        self, host: CellHost, links: dict[InstanceId, Link]
    ) -> ProgramRouter:
        return ProgramRouter(
            instance=InstanceId(self._settings.instance),
            host=host,
            links=links,
            locations=instance_locations(self._settings),
            waits=self._settings.waits,
            clock=self._clock,
        )

    def _build_admission(self, links: dict[InstanceId, Link]) -> Admission:
        return Admission(
            instance=InstanceId(self._settings.instance),
            registry=self._registry,
            instances=len(links) + 1,
            wait_ms=self._settings.waits.rate_ms,
            loan_ms=self._settings.loan_ms,
            clock=self._clock,
            lenders=list(map(make_lender, links.values())),
        )

    def _build_control_group(
        self, host: CellHost, links: dict[InstanceId, Link]
    ) -> ControlGroup:
        member, store = host.open_member_store(_CONTROL_STORE)
        return ControlGroup(
            me=member,
            instances=sorted([member.instance, *links]),
            store=store,
            exchange=make_exchange(links),
            initial_document=self._registry.document,
            registry=self._registry,
            timing=replication_timing(self._settings),
            clock=self._clock,
        )

    async def _serve_operators(
        self, control: ControlGroup, tasks: TaskGroup
    ) -> None:
        listen = self._settings.operators
        if listen is None or self._settings.operator_key is None:
            return
        app = make_operator_app(control, self._settings.operator_key)
        sock = bind_socket(listen.host, listen.port)
        limits = self._settings.limits
        header_limits = HeaderLimits(limits.header_bytes, limits.header_ms)
        protocol = functools.partial(
            HeaderLimitProtocol, lambda: header_limits, budget=self._callers
        )
        tasks.start_soon(serve_forever, app, sock, protocol)

    async def _wait_for_document(
        self, control: ControlGroup, stop: anyio.Event
    ) -> None:
        """Return once the control group has a document or ``stop`` is set."""
        async with anyio.create_task_group() as tasks:

            async def cancel_on_stop() -> None:
                await stop.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_stop)
            await control.document_ready.wait()
            tasks.cancel_scope.cancel()

    async def _reconcile_sessions(self, host: CellHost) -> None:
        """Release the engine sessions of ended programs periodically."""
        while True:
            await self._clock.sleep_ms(_SESSION_RECONCILE_PERIOD_MS)
            await self.session_releaser.reconcile(host.is_session_releasable)

    async def _serve_callers(
        self, ctx: EntryContext, stop: anyio.Event
    ) -> None:
        settings = self._settings
        sock = bind_socket(settings.callers.host, settings.callers.port)
        app = make_app(ctx)
        protocol = functools.partial(
            RequestLimitProtocol, settings.limits, budget=self._callers
        )
        backlog = self._callers.limits.backlog
        async with running_server(app, [sock], protocol, backlog):
            self.ready.set()
            logger.info(
                'The instance is ready and serves callers.',
                instance=settings.instance,
            )
            await stop.wait()
            self._is_stopping = True
            logger.info(
                'The instance is stopping; open requests are completed first.',
                instance=settings.instance,
            )

    def _build_links(self) -> dict[InstanceId, Link]:
        cfg = self._settings.links
        timing = LinkTiming(cfg.heartbeat_ms, cfg.silence_ms, cfg.silence_ms)
        return {
            InstanceId(peer.instance): Link(
                peer.instance,
                _peering_address(peer),
                self._clock,
                self.metrics,
                timing,
                self._tls_contexts,
            )
            for peer in self._settings.peers
        }

    def _build_context(
        self, router: ProgramRouter, control: ControlGroup, admission: Admission
    ) -> EntryContext:
        settings = self._settings
        return EntryContext(
            settings=settings,
            registry=self._registry,
            admission=admission,
            router=router,
            clock=self._clock,
            metrics=self.metrics,
            silence_ms=control.silence_ms,
            is_ready=lambda: self.ready.is_set() and not self._is_stopping,
        )


def _peering_address(cfg: ListenAddress | Peer) -> Address:
    return Address(cfg.host, cfg.port)
