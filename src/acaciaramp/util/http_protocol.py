"""HTTP connections of callers: each request as it was sent, responses in order.

Connections speak no other protocol. An upgrade to one is ignored, as RFC 9110,
section 7.8, allows: the request is read as if it had no ``Upgrade`` field.
"""

from __future__ import annotations

import collections
import random
import weakref
from typing import TYPE_CHECKING, Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.util.caller_budget import CallerBudget, CloseReason
from acaciaramp.util.held_bytes import (
    UNAVAILABLE,
    CountedTransport,
    EagerFlow,
    HeldBytes,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Mapping

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    RawHeaders = list[tuple[bytes, bytes]]


BAD_REQUEST = b'400 Bad Request'
TIMEOUT = b'408 Request Timeout'
HEADERS_TOO_LARGE = b'431 Request Header Fields Too Large'
_NOT_RUN = frozenset((TIMEOUT, UNAVAILABLE))
_UPGRADE = b'upgrade'
_CONNECT = b'CONNECT'
# Extension of ASGI scopes with the target of the request.
_TARGET = 'acaciaramp.target'
# Longer than the bytes that a caller has under way take to arrive.
_LONGEST_LINGER_MS = 1_000
# The parser makes objects of up to 25 times the size of the bytes that it gets
# at once; a single read may bring 256 KiB.
_PARSED_BYTES = 16_384
# Clients that send requests before the responses to earlier ones send a few.
_MAX_UNANSWERED = 64
# As much as headers may have by default.
_MAX_FRAMING_BYTES = 16_384
# Random, so that callers that are refused at once do not come back at once.
_RETRY_AFTER_S = (0.2, 0.5)


class RejectedError(Exception):
    """A request was rejected; nothing more is parsed of its connection."""


class RequestProtocol(HttpToolsProtocol):
    """Server connection that passes on requests as they were sent.

    The parser ends a message that asks for an upgrade at its head and takes its
    body for the other protocol. It is replaced by one that gets the head again
    without the request for an upgrade, and then the body.

    A request that is rejected gets an HTTP status once the requests before it
    have their responses; then the connection is closed.

    What the connection holds counts in a budget: headers, bodies until their
    responses have been sent, requests that wait for a response, and responses
    that the caller has not read.
    """

    def __init__(
        self,
        budget: CallerBudget | None = None,
        most_framing_bytes: Callable[[], int] | None = None,
        **kwargs: Any,
    ) -> None:
        """Create the connection.

        Args:
            budget: Budget of the process; None for no limit.
            most_framing_bytes: Returns the limit on bytes of a chunked body that
                are not its content, between two parts of the content and after
                the last one; None for the default.
            **kwargs: Arguments that uvicorn passes to every connection.
        """
        super().__init__(**kwargs)
        # Without a reference cycle, a closed connection is freed at once.
        self._held = HeldBytes(
            weakref.proxy(self), budget or CallerBudget.unlimited()
        )
        self._unfinished: collections.deque[RequestResponseCycle] = (
            collections.deque()
        )
        self._rejection: bytes | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._is_reading_headers = True
        self._is_reading_body = False
        # Bytes since the last part of a body, or since the headers before it.
        self._framing_bytes = 0
        self._most_framing_bytes = most_framing_bytes or _default_framing_bytes

    def connection_made(self, transport: Any) -> None:
        """Open the account; refuse the connection if there is no room for it."""
        super().connection_made(transport)
        if not self._held.open():
            transport.write(_rejection_head(UNAVAILABLE, _retry_after(), 0))
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell every request of the connection that its caller has gone.

        The web server tells the newest one only.
        """
        for cycle in self._unfinished:
            cycle.disconnected = True
            cycle.message_event.set()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._held.close()
        super().connection_lost(exc)
        # Requests and timers refer to the connection.
        self._unset_keepalive_if_required()
        self._unfinished.clear()
        self.pipeline.clear()
        self.cycle = None  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; reject what is not valid HTTP.

        Bytes after a rejected head belong to no request. What has been parsed
        is counted after each part of the data.
        """
        self._unset_keepalive_if_required()
        self._held.record_progress()
        for start in range(0, len(data), _PARSED_BYTES):
            if self._rejection is not None or self.transport.is_closing():
                return
            self.feed(data[start : start + _PARSED_BYTES])
            self._held.update()

    def feed(self, data: bytes) -> None:
        """Parse a part of what has arrived.

        The parser collects a field after the body until it is complete. Such
        fields, and what precedes a chunk, have a limit of their own.
        """
        self._framing_bytes += len(data)
        unparsed = data
        while unparsed:
            unparsed = self._parse(unparsed)
        if self._is_reading_headers:
            self._held.add_incomplete_head(len(data))
        if not self._is_reading_body:
            self._framing_bytes = 0
        self._held.framing_bytes = self._framing_bytes
        most_bytes = self._most_framing_bytes()
        if self._framing_bytes > most_bytes:
            self.reject(
                HEADERS_TOO_LARGE,
                f'fields after a body may have {most_bytes} bytes at most',
            )

    def on_message_begin(self) -> None:
        """Begin to read the head of a request."""
        self._is_reading_headers = True
        self._held.start_head()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request; fields after its body are ignored.

        They may arrive before or after the request is routed.
        """
        if self._is_reading_headers:
            self._held.add_header(len(name) + len(value))
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
        if self.parser.should_upgrade():
            return
        if len(self._unfinished) >= _MAX_UNANSWERED:
            self._held.record_refusal(CloseReason.PIPELINE)
            raise self.rejected(
                UNAVAILABLE, f'{_MAX_UNANSWERED} requests wait for responses'
            )
        self._is_reading_headers = False
        self._is_reading_body = True
        self._framing_bytes = 0
        self.scope['extensions'] = target_extension(self.url)
        super().on_headers_complete()
        self.cycle.transport = CountedTransport(  # type: ignore[assignment]
            self.transport, self._held, self._close_after_response
        )
        self.cycle.flow = EagerFlow(self.flow, self.cycle)  # type: ignore[assignment]
        self._unfinished.append(self.cycle)
        self._held.end_head()

    def on_body(self, body: bytes) -> None:
        """Add to the body of the newest request, unless it was answered."""
        self._framing_bytes = 0
        if not self.cycle.response_complete:
            self._held.add_body(len(body))
            super().on_body(body)

    def on_message_complete(self) -> None:
        """End the body of the request unless its head is to be parsed again."""
        if not self.parser.should_upgrade():
            self._is_reading_body = False
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request; responses are sent in the order of requests."""
        self._unfinished.popleft()
        self._held.end_oldest()
        super().on_response_complete()
        self._send_rejection()

    def resume_writing(self) -> None:
        """Continue with responses, as the caller has read what was sent."""
        self._held.record_progress()
        self._held.update()
        super().resume_writing()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection, as no request has come for some time."""
        if not self.transport.is_closing():
            self._held.close_when_read()

    @property
    def is_receiving_body(self) -> bool:
        """Whether the body of the newest request is incomplete."""
        return bool(self._unfinished) and self._unfinished[-1].more_body

    @property
    def is_rejected(self) -> bool:
        """Whether nothing more is parsed of the connection."""
        return self._rejection is not None

    def reject(self, status: bytes, message: str) -> None:
        """Respond with a status and close the connection.

        The response is sent after those of the requests before. There is none if
        the request was answered before its body had ended. Nothing happens if a
        request was rejected already or the connection is closing.

        Args:
            status: Status code and reason phrase.
            message: The reason, for the response body.
        """
        if self._rejection is not None or self.transport.is_closing():
            return
        headers, body = self.rejection_body(message)
        if status in _NOT_RUN:
            headers += _retry_after()
        if status != UNAVAILABLE:
            self.record_rejection(message)
        if self._is_reading_body and self.cycle.response_complete:
            self._stop_parsing()
            return
        self._rejection = _rejection_head(status, headers, len(body)) + body
        self._drop_incomplete_head()
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
            head = _head_without_upgrade(self.parser, self.url, self.headers)
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            return head + data[head_end:]
        except httptools.HttpParserError:
            # A rejection from within the parser has been made already.
            self.reject(BAD_REQUEST, 'the request is not valid HTTP')
        return b''

    def _close_after_response(self) -> None:
        """Close the connection after the bytes that were written.

        If the caller is still sending, its bytes are read for a while, as in
        ``_linger``; none of them is parsed.
        """
        if not (self.is_receiving_body or self.pipeline):
            self._held.close_when_read()
            return
        self._stop_parsing()

    def _stop_parsing(self) -> None:
        """Close the connection after the bytes that were written."""
        self._rejection = b''
        self.pipeline.clear()
        self._linger()

    def _drop_incomplete_head(self) -> None:
        # The headers of a complete head belong to its request.
        if self._is_reading_headers and self.headers:
            self.headers.clear()
        self._held.drop_head()

    def _drop_incomplete_request(self) -> None:
        """Drop the request whose body is rejected, which can never end.

        If its response has begun, the connection is closed at once: a rejection
        would be part of that response.
        """
        if not self._unfinished or not self._unfinished[-1].more_body:
            return
        cycle = self._unfinished.pop()
        self._held.drop_newest()
        # Otherwise the body would still be asked for.
        cycle.waiting_for_100_continue = False
        cycle.body.clear()
        cycle.disconnected = True
        cycle.message_event.set()
        if cycle.response_started:
            self.transport.close()
        elif self.pipeline:
            # The newest request is on the left; it waits for those before.
            self.pipeline.popleft()

    def _send_rejection(self) -> None:
        """Send the rejection once no response is due before it, and close."""
        if self._unfinished or self.transport.is_closing():
            return
        if self._rejection:
            self.transport.write(self._rejection)
            self._linger()

    def _linger(self) -> None:
        """Close the connection, but read on until the caller has closed it.

        Closing a connection with unread bytes resets it, and the caller could
        lose the responses.
        """
        if self._linger_timer is not None:
            return
        self._held.end()
        self.transport.write_eof()
        self.flow.resume_reading()
        self._linger_timer = self.loop.call_later(
            _LONGEST_LINGER_MS / MS_PER_SECOND, self.transport.close
        )


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


def _default_framing_bytes() -> int:
    return _MAX_FRAMING_BYTES


def _head_without_upgrade(
    parser: httptools.HttpRequestParser,
    target: bytes,
    headers: RawHeaders,
) -> bytes:
    """Return the head that was parsed last without its ``Upgrade`` fields."""
    version = parser.get_http_version().encode()
    lines = [b'%s %s HTTP/%s' % (parser.get_method(), target, version)]
    lines.extend(
        b'%s: %s' % (name, field) for name, field in headers if name != _UPGRADE
    )
    return b'\r\n'.join((*lines, b'', b''))


def _rejection_head(status: bytes, headers: bytes, body_bytes: int) -> bytes:
    return (
        b'HTTP/1.1 %s\r\n%scontent-length: %d\r\n'
        b'connection: close\r\n\r\n' % (status, headers, body_bytes)
    )


def _retry_after() -> bytes:
    return b'retry-after: %.3f\r\n' % random.uniform(*_RETRY_AFTER_S)
