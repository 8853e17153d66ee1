"""Pool of HTTP/1.1 connections to endpoints."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import httpcore

from acaciaramp.endpoints.dialing import NETWORK_ERRORS, StreamWrapper
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.buffers import too_long_error
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.dialer import DialedStream, Dialer
    from acaciaramp.forwarding.messages import RawHeaders
    from acaciaramp.forwarding.pacing import RelayPace
    from acaciaramp.ids import ServiceName
    from acaciaramp.tunnels.opener import Regions

    ConnectionLimit = Callable[[ServiceName], int | None]

# Idle timeout of endpoints that do not send a ``Keep-Alive`` header.
_DEFAULT_IDLE_MS = 3_000
# Connections are closed this long before the idle timeout of the endpoint, to
# avoid that a request is sent on a connection that the endpoint is closing.
_IDLE_MARGIN_MS = 700

# All heads of one response together, and the part of the body that comes with them.
_MAX_HEAD_BYTES = 98_304
# Many short informational responses are parsed without a wait between them.
_HEAD_PART_BYTES = 4_096

# A slow endpoint holds up one such part of a body at a time.
_SENT_PART_BYTES = 65_536


class _HeadTooLongError(Exception):
    """The head of a response does not end."""


class _BoundedStream(StreamWrapper):
    """A network stream that limits the bytes before the end of a head.

    The HTTP parser limits each single head, but not the number of
    informational ones that may precede the head of a response.

    Attributes:
        is_reading_head: Whether the head of a response is being read.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self.is_reading_head = False
        self._head_bytes = 0

    def start_head(self) -> None:
        """Start to count, as a request is about to be sent."""
        self.is_reading_head = True
        self._head_bytes = 0

    # The signatures of ``read`` and ``write`` are those of the base class.
    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Read bytes.

        Raises:
            _HeadTooLongError: The head is too long.
        """
        if not self.is_reading_head:
            return await self._stream.read(max_bytes, timeout)
        most_bytes = min(max_bytes, _HEAD_PART_BYTES)
        received = await self._stream.read(most_bytes, timeout)
        self._head_bytes += len(received)
        if self._head_bytes > _MAX_HEAD_BYTES:
            raise _HeadTooLongError
        return received


class Connection:
    """A connection to an endpoint, used by one request at a time.

    Attributes:
        idle_ms: Idle timeout of the endpoint, milliseconds.
        last_used_ms: Time at which it was last returned to the pool.
        peer: Host of the peer that it runs through; None if it is direct.
        tunnel_peer: Address of that peer.
    """

    def __init__(self, origin: httpcore.Origin, dialed: DialedStream) -> None:
        """Create the connection on an open stream to the endpoint."""
        self.idle_ms = _DEFAULT_IDLE_MS
        self.last_used_ms = 0
        self.tunnel_peer = dialed.peer
        self.peer = None if dialed.peer is None else dialed.peer.host
        self._origin = origin
        self._stream = _BoundedStream(dialed.stream)
        self._http = httpcore.AsyncHTTP11Connection(origin, self._stream)

    async def send(
        self, method: str, target: bytes, headers: RawHeaders, body: bytes
    ) -> httpcore.Response:
        """Send a request and return its response with an unread body.

        Raises:
            EndpointError: The connection failed, or the head of the response
                is too long; the request may have run.
        """
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=target,
        )
        self._stream.start_head()
        try:
            resp = await self._http.handle_async_request(
                httpcore.Request(
                    method, url, headers=headers, content=_body_parts(body)
                )
            )
        except _HeadTooLongError:
            raise too_long_error(_MAX_HEAD_BYTES) from None
        except NETWORK_ERRORS as exc:
            raise connection_lost_error(exc) from None
        self._stream.is_reading_head = False
        return resp

    @property
    def has_stray_bytes(self) -> bool:
        """Whether bytes follow the response that belong to no request."""
        # httpcore has no public access to what its parser has read beyond the
        # end of the response.
        parser: Any = self._http._h11_state
        return bool(parser.trailing_data[0])

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection.

        After stray bytes a later request could get the response of another
        one, so such a connection is not used again.
        """
        if not self._http.is_idle() or self._http.has_expired():
            return False
        return not self.has_stray_bytes

    async def aclose(self) -> None:
        """Close the connection."""
        await self._http.aclose()


class ConnectionPool:
    """Pool of connections by endpoint with a limit per endpoint."""

    def __init__(
        self, dialer: Dialer, clock: Clock, limit_of: ConnectionLimit
    ) -> None:
        """Create an empty pool.

        Args:
            dialer: Opens connections.
            clock: Clock for idle times.
            limit_of: Returns the maximum number of connections of this
                instance to each endpoint of a service, None for no limit.
        """
        self._dialer = dialer
        self._clock = clock
        self._limit_of = limit_of
        self._idle: dict[str, list[Connection]] = {}
        self._open_counts: collections.Counter[str] = collections.Counter()

    async def acquire(
        self, endpoint: Endpoint, regions: Regions = None
    ) -> Connection:
        """Return an idle connection or open a new one.

        Args:
            endpoint: The endpoint.
            regions: Regions that the request is bound to; None for all. It does
                not pass through peers outside.

        Raises:
            EndpointError: The endpoint cannot be reached, or the limit of
                connections is reached; nothing was sent.
        """
        idle = self._idle.get(endpoint.id, [])
        while idle:
            conn = idle.pop()
            if self._is_usable(conn, regions):
                return conn
            await self.discard(endpoint, conn)
        self._check_limit(endpoint)
        return await self._open(endpoint, regions)

    async def release(self, endpoint: Endpoint, conn: Connection) -> None:
        """Return a connection to the pool; close it if it is not reusable."""
        if not conn.is_reusable():
            await self.discard(endpoint, conn)
            return
        conn.last_used_ms = self._clock.now_ms()
        self._idle.setdefault(endpoint.id, []).append(conn)

    async def discard(self, endpoint: Endpoint, conn: Connection) -> None:
        """Close a connection that was acquired."""
        await self._close(endpoint.id, conn)

    async def close_expired(self) -> None:
        """Close idle connections that their endpoints will close soon."""
        # The connections are removed before the first await, since other tasks
        # use the pool while a connection is being closed.
        for endpoint_id, conn in self._pop_expired():
            await self._close(endpoint_id, conn)

    def _pop_expired(self) -> list[tuple[str, Connection]]:
        """Remove and return the connections that were idle for too long."""
        expired = [
            (endpoint_id, conn)
            for endpoint_id, idle in self._idle.items()
            for conn in idle
            if self._is_expired(conn)
        ]
        for endpoint_id, conn in expired:
            self._idle[endpoint_id].remove(conn)
        return expired

    def _is_usable(self, conn: Connection, regions: Regions) -> bool:
        """Return whether a request may be sent on an idle connection.

        A direct one may be dead while new ones run through peers, and one through
        a peer is slower than a direct one.
        """
        if (conn.peer is not None) != self._dialer.uses_tunnels:
            return False
        peer = conn.tunnel_peer
        if peer is not None and not self._dialer.allows(peer, regions):
            return False
        return conn.is_reusable() and not self._is_expired(conn)

    def _is_expired(self, conn: Connection) -> bool:
        idle_ms = self._clock.now_ms() - conn.last_used_ms
        return idle_ms >= conn.idle_ms - _IDLE_MARGIN_MS

    def _check_limit(self, endpoint: Endpoint) -> None:
        """Check that another connection to an endpoint may be opened.

        Raises:
            EndpointError: The limit is reached; nothing was sent.
        """
        limit = self._limit_of(endpoint.service)
        count = self._open_counts[endpoint.id]
        if limit is not None and count >= limit:
            raise EndpointError(
                Failure.REFUSED,
                Verdict.NOT_RUN,
                f'{count} connections to the endpoint are in use here',
            )

    async def _close(self, endpoint_id: str, conn: Connection) -> None:
        self._record_closed(endpoint_id)
        await conn.aclose()

    def _record_closed(self, endpoint_id: str) -> None:
        self._open_counts[endpoint_id] -= 1
        if not self._open_counts[endpoint_id]:
            self._open_counts.pop(endpoint_id)

    async def _open(self, endpoint: Endpoint, regions: Regions) -> Connection:
        self._open_counts[endpoint.id] += 1
        try:
            return await self._connect(endpoint, regions)
        except BaseException:
            self._record_closed(endpoint.id)
            raise

    async def _connect(
        self, endpoint: Endpoint, regions: Regions
    ) -> Connection:
        dialed = await self._dialer.open(endpoint, regions)
        origin = httpcore.Origin(b'http', endpoint.host.encode(), endpoint.port)
        return Connection(origin, dialed)


def _body_parts(body: bytes) -> bytes | AsyncIterator[bytes]:
    """Return a body so that no second copy of a large one waits to be sent."""
    if len(body) <= _SENT_PART_BYTES:
        return body
    return _iter_parts(body)


async def _iter_parts(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), _SENT_PART_BYTES):
        yield body[start : start + _SENT_PART_BYTES]


async def iter_body(
    resp: httpcore.Response, pace: RelayPace
) -> AsyncIterator[bytes]:
    """Yield the parts of a response body as they arrive.

    Args:
        resp: The response.
        pace: Pace of the response.

    Raises:
        EndpointError: The connection failed before the end of the body.
    """
    try:
        async for part in resp.aiter_stream():
            yield part
            await pace.record_part(len(part))
    except NETWORK_ERRORS as exc:
        raise connection_lost_error(exc) from None


def connection_lost_error(exc: Exception) -> EndpointError:
    """Return the error for a connection that failed during an exchange."""
    return EndpointError(
        Failure.CONNECTION_LOST,
        Verdict.MAY_HAVE_RUN,
        f'the answer was cut: {type(exc).__name__}',
    )
