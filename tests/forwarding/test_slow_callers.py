"""Streams are read from their endpoint while their callers are slow."""

from __future__ import annotations

import contextlib
import functools
import socket
from typing import TYPE_CHECKING, Any

import anyio

from acaciaramp.forwarding.protocol import TrafficLimitProtocol
from acaciaramp.util.caller_budget import (
    BudgetLimits,
    CallerBudget,
    CloseReason,
)
from acaciaramp.util.webserver import bind_socket, running_server
from tests import builders as build
from tests.forwarding.endpoint import ReceivedRequest, stream_to
from tests.forwarding.harness import harness_with

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

EVENT = 65_536 * b'z'
TIMEOUT_S = 30
LONG_MS = 60_000
REQUEST = (
    b'POST /chat/1 HTTP/1.1\r\nhost: example.test\r\nx-attempt-id: a\r\n'
    b'authorization: Bearer %s\r\ncontent-length: 0\r\n\r\n'
    % build.KEY.encode()
)


class Stream:
    """A stream of an endpoint, and a caller that does not read it yet.

    Attributes:
        ended: Whether the endpoint has sent all of it.
        reasons: Why the caller was cut off.
    """

    def __init__(self, events: int) -> None:
        """Create a stream of some events."""
        self.ended = False
        self.reasons: list[CloseReason] = []
        self._events = events

    def send(self, request: ReceivedRequest) -> Any:
        """Return the parts that the endpoint sends."""
        return self._parts(request)

    def _parts(self, request: ReceivedRequest) -> Iterator[bytes]:
        yield from stream_to(request, *(self._events * [EVENT]))
        self.ended = True

    @contextlib.asynccontextmanager
    async def unread(self) -> AsyncIterator[socket.socket]:
        """Request the stream through a gateway; yield the caller's socket."""
        budget = CallerBudget(
            BudgetLimits(), lambda reason, _: self.reasons.append(reason)
        )
        route = build.route(timeout_ms=LONG_MS)
        async with harness_with(route, self.send) as (harness, _):
            sock = bind_socket('127.0.0.1', 0)
            # The caller connects before the server may have begun to.
            sock.listen()
            protocol = functools.partial(
                TrafficLimitProtocol,
                harness.router,
                harness.metrics,
                budget=budget,
            )
            app: Any = harness.gateway.serve
            async with running_server(app, [sock], protocol):
                with socket.socket() as caller:
                    # Little of the stream is held by the system.
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    caller.connect(sock.getsockname())
                    caller.sendall(REQUEST)
                    yield caller


def read_to_end(caller: socket.socket) -> bytes:
    """Return what arrives until the stream or the connection ends."""
    caller.settimeout(TIMEOUT_S)
    received = bytearray()
    with contextlib.suppress(ConnectionResetError):
        while not received.endswith(b'\r\n0\r\n\r\n'):
            part = caller.recv(65_536)
            if not part:
                break
            received += part
    return bytes(received)


# Guards against an endpoint that cuts a stream off as it is not read.
def test_a_stream_that_fits_is_read_at_once_and_arrives_whole() -> None:
    stream = Stream(events=48)

    async def scenario() -> bytes:
        async with stream.unread() as caller:
            with anyio.fail_after(TIMEOUT_S):
                while not stream.ended:
                    await anyio.sleep(0.01)
            return await anyio.to_thread.run_sync(read_to_end, caller)

    received = anyio.run(scenario)
    assert received.count(b'z') == 48 * len(EVENT)
    assert received.endswith(b'\r\n0\r\n\r\n')
    assert not stream.reasons


# Guards against memory that callers fill by not reading, and against a stream
# that looks complete though it was cut off.
def test_a_caller_that_does_not_read_a_longer_stream_is_cut_off() -> None:
    stream = Stream(events=400)

    async def scenario() -> bytes:
        async with stream.unread() as caller:
            with anyio.fail_after(TIMEOUT_S):
                while not stream.reasons:
                    await anyio.sleep(0.01)
            return await anyio.to_thread.run_sync(read_to_end, caller)

    assert not anyio.run(scenario).endswith(b'\r\n0\r\n\r\n')
    assert stream.reasons == [CloseReason.UNREAD]
    assert not stream.ended
