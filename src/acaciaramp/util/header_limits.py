"""HTTP connections that are closed if headers are slow or too large."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.util.http_protocol import (
    HEADERS_TOO_LARGE,
    TIMEOUT,
    RejectedError,
    RequestProtocol,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class HeaderLimits(NamedTuple):
    """Limits on the headers of a request.

    Attributes:
        most_bytes: Maximum size of all names and values together, and of the
            bytes received before the headers are complete. It applies to the
            fields after a body as well.
        longest_ms: Maximum time to receive the headers, milliseconds; it
            starts at their first byte, or at an earlier call of
            ``start_header_timer``.
    """

    most_bytes: int
    longest_ms: int


class HeaderLimitProtocol(RequestProtocol):
    """Server connection that rejects slow and oversized headers."""

    def __init__(
        self, header_limits: Callable[[], HeaderLimits], **kwargs: Any
    ) -> None:
        """Create the connection.

        Args:
            header_limits: Returns the current limits.
            **kwargs: Arguments that uvicorn passes to every connection.
        """

        def most_bytes() -> int:
            return header_limits().most_bytes

        super().__init__(most_framing_bytes=most_bytes, **kwargs)
        self._header_limits = header_limits
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the header timer."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def feed(self, data: bytes) -> None:
        """Reject the request once too many header bytes have arrived."""
        if self._is_reading_headers:
            self._header_bytes += len(data)
        super().feed(data)
        # Checked only while headers are incomplete: the data that completes them
        # may contain part of the body as well.
        is_oversized = self._header_bytes > self._header_limits().most_bytes
        if self._is_reading_headers and is_oversized:
            self._reject_oversized()

    def on_message_begin(self) -> None:
        """Start the header timer, unless it is running already."""
        if self._header_timer is None:
            self.start_header_timer()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Cancel the header timer; reject the request if headers are too large.

        Raises:
            RejectedError: They are; the parser stops, as the body of the request
                must not be taken for that of the one before.
        """
        if self.parser.should_upgrade():
            # The head is parsed again, and counted then.
            super().on_headers_complete()
            return
        self._header_bytes = 0
        self._cancel_header_timer()
        size = sum(len(name) + len(text) for name, text in self.headers)
        if size > self._header_limits().most_bytes:
            raise self._reject_oversized()
        super().on_headers_complete()

    def start_header_timer(self) -> None:
        """Reject the request unless its headers complete within the limit."""
        self._header_timer = self.loop.call_later(
            self._header_limits().longest_ms / MS_PER_SECOND,
            self._on_header_timeout,
        )

    def _reject_oversized(self) -> RejectedError:
        max_bytes = self._header_limits().most_bytes
        return self.rejected(
            HEADERS_TOO_LARGE,
            f'headers may have {max_bytes} bytes at most',
        )

    def _on_header_timeout(self) -> None:
        self.reject(TIMEOUT, 'the headers did not come in time')

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None
