"""Limits on the memory for responses that are received before they are sent on."""

from __future__ import annotations

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.util.caller_budget import CallerBudget, FixedHolder
from acaciaramp.verdicts import Verdict

MAX_RESPONSE_BYTES = 4_194_304
# All responses of one process together; several of them may grow at once.
MAX_TOTAL_BYTES = 25_165_824
_BUDGET_FRACTION = 0.5
# The rest is kept for small responses, so that ordinary ones are served while others
# have no end.
_LARGE_FRACTION = 0.75
_LARGE_BYTES = 65_536


class BufferLimit:
    """Counts what a process holds of responses: bodies and collected contents."""

    def __init__(
        self,
        most_bytes: int = MAX_TOTAL_BYTES,
        budget: CallerBudget | None = None,
    ) -> None:
        """Create the limit without buffers.

        Args:
            most_bytes: Maximum size of all buffers together.
            budget: Budget in which the buffers count as well, up to a half of
                it. They take the room of requests that are being received.
        """
        counted = budget or CallerBudget.unlimited()
        half_bytes = counted.limits.most_bytes * _BUDGET_FRACTION
        self._most_bytes = min(most_bytes, half_bytes)
        self._held_bytes = 0
        self._holder = FixedHolder()
        self._account = counted.open(self._holder)

    def add(self, size: int, held_bytes: int = 0) -> None:
        """Count bytes that are added to a buffer.

        Args:
            size: Number of bytes.
            held_bytes: What the buffer holds before. One of more than 64 KiB may
                use three quarters of the limit.

        Raises:
            EndpointError: All buffers together would be too large.
        """
        most_bytes = self._most_bytes
        if held_bytes + size > _LARGE_BYTES:
            most_bytes *= _LARGE_FRACTION
        if self._held_bytes + size > most_bytes:
            raise too_long_error(most_bytes)
        self._count(size)

    def remove(self, size: int) -> None:
        """Count bytes whose buffer is not needed any more."""
        self._count(-size)

    def _count(self, size: int) -> None:
        self._held_bytes += size
        self._holder.size = self._held_bytes
        if self._account is not None:
            self._account.update()


class ResponseBuffer:
    """Body of one response, whose size is limited.

    Used as a context manager, since its bytes count until the end of the
    context.
    """

    def __init__(
        self, limit: BufferLimit, most_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        """Create an empty buffer.

        Args:
            limit: Limit on the buffers of the process.
            most_bytes: Maximum size of this buffer.
        """
        self.content = bytearray()
        self._size = 0
        self._limit = limit
        self._most_bytes = most_bytes

    def __enter__(self) -> ResponseBuffer:
        """Enter the context."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Free the bytes.

        They are freed at once, since the traceback of an error may keep the
        buffer itself for a while.
        """
        self._limit.remove(self._size)
        self.content.clear()

    def take(self) -> bytes:
        """Return the body, which counts until the end of the context."""
        whole = bytes(self.content)
        self.content.clear()
        return whole

    def append(self, part: bytes) -> None:
        """Append a part of the body.

        Raises:
            EndpointError: The body is too large.
        """
        if self._size + len(part) > self._most_bytes:
            raise too_long_error(self._most_bytes)
        self._limit.add(len(part), self._size)
        self._size += len(part)
        self.content += part


def too_long_error(most_bytes: float) -> EndpointError:
    """Return the error for a response that exceeds a limit."""
    return EndpointError(
        Failure.MALFORMED,
        Verdict.MAY_HAVE_RUN,
        f'the response exceeds the limit of {most_bytes:.0f} bytes',
    )
