"""Faults that a stand-in can be told to show."""

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

_REFUSED_STATUS = 503
_CONTROL_PATH = '/faults'


class FaultKind(enum.Enum):
    """What a stand-in does to a request."""

    REFUSE = 'refuse'
    SILENT = 'silent'
    CUT = 'cut'
    CRASH = 'crash'
    RESET = 'reset'
    SLOW = 'slow'
    LATE = 'late'


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    Attributes:
        kind: What happens.
        times: How many requests it happens to.
        path: Beginning of the paths that it happens to.
        after_bytes: Where a cut answer ends, bytes of its body.
        delay_ms: How late an answer begins, or how long each part of a slow
            one takes, milliseconds.
        marker: Text in the body that it happens to; empty for every body.
    """

    kind: FaultKind
    times: int = 1
    path: str = '/'
    after_bytes: int = 0
    delay_ms: int = 0
    marker: str = ''


class CutError(Exception):
    """Ends an answer in the middle, so that the server drops the connection."""


class FaultInjector:
    """Puts faults in front of an application.

    ``POST /faults`` adds one, ``DELETE /faults`` removes all.

    Attributes:
        seen: Notified through ``wait_seen`` at each request.
    """

    def __init__(
        self, app: ASGIApp, clock: Clock, crash: Callable[[Scope], None]
    ) -> None:
        """Wrap ``app``.

        Args:
            app: The stand-in.
            clock: Paces late and slow answers.
            crash: Ends the process, or what stands for it.
        """
        self._app = app
        self._clock = clock
        self._crash = crash
        self._faults: list[Fault] = []
        self._silenced = 0
        self._changed = anyio.Event()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request, with the fault that fits it."""
        if scope['type'] != 'http':
            return
        if scope['path'] == _CONTROL_PATH:
            response = await self._control(Request(scope, receive))
            await response(scope, receive, send)
            return
        replay = await _Replay.of(receive)
        fault = self._next(scope['path'], replay.body)
        if fault is None:
            await self._app(scope, replay.receive, send)
            return
        await self._show(fault, scope, replay, send)

    def add(self, fault: Fault) -> None:
        """Show ``fault`` to the next requests that it fits."""
        self._faults.append(fault)

    async def wait_silenced(self, count: int) -> None:
        """Return once ``count`` requests were met with silence."""
        while self._silenced < count:
            await self._changed.wait()

    def _next(self, path: str, body: bytes) -> Fault | None:
        for index, fault in enumerate(self._faults):
            if not path.startswith(fault.path):
                continue
            if fault.marker.encode() in body:
                self._use(index, fault)
                return fault
        return None

    def _use(self, index: int, fault: Fault) -> None:
        if fault.times > 1:
            self._faults[index] = msgspec.structs.replace(
                fault, times=fault.times - 1
            )
        else:
            self._faults.pop(index)

    async def _show(
        self, fault: Fault, scope: Scope, replay: _Replay, send: Send
    ) -> None:
        match fault.kind:
            case FaultKind.REFUSE:
                response = Response('refused', status_code=_REFUSED_STATUS)
                await response(scope, replay.receive, send)
            case FaultKind.SILENT:
                await self._stay_silent(replay)
            case FaultKind.CRASH:
                self._crash(scope)
            case FaultKind.RESET:
                abort_connection(scope)
            case FaultKind.CUT:
                cut = _CuttingSend(send, fault.after_bytes)
                await self._app(scope, replay.receive, cut)
            case FaultKind.SLOW:
                slow = _slowing(send, self._clock, fault.delay_ms)
                await self._app(scope, replay.receive, slow)
            case FaultKind.LATE:
                await self._clock.sleep_ms(fault.delay_ms)
                await self._app(scope, replay.receive, send)

    async def _stay_silent(self, replay: _Replay) -> None:
        self._silenced += 1
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
        await replay.wait_gone()

    async def _control(self, req: Request) -> Response:
        if req.method == 'DELETE':
            self._faults.clear()
        else:
            self.add(msgspec.json.decode(await req.body(), type=Fault))
        return JSONResponse({'faults': len(self._faults)})


class _Replay:
    """A request's body, read before and given to the application again."""

    def __init__(self, body: bytes, receive: Receive) -> None:
        self.body = body
        self._receive = receive
        self._is_given = False

    @classmethod
    async def of(cls, receive: Receive) -> _Replay:
        parts = []
        while True:
            message = await receive()
            parts.append(message.get('body', b''))
            if not message.get('more_body', False):
                return cls(b''.join(parts), receive)

    async def receive(self) -> Message:
        if self._is_given:
            return await self._receive()
        self._is_given = True
        return {'type': 'http.request', 'body': self.body, 'more_body': False}

    async def wait_gone(self) -> None:
        message: Any = {}
        while message.get('type') != 'http.disconnect':
            message = await self._receive()


class _CuttingSend:
    """Sends the beginning of an answer, then drops the connection."""

    def __init__(self, send: Send, after_bytes: int) -> None:
        self._send = send
        self._left = after_bytes

    async def __call__(self, message: Message) -> None:
        if message['type'] != 'http.response.body':
            await self._send(message)
            return
        body = message.get('body', b'')
        if len(body) < self._left:
            self._left -= len(body)
            await self._send(message)
            return
        part = body[: self._left]
        await self._send({**message, 'body': part, 'more_body': True})
        raise CutError


def _slowing(send: Send, clock: Clock, delay_ms: int) -> Send:
    async def slow(message: Message) -> None:
        await clock.sleep_ms(delay_ms)
        await send(message)

    return slow
