"""Counts what a connection of a caller holds in the budget of the process."""

from __future__ import annotations

import asyncio
import collections
import math
import weakref
from typing import TYPE_CHECKING, Any, Protocol

from acaciaramp.util.caller_budget import (
    CONNECTION_BYTES,
    SERVED_REQUEST_BYTES,
    CloseReason,
)

if TYPE_CHECKING:
    from acaciaramp.util.caller_budget import Account, CallerBudget

UNAVAILABLE = b'503 Service Unavailable'
# Memory of the objects for a request that is not being served, and for each of its
# headers, beside the bytes that were received, in CPython 3.11.
_REQUEST_BYTES = 2_560
_HEADER_BYTES = 160
# A caller that reads more slowly than its response arrives is cut off beyond this:
# as much as the largest response that is sent whole.
MAX_UNREAD_BYTES = 4_194_304
# A caller that has read nothing for this long does not read any more.
_UNREAD_CHECK_S = 5
# What was written within this time may not have been offered to the caller yet.
_SLOW_S = 1


class Connection(Protocol):
    """A connection that receives requests and sends responses.

    Attributes:
        transport: Transport of the connection.
        flow: Flow control of the web server.
    """

    transport: Any
    flow: Any

    @property
    def is_receiving_body(self) -> bool:
        """Whether the body of the newest request is incomplete."""
        ...

    @property
    def is_rejected(self) -> bool:
        """Whether nothing more is parsed of the connection."""
        ...

    def reject(self, status: bytes, message: str) -> None:
        """Reject the request that is being received."""
        ...


class HeldBytes:
    """What one connection holds.

    These are headers and fields after a body while they arrive, requests with
    their bodies until their responses have been sent, bytes of responses that
    the caller has not read, and the objects for all of it.

    Attributes:
        framing_bytes: Bytes of which the parser may keep a field after a body.
    """

    def __init__(self, connection: Connection, budget: CallerBudget) -> None:
        """Create it for a connection without requests."""
        self._connection = connection
        self._budget = budget
        self._account: Account | None = None
        self._head_bytes = 0
        self.framing_bytes = 0
        self._request_bytes: collections.deque[int] = collections.deque()
        self._is_aborted = False
        self._is_ending = False
        self._check_timer: asyncio.TimerHandle | None = None

    def open(self) -> bool:
        """Open the account; return whether there is room for the connection."""
        self._account = self._budget.open(self)
        return self._account is not None

    def close(self) -> None:
        """Close the account, as the connection is lost."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        if self._account is not None:
            self._account.close()
            self._account = None

    def update(self) -> None:
        """Take what is held over into the budget, which may evict."""
        if self._account is not None:
            self._account.update()

    def record_progress(self) -> None:
        """Record that the caller has sent or read bytes."""
        if self._account is not None:
            self._account.record_progress()

    def record_refusal(self, reason: CloseReason) -> None:
        """Record that the connection itself refuses a request."""
        self._budget.record_closure(reason, self.held_bytes())

    def start_head(self) -> None:
        """Begin to count the headers of a request."""
        self._head_bytes = _REQUEST_BYTES

    def add_header(self, size: int) -> None:
        """Count a header with a name and a value of ``size`` bytes together."""
        self._head_bytes += size + _HEADER_BYTES

    def add_incomplete_head(self, size: int) -> None:
        """Count bytes of which the parser may keep an incomplete header."""
        if self._head_bytes:
            self._head_bytes += size

    def end_head(self) -> None:
        """Count the headers as part of a new request."""
        self._request_bytes.append(self._head_bytes)
        self._head_bytes = 0

    def drop_head(self) -> None:
        """Forget the headers that are being received."""
        self._head_bytes = 0

    def add_body(self, size: int) -> None:
        """Count bytes of the body of the newest request."""
        self._request_bytes[-1] += size

    def end_oldest(self) -> None:
        """Forget the oldest request, as its response is complete."""
        self._request_bytes.popleft()
        self.update()

    def drop_newest(self) -> None:
        """Forget the newest request."""
        self._request_bytes.pop()

    def end(self) -> None:
        """Record that the last response was written."""
        self._is_ending = True

    def write(self, data: bytes) -> None:
        """Write bytes and count those that the caller does not read.

        If it has left too many unread before, it is cut off.
        """
        unread_bytes = _unread_bytes(self._connection)
        if unread_bytes > MAX_UNREAD_BYTES:
            self._abort()
            return
        if not unread_bytes:
            self.record_progress()
        self._connection.transport.write(data)
        self.update()

    def close_when_read(self) -> None:
        """Close the connection; cut it off if the caller does not read on."""
        self._connection.transport.close()
        self._check_read(math.inf)

    def held_bytes(self) -> int:
        """Return the number of bytes that are held for the caller."""
        if self._is_aborted:
            return 0
        served_bytes = SERVED_REQUEST_BYTES if self._request_bytes else 0
        return CONNECTION_BYTES + served_bytes + self._content_bytes

    def is_ending(self) -> bool:
        """Return whether the last response was written."""
        return self._is_ending or self._connection.transport.is_closing()

    def is_evictable(self) -> bool:
        """Return whether the connection may be closed, or its request refused.

        A request whose body has arrived may have been forwarded. It is ended
        only if its caller does not read.
        """
        if self._is_aborted:
            return False
        if self.is_ending() or self._is_slow_reader:
            return True
        if self._connection.is_rejected:
            return False
        return self._is_receiving or not self._request_bytes

    def evict(self) -> CloseReason:
        """Refuse the request that is being received, or close the connection.

        A response that was not read is cut off.
        """
        connection = self._connection
        if self.is_ending() or self._is_slow_reader:
            self._is_aborted = True
            connection.transport.abort()
            return CloseReason.UNREAD
        if not self._is_receiving:
            connection.transport.close()
            return CloseReason.IDLE
        is_body = not self._head_bytes
        connection.reject(UNAVAILABLE, 'there is no room for the request')
        return CloseReason.BODY if is_body else CloseReason.HEADERS

    def _abort(self) -> None:
        if not self._is_aborted:
            self.record_refusal(CloseReason.UNREAD)
            self._is_aborted = True
            self._connection.transport.abort()

    def _check_read(self, before_bytes: float) -> None:
        """Cut the caller off if it has read nothing since the last check."""
        unread_bytes = _unread_bytes(self._connection)
        if unread_bytes >= before_bytes:
            self._abort()
        elif unread_bytes:
            self._check_timer = asyncio.get_running_loop().call_later(
                _UNREAD_CHECK_S, self._check_read, unread_bytes
            )

    @property
    def _content_bytes(self) -> int:
        incoming_bytes = self._head_bytes + self.framing_bytes
        return (
            incoming_bytes
            + sum(self._request_bytes)
            + _unread_bytes(self._connection)
        )

    @property
    def _is_receiving(self) -> bool:
        return bool(self._head_bytes) or self._connection.is_receiving_body

    @property
    def _is_slow_reader(self) -> bool:
        """Whether most of what is held are responses that are not read."""
        if self._account is None:
            return False
        if 2 * _unread_bytes(self._connection) <= self._content_bytes:
            return False
        is_paused: bool = self._connection.flow.write_paused
        return is_paused or self._account.stalled_s >= _SLOW_S


def _unread_bytes(connection: Connection) -> int:
    """Return the number of bytes that were written but not sent yet."""
    size: int = connection.transport.get_write_buffer_size()
    return size


class EagerFlow:
    """Flow control of a response, which does not wait for a slow caller.

    An endpoint cuts off a response that is not read for some seconds. A response
    begins only once the caller has read most of those before; from then on it
    is written as it arrives, within ``MAX_UNREAD_BYTES``.
    """

    def __init__(self, flow: Any, cycle: Any) -> None:
        """Create it for a request."""
        self.drain = flow.drain
        self.pause_reading = flow.pause_reading
        self.resume_reading = flow.resume_reading
        self._flow = flow
        # The request refers to its flow control.
        self._cycle = weakref.proxy(cycle)

    @property
    def write_paused(self) -> bool:
        """Whether the next part of the response has to wait."""
        is_paused: bool = self._flow.write_paused
        return is_paused and not self._cycle.response_started


class CountedTransport:
    """What a request writes its response to."""

    def __init__(self, transport: Any, held: HeldBytes, close: Any) -> None:
        """Create it for a request.

        Args:
            transport: Transport of the connection.
            held: Counts what the caller has not read.
            close: Called to close the connection after the response.
        """
        self.write = held.write
        self.close = close
        self.is_closing = transport.is_closing
