"""HTTP connections of callers, guarded against slow and oversize headers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.entry.answers import error_body
from acaciaramp.errors import CallError, ErrorCode

if TYPE_CHECKING:
    import asyncio

    from acaciaramp.settings.model import RequestLimits

_HEAD_TOO_LARGE = b'431 Request Header Fields Too Large'
_TOO_SLOW = b'408 Request Timeout'
_MALFORMED = b'400 Bad Request'
_UNAVAILABLE = b'503 Service Unavailable'


class GuardedProtocol(HttpToolsProtocol):
    """A connection that is closed if its headers are slow or too long."""

    def __init__(self, limits: RequestLimits, **kwargs: Any) -> None:
        """Create the connection.

        Args:
            limits: Most bytes and time for the headers, most connections.
            **kwargs: What the server gives to every connection.
        """
        super().__init__(**kwargs)
        self._limits = limits
        self._head_bytes = 0
        self._is_in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Begin to wait for the first headers."""
        super().connection_made(transport)
        if len(self.connections) > self._limits.connections:
            self._refuse(_UNAVAILABLE, 'there are too many connections')
            return
        self._await_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of the headers."""
        if self._is_in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._is_in_head and self._head_bytes > self._limits.header_bytes:
            self._refuse(
                _HEAD_TOO_LARGE,
                f'headers may have {self._limits.header_bytes} bytes at most',
            )

    def on_message_begin(self) -> None:
        """Begin to wait for the headers."""
        self._is_in_head = True
        if self._head_timer is None:
            self._await_head()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self._is_in_head = False
        self._head_bytes = 0
        self._stop_timer()
        if _head_size(self.headers) > self._limits.header_bytes:
            self._refuse(
                _HEAD_TOO_LARGE,
                f'headers may have {self._limits.header_bytes} bytes at most',
            )
            return
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP in the form of all errors."""
        self._refuse(_MALFORMED, 'the request is not valid HTTP')

    def _await_head(self) -> None:
        self._head_timer = self.loop.call_later(
            self._limits.header_ms / MS_PER_SECOND, self._on_slow_head
        )

    def _on_slow_head(self) -> None:
        self._refuse(_TOO_SLOW, 'the headers did not come in time')

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse(self, status: bytes, message: str) -> None:
        if self.transport.is_closing():
            return
        refusal = CallError(ErrorCode.BAD_REQUEST, message).refusal
        body = msgspec.json.encode(error_body(refusal))
        self.transport.write(
            b'HTTP/1.1 %s\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\nconnection: close\r\n\r\n%s'
            % (status, len(body), body)
        )
        self.transport.close()


def _head_size(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(text) for name, text in headers)
