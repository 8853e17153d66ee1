"""One instance: all its parts, from start to graceful shutdown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.cells.router import Router, answer
from acaciaramp.clock import SystemClock
from acaciaramp.documents.registry import Registry, load_document
from acaciaramp.endpoints.engine import EngineClient
from acaciaramp.endpoints.http import HttpClient
from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.endpoints.sending import make_sender
from acaciaramp.entry.asgi import make_app
from acaciaramp.entry.context import EntryContext
from acaciaramp.entry.protocol import guarded_protocol
from acaciaramp.ids import InstanceId
from acaciaramp.limits.admission import Admission
from acaciaramp.membership.leaving import LeavingList
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.link import Link
from acaciaramp.peering.server import serve_peers
from acaciaramp.programs.dispatch import Dispatcher
from acaciaramp.programs.home import Home
from acaciaramp.programs.log import MemoryLog
from acaciaramp.programs.machine import Programs
from acaciaramp.programs.releases import Releases
from acaciaramp.scheduling.scheduler import Scheduler
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import open_port, serving

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.settings.model import Settings

logger = get_logger('application')

_EXPIRY_PERIOD_MS = 1_000


class Application:
    """One instance of the system.

    Attributes:
        metrics: Its counters.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the instance; ``run`` starts it.

        Args:
            settings: Its settings.

        Raises:
            FileError: The document cannot be read.
            CheckError: The document has mistakes.
        """
        self.metrics = Metrics(settings.statsd)
        self._settings = settings
        self._clock = SystemClock()
        self._registry = Registry(load_document(settings.document))
        self._http = HttpClient(self._clock)
        self._is_ready = False

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then shut down without cutting a request.

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
        home = self._home(tasks)
        links = self._links()
        for link in links.values():
            tasks.start_soon(link.run)
        router = Router(
            InstanceId(settings.instance), home, links, settings.waits.peer_ms
        )
        await tasks.start(
            serve_peers,
            f'tcp://{settings.inner.host}:{settings.inner.port}',
            lambda req: answer(home, req),
            self.metrics,
        )
        sock = open_port(settings.callers.host, settings.callers.port)
        app = make_app(self._context(router))
        async with serving(app, sock, guarded_protocol(settings.limits)):
            self._is_ready = True
            logger.info('The instance is ready.', instance=settings.instance)
            await stop.wait()
            self._is_ready = False
            logger.info('The instance is stopping.', instance=settings.instance)
            await self._drain(home)

    async def _drain(self, home: Home) -> None:
        """Wait until callers and the other instances need nothing more."""
        await home.wait_idle()

    def _home(self, tasks: TaskGroup) -> Home:
        settings = self._settings
        state = Programs()
        log = MemoryLog(state)
        leaving = LeavingList(settings.instance_list, self._http, self._clock)
        if settings.instance_list is not None:
            tasks.start_soon(leaving.run)
        engine = EngineClient(self._http, self._clock, self.metrics)
        scheduler = Scheduler(
            registry=self._registry,
            zone=settings.availability_zone,
            instances=len(settings.peers) + 1,
            queue_length=settings.queue_length,
            queue_ms=settings.waits.queue_ms,
            clock=self._clock,
            metrics=self.metrics,
            is_leaving=leaving.is_leaving,
        )
        releases = Releases(engine.release, self._registry, self._clock)
        tasks.start_soon(releases.run)
        home = Home(
            state=state,
            log=log,
            releases=releases,
            registry=self._registry,
            dispatcher=Dispatcher(
                scheduler=scheduler,
                send=make_sender(engine, PlainClient(self._http)),
                retries=settings.retries,
                clock=self._clock,
                metrics=self.metrics,
            ),
            settings=settings,
            clock=self._clock,
            metrics=self.metrics,
            tasks=tasks,
        )
        tasks.start_soon(self._expire, home)
        return home

    async def _expire(self, home: Home) -> None:
        while True:
            await self._clock.sleep_ms(_EXPIRY_PERIOD_MS)
            await home.expire()

    def _links(self) -> dict[InstanceId, Link]:
        return {
            InstanceId(peer.instance): Link(
                peer.instance,
                f'tcp://{peer.host}:{peer.port}',
                self._clock,
                self.metrics,
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
            is_ready=lambda: self._is_ready,
        )
