"""One instance: all its parts, from start to graceful shutdown."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import anyio

from acaciaramp.assembly import (
    HomeParts,
    build_dispatcher,
    build_host,
    locations_of,
)
from acaciaramp.cells.router import Router
from acaciaramp.clock import SystemClock
from acaciaramp.documents.registry import Registry, load_document
from acaciaramp.endpoints.engine import EngineClient
from acaciaramp.endpoints.http import HttpClient
from acaciaramp.entry.asgi import make_app
from acaciaramp.entry.context import EntryContext
from acaciaramp.entry.protocol import GuardedProtocol
from acaciaramp.ids import InstanceId
from acaciaramp.limits.admission import Admission
from acaciaramp.membership.leaving import LeavingList
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.link import Link
from acaciaramp.peering.messages import Channel
from acaciaramp.peering.server import serve_peers
from acaciaramp.programs.releases import Releases
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import open_port, serving

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.cells.cell import Cell
    from acaciaramp.cells.host import CellHost
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Document
    from acaciaramp.settings.model import Listen, Peer, Settings

logger = get_logger('application')

_RECONCILE_PERIOD_MS = 5_000


class Application:
    """One instance of the system.

    Attributes:
        metrics: Its counters.
        ready: Set once callers are served.
        releases: Frees the engine memory of ended programs.
        leaving: Endpoints that leave.
    """

    def __init__(
        self, settings: Settings, document: Document, clock: Clock
    ) -> None:
        """Create the instance; ``run`` starts it.

        Args:
            settings: Its settings.
            document: The environment.
            clock: Source of time.
        """
        self.metrics = Metrics(settings.statsd)
        self.ready = anyio.Event()
        self._settings = settings
        self._clock = clock
        self._registry = Registry(document)
        self._http = HttpClient(self._clock)
        self._engine = EngineClient(self._http, clock, self.metrics)
        self.releases = Releases(
            self._engine.release, self._engine.sessions, self._registry, clock
        )
        self.leaving = LeavingList(settings.instance_list, self._http, clock)
        self._cells: CellHost | None = None
        self._is_stopping = False

    @property
    def cells(self) -> dict[InstanceId, Cell]:
        """The cells hosted here, by name."""
        return {} if self._cells is None else self._cells.cells

    @classmethod
    def from_settings(cls, settings: Settings) -> Application:
        """Return the instance that the settings describe.

        Raises:
            FileError: The document cannot be read.
            CheckError: The document has mistakes.
        """
        document = load_document(settings.document)
        return cls(settings, document, SystemClock())

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then stop without cutting a request.

        Args:
            stop: Set to begin the shutdown.
        """
        async with anyio.create_task_group() as tasks:
            await self._serve(tasks, stop)
            tasks.cancel_scope.cancel()
        await self._http.aclose()
        logger.info(
            'The instance has stopped.', instance=self._settings.instance
        )

    async def _serve(self, tasks: TaskGroup, stop: anyio.Event) -> None:
        settings = self._settings
        links = self._links()
        for link in links.values():
            tasks.start_soon(link.run)
        locations = locations_of(settings)
        parts = HomeParts(
            settings=settings,
            registry=self._registry,
            dispatcher=build_dispatcher(
                settings,
                self._registry,
                self._engine,
                self._http,
                self.leaving,
                self._clock,
                self.metrics,
            ),
            releases=self.releases,
            clock=self._clock,
            metrics=self.metrics,
        )
        host = build_host(parts, links, locations, tasks)
        self._cells = host
        router = Router(
            instance=InstanceId(settings.instance),
            host=host,
            links=links,
            locations=locations,
            waits=settings.waits,
            clock=self._clock,
        )
        handlers = {
            Channel.PROGRAMS: router.answer_wire,
            Channel.CELLS: host.answer_wire,
        }
        await tasks.start(
            serve_peers, _inner_url(settings.inner), handlers, self.metrics
        )
        tasks.start_soon(self.leaving.run)
        tasks.start_soon(self.releases.run)
        tasks.start_soon(host.run)
        tasks.start_soon(self._reconcile, host)
        await self._serve_callers(router, stop)
        await host.drain(settings.waits.drain_ms)
        await host.hand_over()

    async def _reconcile(self, host: CellHost) -> None:
        while True:
            await self._clock.sleep_ms(_RECONCILE_PERIOD_MS)
            await self.releases.reconcile(host.is_gone)

    async def _serve_callers(self, router: Router, stop: anyio.Event) -> None:
        settings = self._settings
        sock = open_port(settings.callers.host, settings.callers.port)
        app = make_app(self._context(router))
        protocol = functools.partial(GuardedProtocol, settings.limits)
        async with serving(app, sock, protocol):
            self.ready.set()
            logger.info('The instance is ready.', instance=settings.instance)
            await stop.wait()
            self._is_stopping = True
            logger.info('The instance is stopping.', instance=settings.instance)

    def _links(self) -> dict[InstanceId, Link]:
        return {
            InstanceId(peer.instance): Link(
                peer.instance, _inner_url(peer), self._clock, self.metrics
            )
            for peer in self._settings.peers
        }

    def _context(self, router: Router) -> EntryContext:
        settings = self._settings
        names = sorted(
            [settings.instance, *(peer.instance for peer in settings.peers)]
        )
        return EntryContext(
            settings=settings,
            registry=self._registry,
            admission=Admission(
                position=names.index(settings.instance),
                instances=len(names),
                wait_ms=settings.waits.rate_ms,
                clock=self._clock,
            ),
            router=router,
            clock=self._clock,
            metrics=self.metrics,
            is_ready=lambda: self.ready.is_set() and not self._is_stopping,
        )


def _inner_url(address: Listen | Peer) -> str:
    return f'tcp://{address.host}:{address.port}'
