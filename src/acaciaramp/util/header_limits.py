"""HTTP connections that are closed if headers are slow or too long."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

_HEAD_TOO_LARGE = b'431 Request Header Fields Too Large'
_TOO_SLOW = b'408 Request Timeout'
_MALFORMED = b'400 Bad Request'


class HeaderLimits(NamedTuple):
    """What the headers of a request may take.

    Attributes:
        most_bytes: Bytes of all names and values.
        longest_ms: Time from their first byte to their last, milliseconds.
    """

    most_bytes: int
    longest_ms: int


class HeaderLimitProtocol(HttpToolsProtocol):
    """A connection that refuses slow, oversize and malformed headers."""

    def __init__(
        self, header_limits: Callable[[], HeaderLimits], **kwargs: Any
    ) -> None:
        """Create the connection.

        Args:
            header_limits: Returns the limits in force.
            **kwargs: What the server gives to every connection.
        """
        super().__init__(**kwargs)
        self._header_limits = header_limits
        self._head_bytes = 0
        self._is_in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of the headers."""
        if self._is_in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        # A part that ends the headers may hold a body as well.
        is_long = self._head_bytes > self._header_limits().most_bytes
        if self._is_in_head and is_long:
            self._refuse_size()

    def on_message_begin(self) -> None:
        """Begin to wait for the rest of the headers."""
        self._is_in_head = True
        if self._head_timer is None:
            self.start_header_timer()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the size of the headers."""
        self._is_in_head = False
        self._head_bytes = 0
        self._stop_timer()
        size = sum(len(name) + len(text) for name, text in self.headers)
        if size > self._header_limits().most_bytes:
            self._refuse_size()
            return
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP."""
        self.reject(_MALFORMED, 'the request is not valid HTTP')

    def start_header_timer(self) -> None:
        """Begin to wait for headers."""
        self._head_timer = self.loop.call_later(
            self._header_limits().longest_ms / MS_PER_SECOND, self._on_slow_head
        )

    def reject(self, status: bytes, message: str) -> None:
        """Answer with a status and close the connection.

        Args:
            status: Status code and reason phrase.
            message: What was wrong.
        """
        if not self.transport.is_closing():
            head, body = self.rejection_body(message)
            self.transport.write(
                b'HTTP/1.1 %s\r\n%scontent-length: %d\r\n'
                b'connection: close\r\n\r\n%s' % (status, head, len(body), body)
            )
            self.transport.close()

    def rejection_body(self, message: str) -> tuple[bytes, bytes]:
        """Return headers and body of a refusal; nothing unless overridden."""
        return b'', b''

    def _refuse_size(self) -> None:
        most = self._header_limits().most_bytes
        self.reject(_HEAD_TOO_LARGE, f'headers may have {most} bytes at most')

    def _on_slow_head(self) -> None:
        self.reject(_TOO_SLOW, 'the headers did not come in time')

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
