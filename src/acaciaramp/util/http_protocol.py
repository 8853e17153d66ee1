"""HTTP connections of callers: each request as it was sent, responses in order.

Connections speak no other protocol. An upgrade to one is ignored, as RFC 9110,
section 7.8, allows: the request is read as if it had no ``Upgrade`` field.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

BAD_REQUEST = b'400 Bad Request'
_UPGRADE = b'upgrade'
_CONNECT = b'CONNECT'
# Extension of ASGI scopes with the target of the request.
_TARGET = 'acaciaramp.target'
# Longer than the bytes that a caller has under way take to arrive.
_LONGEST_LINGER_MS = 1_000


class RejectedError(Exception):
    """A request was rejected; nothing more is parsed of its connection."""


class RequestProtocol(HttpToolsProtocol):
    """Server connection that passes on requests as they were sent.

    The parser ends a message that asks for an upgrade at its head and takes its
    body for the other protocol. It is replaced by one that gets the head again
    without the request for an upgrade, and then the body.

    A request that is rejected gets an HTTP status once the requests before it
    have their responses; then the connection is closed.
    """

    def __init__(self, **kwargs: Any) -> None:
        """Create the connection.

        Args:
            **kwargs: Arguments that uvicorn passes to every connection.
        """
        super().__init__(**kwargs)
        self._unfinished: collections.deque[RequestResponseCycle] = (
            collections.deque()
        )
        self._rejection: bytes | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._is_reading_headers = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell every request of the connection that its caller has gone.

        The web server tells the newest one only.
        """
        for cycle in self._unfinished:
            cycle.disconnected = True
            cycle.message_event.set()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; reject what is not valid HTTP.

        Bytes after a rejected head belong to no request.
        """
        self._unset_keepalive_if_required()
        unparsed = data if self._rejection is None else b''
        while unparsed:
            unparsed = self._parse(unparsed)

    def on_message_begin(self) -> None:
        """Begin to read the head of a request."""
        self._is_reading_headers = True
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request; fields after its body are ignored.

        They may arrive before or after the request is routed.
        """
        if self._is_reading_headers:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request unless its head is to be parsed again.

        Raises:
            RejectedError: The request is not for an origin server; the parser
                stops at its head.
        """
        if self.parser.get_method() == _CONNECT:
            raise self.rejected(
                BAD_REQUEST, 'a connection cannot become a tunnel'
            )
        # Applications get the target without its fragment or authority.
        if not self.url.startswith(b'/') or b'#' in self.url:
            raise self.rejected(
                BAD_REQUEST, 'a target begins with "/" and has no fragment'
            )
        if not self.parser.should_upgrade():
            self._is_reading_headers = False
            self.scope['extensions'] = target_extension(self.url)
            super().on_headers_complete()
            self._unfinished.append(self.cycle)

    def on_message_complete(self) -> None:
        """End the body of the request unless its head is to be parsed again."""
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request; responses are sent in the order of requests."""
        self._unfinished.popleft()
        super().on_response_complete()
        self._send_rejection()

    def reject(self, status: bytes, message: str) -> None:
        """Respond with a status and close the connection.

        The response is sent after those of the requests before. Nothing happens
        if a request was rejected already or the connection is closing.

        Args:
            status: Status code and reason phrase.
            message: The reason, for the response body.
        """
        if self._rejection is not None or self.transport.is_closing():
            return
        self.record_rejection(message)
        headers, body = self.rejection_body(message)
        self._rejection = (
            b'HTTP/1.1 %s\r\n%scontent-length: %d\r\n'
            b'connection: close\r\n\r\n%s' % (status, headers, len(body), body)
        )
        self._drop_incomplete_request()
        self._send_rejection()

    def rejected(self, status: bytes, message: str) -> RejectedError:
        """Reject a request; return the error that stops the parser.

        Args:
            status: Status code and reason phrase.
            message: The reason, for the response body.
        """
        self.reject(status, message)
        return RejectedError(message)

    def record_rejection(self, message: str) -> None:
        """Record that a request is rejected; does nothing by default."""

    def rejection_body(self, message: str) -> tuple[bytes, bytes]:
        """Return the headers and body of a rejection; empty by default."""
        return b'', b''

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes and return those that are to be parsed next."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            head_end: int = exc.args[0]
            head = self._head_without_upgrade()
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            return head + data[head_end:]
        except httptools.HttpParserError:
            # A rejection from within the parser has been made already.
            self.reject(BAD_REQUEST, 'the request is not valid HTTP')
        return b''

    def _drop_incomplete_request(self) -> None:
        """Drop the request whose body is rejected, which can never end.

        If its response has begun, the connection is closed at once: a rejection
        would be part of that response.
        """
        if not self._unfinished or not self._unfinished[-1].more_body:
            return
        cycle = self._unfinished.pop()
        cycle.disconnected = True
        cycle.message_event.set()
        if cycle.response_started:
            self.transport.close()
        elif self.pipeline:
            # The newest request is on the left; it waits for those before.
            self.pipeline.popleft()

    def _send_rejection(self) -> None:
        """Send the rejection once no response is due before it, and close."""
        is_next = self._rejection is not None and not self._unfinished
        if is_next and not self.transport.is_closing():
            self.transport.write(self._rejection or b'')
            self._linger()

    def _linger(self) -> None:
        """Close the connection, but read on until the caller has closed it.

        Closing a connection with unread bytes resets it, and the caller could
        lose the responses.
        """
        self.transport.write_eof()
        self.flow.resume_reading()
        self._linger_timer = self.loop.call_later(
            _LONGEST_LINGER_MS / MS_PER_SECOND, self.transport.close
        )

    def _head_without_upgrade(self) -> bytes:
        """Return the head that was parsed last without its ``Upgrade`` fields."""
        version = self.parser.get_http_version().encode()
        lines = [
            b'%s %s HTTP/%s' % (self.parser.get_method(), self.url, version)
        ]
        lines.extend(
            b'%s: %s' % (name, field)
            for name, field in self.headers
            if name != _UPGRADE
        )
        return b'\r\n'.join((*lines, b'', b''))


def request_target(scope: Mapping[str, Any]) -> bytes:
    """Return the target of a request, byte for byte as the caller sent it.

    The path and the query string that ASGI defines do not tell ``/`` from
    ``/?``.

    Args:
        scope: ASGI scope of a request on a ``RequestProtocol``.
    """
    target: bytes = scope['extensions'][_TARGET]['target']
    return target


def target_extension(target: bytes) -> dict[str, Any]:
    """Return the extensions of an ASGI scope for a request target."""
    return {_TARGET: {'target': target}}
