"""Decides which requests a stopping instance still accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from acaciaramp.errors import CallError, ErrorCode

if TYPE_CHECKING:
    from acaciaramp.clock import Clock

# Another instance can accept the request at once.
_RETRY_AFTER_MS = 100


class _Schedule(NamedTuple):
    """Times of a planned stop on the clock of the process, milliseconds."""

    accepts_all_until_ms: int
    ends_at_ms: int


class Draining:
    """The planned stop of an instance.

    Load balancers go on sending requests until they have noticed that the
    instance is not ready, and some send them until it is gone. Requests that
    would be cut off when the instance exits are refused while they have not run,
    so that their callers can go to another instance.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the state of an instance that is not stopping.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._schedule: _Schedule | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the instance is stopping."""
        return self._schedule is not None

    @property
    def left_ms(self) -> int:
        """Time until the requests in flight are ended, milliseconds.

        0 if the instance is not stopping.
        """
        if self._schedule is None:
            return 0
        return max(0, self._schedule.ends_at_ms - self._clock.now_ms())

    def begin(self, accept_all_ms: int, drain_ms: int) -> None:
        """Begin to stop.

        Args:
            accept_all_ms: How long every request is accepted, milliseconds.
            drain_ms: Time until the requests in flight are ended, milliseconds.
        """
        now_ms = self._clock.now_ms()
        self._schedule = _Schedule(
            now_ms + min(accept_all_ms, drain_ms), now_ms + drain_ms
        )

    def check(self, due_ms: int) -> None:
        """Check that a request may be accepted.

        Args:
            due_ms: Time at which its response is due at the latest, on the clock
                of the process.

        Raises:
            CallError: The instance may exit before the request has ended; the
                request has not run.
        """
        if self._schedule is None:
            return
        if self._clock.now_ms() < self._schedule.accepts_all_until_ms:
            return
        if due_ms > self._schedule.ends_at_ms:
            raise CallError(
                ErrorCode.SHUTTING_DOWN,
                'the instance stops before the request would have to end',
                retry_after_ms=_RETRY_AFTER_MS,
            )
