"""Stand-ins for workers and for the platform's list of workers."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

from harness import http1

if TYPE_CHECKING:
    from collections.abc import Callable

    from harness.record import Record

_KEEP_ALIVE_S = 5
_CLOSED = (OSError, asyncio.IncompleteReadError)


@dataclasses.dataclass
class Run:
    """A request that a worker ran.

    Attributes:
        worker: Id of the worker.
        service: Service of the worker.
        attempt: Id of the request.
        target: Path and query.
        headers: Headers by lower-case name.
        body: The body.
        at_s: When it began, seconds on the monotonic clock.
        outputs: Data of the events that were made.
    """

    worker: str
    service: str
    attempt: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float
    outputs: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Pace:
    """How a worker answers a request.

    Attributes:
        first_s: Time before the first event, or before the whole response.
        event_s: Time between two events.
        events: Number of events of a stream.
        crashes: Whether the worker crashes after ``first_s``.
    """

    first_s: float = 0.03
    event_s: float = 0.02
    events: int = 7
    crashes: bool = False


def default_pace(_: Run) -> Pace:
    """Return the pace of a worker without trouble."""
    return Pace()


class Worker:
    """A worker that follows the users' pages.

    It runs up to ``slots`` requests at once, refuses others as not executed,
    names its MAC and the request's id in each response, and drops a request
    whose connection closes.

    Attributes:
        runs: The requests that it ran, in order of their beginning.
        pace: Returns how it answers a request.
        state: Its state on the platform's list.
        down_s: How long it is down after a crash.
        keeps_name: Whether it starts again under the same id after a crash.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        record: Record,
        *,
        is_streaming: bool,
        slots: int = 12,
    ) -> None:
        """Create the worker; ``start`` starts it."""
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.runs: list[Run] = []
        self.pace: Callable[[Run], Pace] = default_pace
        self.state = 'ready'
        self.down_s = 3.0
        self.keeps_name = True
        self.slots = slots
        self._is_streaming = is_streaming
        self._record = record
        self._active = 0
        self._born = 0
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start, or start again after a crash: listen on its address."""
        self._starts += 1
        self._active = 0
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=2**22
        )

    def crash(self) -> None:
        """End all connections at once; start again after ``down_s``."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._restart = asyncio.create_task(self._start_later())
        self._record.write('crash', worker=self.name)

    def entry(self) -> dict[str, Any]:
        """Return its entry of the platform's list."""
        host, port = self.address
        return {
            'id': self.name,
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'stage': 'mixed',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'born': self._born,
        }

    async def _start_later(self) -> None:
        await asyncio.sleep(self.down_s)
        if not self.keeps_name:
            self.name = f'{self.name.partition("+")[0]}+{self._starts}'
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await http1.read_head(reader)
                body = await http1.read_sized_body(reader, head.headers)
                await self._handle(head, body, reader, writer)
                await writer.drain()
        except _CLOSED:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        head: http1.Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = head.headers.get('x-attempt-id', '')
        common = {
            'X-Attempt-Id': attempt,
            'X-Instance-Load': f'{self._active},0,{self.slots}',
            'Keep-Alive': f'timeout={_KEEP_ALIVE_S}',
        }
        status = 0
        if head.headers.get('x-expect-instance', self.name) != self.name:
            status = 421
        elif self._active >= self.slots:
            status = 503
        if status:
            refusal = {**common, 'X-Not-Executed': '1', 'Content-Length': '0'}
            writer.write(http1.response_head(status, refusal))
            return
        run = Run(
            self.name,
            self.service,
            attempt,
            head.words[1],
            head.headers,
            body,
            time.monotonic(),
        )
        self.runs.append(run)
        self._record.write(
            'run', worker=self.name, attempt=attempt, body=len(body)
        )
        self._active += 1
        start = self._starts
        try:
            await self._answer(run, common, reader, writer)
        finally:
            if start == self._starts:
                self._active -= 1

    async def _answer(
        self,
        run: Run,
        common: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        pace = self.pace(run)
        headers = {**common, 'X-Server-Signature': f'mac.{run.attempt}'}
        await self._pause(pace.first_s, reader)
        if pace.crashes:
            self.crash()
            raise ConnectionResetError
        if not self._is_streaming:
            text = f'done {run.attempt}\n'.encode()
            headers['Content-Length'] = str(len(text))
            writer.write(http1.response_head(200, headers) + text)
            return
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        writer.write(http1.response_head(200, headers))
        for number in range(1, pace.events + 1):
            data = f'{run.attempt}-{number}'
            event = f'id: {number}\ndata: {data}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            run.outputs.append(data)
            if number < pace.events:
                await self._pause(pace.event_s, reader)
        writer.write(b'0\r\n\r\n')

    async def _pause(
        self, duration_s: float, reader: asyncio.StreamReader
    ) -> None:
        """Work for a time; drop the request if its connection closes."""
        until_s = time.monotonic() + duration_s
        while (left_s := until_s - time.monotonic()) > 0:
            await asyncio.sleep(min(left_s, 0.05))
            if reader.at_eof():
                raise ConnectionResetError


class Platform:
    """The platform's list of workers."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Create the list; ``start`` starts it."""
        self.address = address
        self.workers: list[Worker] = []

    async def start(self) -> None:
        """Listen on its address."""
        await asyncio.start_server(self._serve, *self.address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await http1.read_head(reader)
                query = urllib.parse.urlsplit(head.words[1]).query
                zone = dict(urllib.parse.parse_qsl(query)).get('zone')
                entries = [
                    worker.entry()
                    for worker in self.workers
                    if zone in {None, worker.zone}
                ]
                page = {'instances': entries, 'next': None}
                writer.write(http1.json_response(200, page))
                await writer.drain()
        except _CLOSED:
            pass
        finally:
            writer.close()
