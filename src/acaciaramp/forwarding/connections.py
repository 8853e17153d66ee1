"""Connections to endpoints, kept while they can be trusted."""

from __future__ import annotations

import collections
import socket
from typing import TYPE_CHECKING, Any

import httpcore

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.messages import RawHeaders
    from acaciaramp.ids import ServiceName

    MostOf = Callable[[ServiceName], int | None]

CONNECT_MS = 700
# An endpoint that acknowledges nothing for so long is taken for lost.
_UNACKNOWLEDGED_MS = 1_500
_PROBE_AFTER_S = 1
_PROBES = 2
# Where an endpoint does not say how long it keeps idle connections.
_IDLE_MS = 3_000
# An idle connection is left so long before its endpoint closes it.
_IDLE_MARGIN_MS = 700

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_AFTER_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)

_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class Connection:
    """One connection to an endpoint, used by one request at a time.

    Attributes:
        idle_ms: How long it may be kept idle.
        used_ms: When it was last used.
    """

    def __init__(
        self, origin: httpcore.Origin, stream: httpcore.AsyncNetworkStream
    ) -> None:
        """Create the connection on an open stream."""
        self.idle_ms = _IDLE_MS
        self.used_ms = 0
        self._origin = origin
        self._http = httpcore.AsyncHTTP11Connection(origin, stream)

    async def send(
        self, method: str, target: bytes, headers: RawHeaders, body: bytes
    ) -> httpcore.Response:
        """Send a request; return its answer, whose body is still to come.

        Raises:
            EndpointError: There is no answer; the request may have run.
        """
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=target,
        )
        try:
            return await self._http.handle_async_request(
                httpcore.Request(method, url, headers=headers, content=body)
            )
        except _NETWORK_ERRORS as exc:
            raise cut_error(exc) from None

    @property
    def has_stray_bytes(self) -> bool:
        """Whether bytes have come that belong to no request."""
        # httpcore does not show what its parser has read beyond the answer.
        parser: Any = self._http._h11_state
        return bool(parser.trailing_data[0])

    def can_be_kept(self) -> bool:
        """Return whether another request may be sent on it.

        Bytes behind a whole answer belong to no request, so that a connection
        on which there are any is of no more use.
        """
        if not self._http.is_idle() or self._http.has_expired():
            return False
        return not self.has_stray_bytes

    async def aclose(self) -> None:
        """Close the connection at once."""
        await self._http.aclose()


class ConnectionPool:
    """Connections by endpoint; those that are idle are used again."""

    def __init__(self, clock: Clock, most_of: MostOf) -> None:
        """Create the pool without connections.

        Args:
            clock: Tells how long a connection was idle.
            most_of: Returns how many connections to an endpoint this instance
                may have, None for any number.
        """
        self._clock = clock
        self._most_of = most_of
        self._idle: dict[str, list[Connection]] = {}
        self._open_counts: collections.Counter[str] = collections.Counter()
        self._backend = httpcore.AnyIOBackend()

    async def acquire(self, endpoint: Endpoint) -> Connection:
        """Return a connection that nothing else uses.

        Raises:
            EndpointError: The endpoint cannot be reached; nothing was sent.
        """
        idle = self._idle.get(endpoint.id, [])
        while idle:
            conn = idle.pop()
            if conn.can_be_kept() and not self._is_old(conn):
                return conn
            await self.discard(endpoint, conn)
        self._check_bound(endpoint)
        return await self._open(endpoint)

    async def release(self, endpoint: Endpoint, conn: Connection) -> None:
        """Keep a connection for the next request, or close it."""
        if not conn.can_be_kept():
            await self.discard(endpoint, conn)
            return
        conn.used_ms = self._clock.now_ms()
        self._idle.setdefault(endpoint.id, []).append(conn)

    async def discard(self, endpoint: Endpoint, conn: Connection) -> None:
        """Close a connection."""
        await self._close(endpoint.id, conn)

    async def close_expired(self) -> None:
        """Close connections that their endpoints will close soon."""
        # Others may use the pool while a connection is closed.
        for name, conn in self._take_old():
            await self._close(name, conn)

    def _take_old(self) -> list[tuple[str, Connection]]:
        """Take out the connections that are idle for too long."""
        old = [
            (name, conn)
            for name, idle in self._idle.items()
            for conn in idle
            if self._is_old(conn)
        ]
        for name, conn in old:
            self._idle[name].remove(conn)
        return old

    def _is_old(self, conn: Connection) -> bool:
        age_ms = self._clock.now_ms() - conn.used_ms
        return age_ms >= conn.idle_ms - _IDLE_MARGIN_MS

    def _check_bound(self, endpoint: Endpoint) -> None:
        """Refuse to open more connections than the endpoint accepts.

        Raises:
            EndpointError: There are as many; nothing was sent.
        """
        most = self._most_of(endpoint.service)
        count = self._open_counts[endpoint.id]
        if most is not None and count >= most:
            raise EndpointError(
                Failure.REFUSED,
                Verdict.NOT_RUN,
                f'{count} connections to the endpoint are in use here',
            )

    async def _close(self, name: str, conn: Connection) -> None:
        self._note_closed(name)
        await conn.aclose()

    def _note_closed(self, name: str) -> None:
        self._open_counts[name] -= 1
        if not self._open_counts[name]:
            self._open_counts.pop(name)

    async def _open(self, endpoint: Endpoint) -> Connection:
        self._open_counts[endpoint.id] += 1
        try:
            return await self._connect(endpoint)
        except BaseException:
            self._note_closed(endpoint.id)
            raise

    async def _connect(self, endpoint: Endpoint) -> Connection:
        try:
            stream = await self._backend.connect_tcp(
                endpoint.host,
                endpoint.port,
                timeout=CONNECT_MS / MS_PER_SECOND,
                socket_options=_SOCKET_OPTIONS,
            )
        except _NETWORK_ERRORS as exc:
            raise EndpointError(
                Failure.CONNECT,
                Verdict.NOT_RUN,
                f'no connection to the endpoint: {type(exc).__name__}',
            ) from None
        origin = httpcore.Origin(b'http', endpoint.host.encode(), endpoint.port)
        return Connection(origin, stream)


async def parts_of(resp: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the body of an answer as it comes.

    Raises:
        EndpointError: The body was cut.
    """
    try:
        async for part in resp.aiter_stream():
            yield part
    except _NETWORK_ERRORS as exc:
        raise cut_error(exc) from None


def cut_error(exc: Exception) -> EndpointError:
    """Return the error of an answer that did not come whole."""
    return EndpointError(
        Failure.CONNECTION_LOST,
        Verdict.MAY_HAVE_RUN,
        f'the answer was cut: {type(exc).__name__}',
    )
