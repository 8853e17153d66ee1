"""Connections of callers, with the limits of the table in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import asyncio

    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.router import Router

logger = get_logger('gateway')

_HEAD_TOO_LARGE = b'431 Request Header Fields Too Large'
_TOO_SLOW = b'408 Request Timeout'
_MALFORMED = b'400 Bad Request'


class ForwardingProtocol(HttpToolsProtocol):
    """A connection that is closed if its headers are slow or too long."""

    def __init__(self, router: Router, metrics: Metrics, **kwargs: Any) -> None:
        """Create the connection.

        Args:
            router: Knows the limits.
            metrics: Counts what is refused.
            **kwargs: What the server gives to every connection.
        """
        super().__init__(**kwargs)
        self._router = router
        self._metrics = metrics
        self._head_bytes = 0
        self._is_in_head = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of the headers."""
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._head_bytes > self._router.limits.header_bytes:
                self._refuse(_HEAD_TOO_LARGE)
                return
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Begin to wait for the rest of the headers."""
        self._is_in_head = True
        self._head_bytes = 0
        self._stop_timer()
        self._head_timer = self.loop.call_later(
            self._router.limits.header_ms / MS_PER_SECOND, self._on_slow_head
        )
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self._is_in_head = False
        self._stop_timer()
        size = sum(len(name) + len(text) for name, text in self.headers)
        if size > self._router.limits.header_bytes:
            self._refuse(_HEAD_TOO_LARGE)
            return
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Keep the idle connection for as long as callers may expect."""
        self.timeout_keep_alive = self._router.limits.idle_ms // MS_PER_SECOND
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP."""
        self._refuse(_MALFORMED)

    def _on_slow_head(self) -> None:
        self._refuse(_TOO_SLOW)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse(self, status: bytes) -> None:
        if self.transport.is_closing():
            return
        self._metrics.count(Counter.BAD_INPUT, BadInput.HEADERS)
        logger.warning('Headers were refused.', status=status)
        self.transport.write(
            b'HTTP/1.1 %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n'
            % status
        )
        self.transport.close()
