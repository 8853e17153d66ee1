"""Opens TCP connections to endpoints."""

from __future__ import annotations

import socket
from typing import Any

import httpcore

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.endpoints.failures import (
    ConnectionRefused,
    EndpointError,
    Failure,
)
from acaciaramp.verdicts import Verdict

# A connection is reset if sent data is not acknowledged for this long.
_TCP_USER_TIMEOUT_MS = 1_500
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# The event loop takes over all that has arrived at once, which is megabytes with the
# default; this fills a link of 25 Mbit/s between regions.
RECEIVE_BUFFER_BYTES = 65_536

SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
)

NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_backend = httpcore.AnyIOBackend()


class StreamWrapper(httpcore.AsyncNetworkStream):
    """A stream on top of another one; passes everything on."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        """Wrap a stream."""
        self._stream = stream

    # The signatures of ``read`` and ``write`` are those of the base class.
    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Read bytes; none at the end of the connection."""
        return await self._stream.read(max_bytes, timeout)

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> None:
        """Write bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection."""
        return self._stream.get_extra_info(info)


async def dial(
    host: str, port: int, timeout_ms: int
) -> httpcore.AsyncNetworkStream:
    """Open a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_ms: Time limit, milliseconds.

    Raises:
        EndpointError: There is no connection; nothing was sent. It is a
            ``ConnectionRefused`` if the host has said so.
    """
    try:
        return await _backend.connect_tcp(
            host,
            port,
            timeout=timeout_ms / MS_PER_SECOND,
            socket_options=SOCKET_OPTIONS,
        )
    except NETWORK_ERRORS as exc:
        error_type = ConnectionRefused if _is_refused(exc) else EndpointError
        raise error_type(
            Failure.CONNECT,
            Verdict.NOT_RUN,
            f'no connection to the endpoint: {type(exc).__name__}',
        ) from None


def _is_refused(exc: BaseException) -> bool:
    """Return whether a refused connection is among the causes of an error."""
    cause: BaseException | None = exc
    while cause is not None and not isinstance(cause, ConnectionRefusedError):
        cause = cause.__cause__
    return cause is not None
