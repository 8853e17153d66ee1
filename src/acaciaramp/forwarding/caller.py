"""The caller's side of one request: its body, its presence and the answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from acaciaramp.errors import CallError, ErrorCode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.forwarding.messages import RawHeaders

    Message = dict[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_GONE = 'http.disconnect'
_CLOSE = (b'connection', b'close')


class Caller:
    """One request of a caller on its connection.

    Attributes:
        has_started: Whether an answer has begun.
        has_ended: Whether the answer is whole.
    """

    def __init__(
        self,
        receive: Receive,
        send: Send,
        *,
        closes: Callable[[], bool],
    ) -> None:
        """Create the caller's side.

        Args:
            receive: Returns the next message of the ASGI server.
            send: Hands a message to the ASGI server.
            closes: Whether the connection is to end with the answer.
        """
        self.has_started = False
        self.has_ended = False
        self._receive = receive
        self._send = send
        self._closes = closes

    async def read_body(self, most_bytes: int) -> bytes | None:
        """Return the whole body, None if the caller goes before its end.

        Raises:
            CallError: The body is too long.
        """
        parts = bytearray()
        while True:
            message = await self._receive()
            if message['type'] == _GONE:
                return None
            parts += message.get('body', b'')
            if len(parts) > most_bytes:
                raise CallError(
                    ErrorCode.BODY_TOO_LARGE,
                    f'a body may have {most_bytes} bytes at most',
                )
            if not message.get('more_body', False):
                return bytes(parts)

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""
        kind = ''
        while kind != _GONE:
            message = await self._receive()
            kind = message['type']

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Begin the answer."""
        if self._closes():
            headers = [*headers, _CLOSE]
        self.has_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, part: bytes) -> None:
        """Hand on a part of the body."""
        await self._send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )

    async def finish(self, part: bytes = b'') -> None:
        """Hand on the last part of the body."""
        self.has_ended = True
        await self._send({'type': 'http.response.body', 'body': part})

    async def send_response(
        self, status: int, headers: RawHeaders, body: bytes
    ) -> None:
        """Send an answer that is here as a whole."""
        await self.start(status, headers)
        await self.finish(body)
