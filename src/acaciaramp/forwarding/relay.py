"""Relays the response of an endpoint to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.conversations.events import (
    EventCollector,
    StreamTooLargeError,
)
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.buffers import ResponseBuffer
from acaciaramp.forwarding.connections import iter_body
from acaciaramp.routing.model import RouteKind
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import httpcore

    from acaciaramp.forwarding.buffers import BufferLimit
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.caller import Caller
    from acaciaramp.forwarding.messages import ResponseHead
    from acaciaramp.forwarding.pacing import RelayPace
    from acaciaramp.scheduling.speeds import ResponseTiming

_OK = 200
_MULTIPLE_CHOICES = 300
# Their responses end with the head, whatever length it states (RFC 9112, 6.3).
_BODILESS_STATUSES = frozenset((204, 304))


class Relay:
    """Relays one response to its caller.

    Successful responses of streaming routes are relayed part by part, all
    others when they are complete.

    Attributes:
        events: Counts the events of a stream and collects their data.
        status: HTTP status of the response; 0 before its head has arrived.
        timing: Learns when the parts of the response arrive.
    """

    def __init__(
        self,
        call: Call,
        caller: Caller,
        before_finish: Callable[[Relay], Awaitable[None]],
        buffers: BufferLimit,
        pace: RelayPace,
    ) -> None:
        """Create the relay.

        Args:
            call: The request.
            caller: Receives the response.
            buffers: Limit on the responses that the process holds.
            before_finish: Called when the response has arrived completely,
                before its end is sent to the caller. If it fails, the caller
                does not get a complete response.
            pace: Pace at which its parts are relayed.
        """
        self._keeps_content = (
            call.turn is not None and call.turn.plan.retention_ms > 0
        )
        # Of the content that is kept, else of the incomplete event.
        self._held_bytes = 0
        self.events = EventCollector(keeps_content=self._keeps_content)
        self.status = 0
        self.timing: ResponseTiming | None = None
        self._call = call
        self._caller = caller
        self._before_finish = before_finish
        self._buffers = buffers
        self._pace = pace

    @property
    def is_success(self) -> bool:
        """Whether the status of the response is 2xx."""
        return _OK <= self.status < _MULTIPLE_CHOICES

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self._caller.has_started

    async def send(self, head: ResponseHead, resp: httpcore.Response) -> None:
        """Relay a response to the caller.

        Args:
            head: Status and headers for the caller.
            resp: Response of the endpoint with its unread body.

        Raises:
            EndpointError: The response was truncated.
            CallError: ``before_finish`` failed.
        """
        self.status = head.status
        is_bodiless = head.status in _BODILESS_STATUSES
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if is_stream and self.is_success and not is_bodiless:
            try:
                await self._stream(head, resp)
            finally:
                # The traceback of an error may keep the relay for a while.
                self.events.drop_content()
                self._buffers.remove(self._held_bytes)
            return
        with ResponseBuffer(self._buffers) as buffer:
            async for part in iter_body(resp, self._pace):
                buffer.append(part)
            self._record_part()
            if is_bodiless:
                await self._send_bodiless(head)
                return
            await self._send_whole(head, buffer.take())

    async def _send_bodiless(self, head: ResponseHead) -> None:
        """Send a response without a body, and without a length.

        A 204 must not have one, and the web server holds a 304 to it.
        """
        await self._before_finish(self)
        headers = [
            item for item in head.headers if item[0] != b'content-length'
        ]
        await self._caller.send_response(head.status, headers, b'')

    async def _send_whole(self, head: ResponseHead, body: bytes) -> None:
        if head.length is not None and self._call.inbound.method != 'HEAD':
            _check_length(head.length, len(body))
        await self._before_finish(self)
        headers = head.headers
        if head.length is None:
            length = str(len(body)).encode()
            headers = [*headers, (b'content-length', length)]
        await self._caller.send_response(head.status, headers, body)

    async def _stream(
        self, head: ResponseHead, resp: httpcore.Response
    ) -> None:
        """Relay each part as it arrives and end after ``before_finish``.

        A caller regards a response with a content length as complete at its
        last byte; its last part is therefore sent after ``before_finish``.
        """
        await self._caller.start(head.status, head.headers)
        remaining_bytes = head.length
        last = b''
        async for part in iter_body(resp, self._pace):
            self._feed_events(part)
            self._record_part()
            if remaining_bytes is not None:
                remaining_bytes -= len(part)
            if remaining_bytes == 0:
                last = part
            else:
                await self._caller.write(part)
        if self.events.is_within_event:
            raise EndpointError(
                Failure.MALFORMED,
                Verdict.MAY_HAVE_RUN,
                'the stream ended within an event',
            )
        await self._before_finish(self)
        await self._caller.finish(last)

    def _record_part(self) -> None:
        if self.timing is not None:
            self.timing.record_part(self.events.events)

    def _feed_events(self, part: bytes) -> None:
        if self._keeps_content:
            self._hold(self._held_bytes + len(part))
        try:
            self.events.feed(part)
        except StreamTooLargeError as exc:
            raise EndpointError(
                Failure.MALFORMED, Verdict.MAY_HAVE_RUN, str(exc)
            ) from None
        if not self._keeps_content:
            self._hold(self.events.pending_bytes)

    def _hold(self, size: int) -> None:
        """Count what is held now.

        Raises:
            EndpointError: There is no room for it.
        """
        if size > self._held_bytes:
            self._buffers.add(size - self._held_bytes, self._held_bytes)
        else:
            self._buffers.remove(self._held_bytes - size)
        self._held_bytes = size


def _check_length(announced_bytes: int, received_bytes: int) -> None:
    if announced_bytes != received_bytes:
        raise EndpointError(
            Failure.MALFORMED,
            Verdict.MAY_HAVE_RUN,
            f'the answer has {received_bytes} of {announced_bytes} bytes',
        )
