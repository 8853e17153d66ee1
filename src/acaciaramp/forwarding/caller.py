"""The caller's side of one request, on top of an ASGI server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.util.numbers import parse_count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.forwarding.messages import RawHeaders

    Message = dict[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_DISCONNECT = 'http.disconnect'
_CONTENT_LENGTH = b'content-length'
_CONNECTION_CLOSE = (b'connection', b'close')


class Caller:
    """Reads the body of one request and sends its response.

    Attributes:
        has_started: Whether the head of the response was sent.
        has_finished: Whether the last part of the response was sent.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        *,
        should_close: Callable[[], bool],
        announced_bytes: int | None = None,
    ) -> None:
        """Create the caller's side of a request.

        Args:
            receive: ASGI callable that returns the server's next message.
            send: ASGI callable that passes a message to the server.
            should_close: Returns whether the connection is to be closed after
                the response.
            announced_bytes: Size of the body that the headers announce, if
                any.
        """
        self.has_started = False
        self.has_finished = False
        self._receive = receive
        self._send = send
        self._should_close = should_close
        self._announced_bytes = announced_bytes
        # Whether an unread rest of the body makes the connection unusable.
        self._is_body_refused = False

    async def read_body(self, max_bytes: int) -> bytes | None:
        """Return the complete body, None if the caller disconnects first.

        Args:
            max_bytes: Maximum size of the body.

        Raises:
            CallError: The body is larger than ``max_bytes``.
        """
        self._is_body_refused = True
        if (self._announced_bytes or 0) > max_bytes:
            raise _too_large(max_bytes)
        received = bytearray()
        is_complete = False
        while not is_complete:
            kind, is_complete = await self._receive_part(received)
            if kind == _DISCONNECT:
                return None
            if len(received) > max_bytes:
                received.clear()
                raise _too_large(max_bytes)
        self._is_body_refused = False
        return bytes(received)

    async def wait_disconnected(self) -> None:
        """Return when the caller has closed its connection.

        Only valid after the body was read: other messages are discarded.
        """
        kind = ''
        while kind != _DISCONNECT:
            message = await self._receive()
            kind = message['type']

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send status and headers."""
        if self._should_close() or self._is_body_refused:
            headers = [*headers, _CONNECTION_CLOSE]
        self.has_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )

    async def finish(self, part: bytes = b'') -> None:
        """Send the last part of the body and end the response."""
        self.has_finished = True
        await self._send({'type': 'http.response.body', 'body': part})

    async def send_response(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete response."""
        await self.start(status, headers)
        await self.finish(body)

    async def _receive_part(self, received: bytearray) -> tuple[str, bool]:
        """Add the next part of the body to what was received.

        The message is released here: if the caller of this method had it, the
        part would be held twice until the next one arrives.

        Returns:
            The type of the message, and whether the body is complete.
        """
        message = await self._receive()
        received += message.get('body', b'')
        return message['type'], not message.get('more_body', False)


def announced_bytes(headers: RawHeaders) -> int | None:
    """Return the size of a body that headers announce, None if they do not."""
    length = dict(headers).get(_CONTENT_LENGTH, b'')
    return parse_count(length.decode('latin-1'))


def _too_large(max_bytes: int) -> CallError:
    return CallError(
        ErrorCode.BODY_TOO_LARGE, f'a body may have {max_bytes} bytes at most'
    )
