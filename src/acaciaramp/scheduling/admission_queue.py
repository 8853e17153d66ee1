"""Admission queue: requests that wait in the entry for an endpoint's capacity.

Answers endpoints that are full for a moment. They serve their own queues in order
of arrival, so these are kept nearly empty, and requests wait here by rank.
"""

from __future__ import annotations

import collections
import contextlib
from typing import TYPE_CHECKING, Any, TypeVar

import anyio
import msgspec

from acaciaramp.errors import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.clock import Clock
    from acaciaramp.scheduling.demand import Demand

Grant = TypeVar('Grant')

_MAX_WAITING = 64
# Of this many grants, one goes to the request that has waited longest, so that
# none starves behind a steady stream of a higher rank.
_OLDEST_EACH = 6
# A waiter may fail to use what is free, such as one bound to a version. So many
# are tried before all is taken to be full; each try ranks the endpoints, which
# takes 0.1 ms at 48 of them.
_MAX_FAILED_CLAIMS = 3
_DRAIN_WINDOW_MS = 1_000
# Fewer grants within the window tell nothing about the wait ahead.
_LEAST_GRANTS = 8
_MIN_RETRY_MS = 100
_MAX_RETRY_MS = 2_000


class QueueRefusal(msgspec.Struct, frozen=True):
    """Why a request did not get capacity.

    Attributes:
        code: The reason.
        message: The reason, for people.
        retry_after_ms: Time after which capacity is expected, milliseconds.
    """

    code: ErrorCode
    message: str
    retry_after_ms: int


class _Waiter:
    """A request in the queue.

    Attributes:
        demand: Its rank.
        claim: Takes capacity for it; returns None if there is none.
        ended: Set when it has its capacity or is refused.
        granted: The capacity that was taken for it.
        refusal: Why it is refused.
    """

    def __init__(self, demand: Demand, claim: Callable[[], Any]) -> None:
        self.demand = demand
        self.claim = claim
        self.ended = anyio.Event()
        self.granted: Any = None
        self.refusal: QueueRefusal | None = None


class AdmissionQueue:
    """The queue of one service in one instance."""

    def __init__(self, clock: Clock, max_waiting: int = _MAX_WAITING) -> None:
        """Create an empty queue.

        Args:
            clock: Source of time.
            max_waiting: Maximum number of requests that wait.
        """
        self._clock = clock
        self._max_waiting = max_waiting
        # In order of arrival.
        self._waiters: list[_Waiter] = []
        self._granted_ms: collections.deque[int] = collections.deque()
        self._grants = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    async def wait(
        self,
        demand: Demand,
        max_wait_ms: int,
        claim: Callable[[], Grant | None],
        release: Callable[[Grant], None],
    ) -> Grant | QueueRefusal:
        """Wait until capacity was claimed for a request.

        Args:
            demand: Rank of the request.
            max_wait_ms: Longest wait, milliseconds.
            claim: Takes capacity for the request; returns None if there is none.
                It is called while the request is the best one that waits.
            release: Gives claimed capacity back, if the request is cancelled.

        Returns:
            What ``claim`` returned, or why there is no capacity in time.
        """
        waiter = _Waiter(demand, claim)
        self._waiters.append(waiter)
        try:
            await self._wait_until_ended(waiter, max_wait_ms)
        except BaseException:
            if waiter.granted is not None:
                release(waiter.granted)
                self.wake()
            raise
        finally:
            self._discard(waiter)
        # A grant outweighs a refusal of the same moment.
        if waiter.granted is not None:
            granted: Grant = waiter.granted
            return granted
        return waiter.refusal or self._timeout(demand)

    def wake(self) -> None:
        """Give free capacity to the requests that wait, best ones first."""
        failed = 0
        for waiter in self._by_rank():
            waiter.granted = waiter.claim()
            if waiter.granted is None:
                failed += 1
                if failed == _MAX_FAILED_CLAIMS:
                    break
            else:
                self._record_grant()
                self._discard(waiter)
                waiter.ended.set()

    async def _wait_until_ended(
        self, waiter: _Waiter, max_wait_ms: int
    ) -> None:
        """Wait until a waiter has ended or its time is over."""
        self.wake()
        left_ms = waiter.demand.latest_start_ms - self._clock.now_ms()
        wait_ms = min(max_wait_ms, left_ms)
        if waiter.granted is not None or self._is_hopeless(waiter, wait_ms):
            return
        self._evict_worst()
        with (
            contextlib.suppress(TimeoutError),
            self._clock.timeout(wait_ms),
        ):
            await waiter.ended.wait()

    def _by_rank(self) -> list[_Waiter]:
        """Return all waiters, that which is served first in front."""
        now_ms = self._clock.now_ms()
        ranked = sorted(
            self._waiters, key=lambda item: item.demand.order(now_ms)
        )
        if ranked and self._grants % _OLDEST_EACH == _OLDEST_EACH - 1:
            ranked.remove(self._waiters[0])
            ranked.insert(0, self._waiters[0])
        return ranked

    def _evict_worst(self) -> None:
        """Refuse the waiter with the lowest rank if there are too many."""
        if len(self._waiters) <= self._max_waiting:
            return
        now_ms = self._clock.now_ms()
        worst = max(self._waiters, key=lambda item: item.demand.order(now_ms))
        self._discard(worst)
        worst.refusal = QueueRefusal(
            ErrorCode.QUEUE_FULL,
            f'{self._max_waiting} requests of a higher rank wait for the service',
            self._expected_wait_ms(self._max_waiting),
        )
        worst.ended.set()

    def _is_hopeless(self, waiter: _Waiter, wait_ms: int) -> bool:
        """Return whether a waiter cannot have its turn within its time."""
        if wait_ms <= 0:
            return True
        self._forget_old_grants()
        if len(self._granted_ms) < _LEAST_GRANTS:
            return False
        ahead = self._by_rank().index(waiter)
        return ahead * _DRAIN_WINDOW_MS > wait_ms * len(self._granted_ms)

    def _timeout(self, demand: Demand) -> QueueRefusal:
        has_time = demand.latest_start_ms > self._clock.now_ms()
        reason = 'no endpoint has capacity in time'
        return QueueRefusal(
            ErrorCode.QUEUE_TIMEOUT,
            reason
            if has_time
            else 'too little of its time is left to serve it',
            self._expected_wait_ms(len(self._waiters) + 1),
        )

    def _expected_wait_ms(self, ahead: int) -> int:
        """Return the time in which so many waiters get capacity."""
        self._forget_old_grants()
        wait_ms = _DRAIN_WINDOW_MS * ahead // max(1, len(self._granted_ms))
        return min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms))

    def _record_grant(self) -> None:
        self._forget_old_grants()
        self._granted_ms.append(self._clock.now_ms())
        self._grants += 1

    def _forget_old_grants(self) -> None:
        oldest_ms = self._clock.now_ms() - _DRAIN_WINDOW_MS
        while self._granted_ms and self._granted_ms[0] <= oldest_ms:
            self._granted_ms.popleft()

    def _discard(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
