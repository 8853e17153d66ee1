"""Hands an endpoint's answer on to the caller, as it comes or as a whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.conversations.events import EventCollector
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.connections import parts_of
from acaciaramp.routing.model import RouteKind
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import httpcore

    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.caller import Caller
    from acaciaramp.forwarding.messages import ResponseHead

_FIRST_SUCCESS = 200
_FIRST_OTHER = 300


class Relay:
    """The way of one answer to its caller.

    Attributes:
        events: What passed of a stream.
        status: Status of the answer; 0 before it begins.
    """

    def __init__(
        self,
        call: Call,
        caller: Caller,
        before_end: Callable[[Relay], Awaitable[None]],
    ) -> None:
        """Create the way.

        Args:
            call: The request.
            caller: Who gets the answer.
            before_end: Done when all has come, before the caller is told so.
        """
        keeps = call.turn is not None and call.turn.plan.retention_ms > 0
        self.events = EventCollector(keeps_content=keeps)
        self.status = 0
        self._call = call
        self._caller = caller
        self._before_end = before_end

    @property
    def is_success(self) -> bool:
        """Whether the endpoint says that it did what was asked."""
        return _FIRST_SUCCESS <= self.status < _FIRST_OTHER

    @property
    def is_begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self._caller.has_started

    async def take(self, head: ResponseHead, resp: httpcore.Response) -> None:
        """Hand on an answer.

        Raises:
            EndpointError: The answer was cut.
            CallError: What has to be done before its end failed.
        """
        self.status = head.status
        if self._call.route.kind is RouteKind.STREAMING and self.is_success:
            await self._stream(head, resp)
            return
        body = b''.join([part async for part in parts_of(resp)])
        if head.length is not None and self._call.inbound.method != 'HEAD':
            _check_length(head.length, len(body))
        await self._before_end(self)
        headers = head.headers
        if head.length is None:
            length = str(len(body)).encode()
            headers = [*headers, (b'content-length', length)]
        await self._caller.send_response(head.status, headers, body)

    async def _stream(
        self, head: ResponseHead, resp: httpcore.Response
    ) -> None:
        """Hand on each part at once, but the last one after all is done."""
        await self._caller.start(head.status, head.headers)
        left = head.length
        last = b''
        async for part in parts_of(resp):
            self.events.feed(part)
            if left is not None:
                left -= len(part)
            if left == 0:
                last = part
            else:
                await self._caller.write(part)
        await self._before_end(self)
        await self._caller.finish(last)


def _check_length(announced: int, came: int) -> None:
    if announced != came:
        raise EndpointError(
            Failure.CONNECTION_LOST,
            Verdict.MAY_HAVE_RUN,
            f'the answer has {came} of {announced} bytes',
        )
