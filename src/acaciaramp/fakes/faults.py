"""Fault injection for the fakes."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from acaciaramp.fakes.connections import abort_connection

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

    from acaciaramp.clock import Clock

_REFUSAL_STATUS = 503
_CONTROL_PATH = '/faults'


class FaultKind(enum.Enum):
    """How a request fails.

    Attributes:
        REFUSE: Responds with status 503 without running the request.
        SILENT: Sends nothing until the client disconnects.
        CUT: Drops the connection after the first bytes of the body.
        CRASH: Calls the crash function of the injector.
        RESET: Aborts the connection without running the request.
        SLOW: Delays each part of the response.
        LATE: Delays the request before it runs.
    """

    REFUSE = 'refuse'
    SILENT = 'silent'
    CUT = 'cut'
    CRASH = 'crash'
    RESET = 'reset'
    SLOW = 'slow'
    LATE = 'late'


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault and the requests that it applies to.

    Attributes:
        kind: How the request fails.
        times: Number of requests that the fault is injected into.
        path: Prefix of the request path.
        after_bytes: Length of the body at which a ``cut`` response ends.
        delay_ms: Delay before a ``late`` request is handled, or before each
            part of a ``slow`` response, milliseconds.
        marker: Text that the request body must contain; empty matches every
            body.
    """

    kind: FaultKind
    times: int = 1
    path: str = '/'
    after_bytes: int = 0
    delay_ms: int = 0
    marker: str = ''


class ResponseCutError(Exception):
    """Ends a response in its body, so that the server drops the connection."""


class FaultInjector:
    """ASGI middleware that injects faults into requests.

    ``POST /faults`` adds a fault, ``DELETE /faults`` removes all.
    """

    def __init__(
        self, app: ASGIApp, clock: Clock, crash: Callable[[Scope], None]
    ) -> None:
        """Wrap ``app``.

        Args:
            app: The fake that serves the requests.
            clock: Paces ``late`` and ``slow`` responses.
            crash: Called for a ``crash`` fault; ends the process or, in tests,
                aborts the connection.
        """
        self._app = app
        self._clock = clock
        self._crash = crash
        self._faults: list[Fault] = []
        self._silent_requests = 0
        self._changed = anyio.Event()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request, with the first fault that matches it."""
        if scope['type'] != 'http':
            return
        if scope['path'] == _CONTROL_PATH:
            response = await self._control(Request(scope, receive))
            await response(scope, receive, send)
            return
        buffered = await _BufferedRequest.read(receive)
        fault = self._match_fault(scope['path'], buffered.body)
        if fault is None:
            await self._app(scope, buffered.receive, send)
            return
        await self._inject(fault, scope, buffered, send)

    def add(self, fault: Fault) -> None:
        """Inject ``fault`` into the next requests that it matches."""
        self._faults.append(fault)

    async def wait_silenced(self, count: int) -> None:
        """Wait until ``count`` requests have met a ``silent`` fault."""
        while self._silent_requests < count:
            await self._changed.wait()

    def _match_fault(self, path: str, body: bytes) -> Fault | None:
        for index, fault in enumerate(self._faults):
            if not path.startswith(fault.path):
                continue
            if fault.marker.encode() in body:
                self._consume(index, fault)
                return fault
        return None

    def _consume(self, index: int, fault: Fault) -> None:
        if fault.times > 1:
            self._faults[index] = msgspec.structs.replace(
                fault, times=fault.times - 1
            )
        else:
            self._faults.pop(index)

    async def _inject(
        self, fault: Fault, scope: Scope, buffered: _BufferedRequest, send: Send
    ) -> None:
        match fault.kind:
            case FaultKind.REFUSE:
                response = Response('refused', status_code=_REFUSAL_STATUS)
                await response(scope, buffered.receive, send)
            case FaultKind.SILENT:
                await self._withhold_response(buffered)
            case FaultKind.CRASH:
                self._crash(scope)
            case FaultKind.RESET:
                abort_connection(scope)
            case FaultKind.CUT:
                cutting_send = _CuttingSender(send, fault.after_bytes)
                await self._app(scope, buffered.receive, cutting_send)
            case FaultKind.SLOW:
                delayed_send = _make_delayed_send(
                    send, self._clock, fault.delay_ms
                )
                await self._app(scope, buffered.receive, delayed_send)
            case FaultKind.LATE:
                await self._clock.sleep_ms(fault.delay_ms)
                await self._app(scope, buffered.receive, send)

    async def _withhold_response(self, buffered: _BufferedRequest) -> None:
        self._silent_requests += 1
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
        await buffered.wait_for_disconnect()

    async def _control(self, req: Request) -> Response:
        if req.method == 'DELETE':
            self._faults.clear()
        else:
            self.add(msgspec.json.decode(await req.body(), type=Fault))
        return JSONResponse({'faults': len(self._faults)})


class _BufferedRequest:
    """A request whose body was read and is replayed to the application."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self.body = body
        self._receive = receive
        self._is_replayed = False

    @classmethod
    async def read(cls, receive: Receive) -> _BufferedRequest:
        parts = []
        while True:
            message = await receive()
            parts.append(message.get('body', b''))
            if not message.get('more_body', False):
                return cls(b''.join(parts), receive)

    async def receive(self) -> Message:
        if self._is_replayed:
            return await self._receive()
        self._is_replayed = True
        return {'type': 'http.request', 'body': self.body, 'more_body': False}

    async def wait_for_disconnect(self) -> None:
        message: Any = {}
        while message.get('type') != 'http.disconnect':
            message = await self._receive()


class _CuttingSender:
    """Sends the first bytes of a response body, then raises an error."""

    def __init__(self, send: Send, after_bytes: int) -> None:
        self._send = send
        self._remaining_bytes = after_bytes

    async def __call__(self, message: Message) -> None:
        if message['type'] != 'http.response.body':
            await self._send(message)
            return
        body = message.get('body', b'')
        if len(body) < self._remaining_bytes:
            self._remaining_bytes -= len(body)
            await self._send(message)
            return
        part = body[: self._remaining_bytes]
        await self._send({**message, 'body': part, 'more_body': True})
        raise ResponseCutError


def _make_delayed_send(send: Send, clock: Clock, delay_ms: int) -> Send:
    async def delayed(message: Message) -> None:
        await clock.sleep_ms(delay_ms)
        await send(message)

    return delayed
