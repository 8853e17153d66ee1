"""Bounds what a process holds for its callers: bytes and connections."""

from __future__ import annotations

import enum
import math
import time
from typing import TYPE_CHECKING, NamedTuple, Protocol

from acaciaramp.clock import MS_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.util.resident_memory import ResidentMemory

    RecordClosure = Callable[['CloseReason', int], None]

# Memory and descriptors of the smallest entry machines, for settings that name
# none.
DEFAULT_MEMORY_MB = 128
DEFAULT_MAX_DESCRIPTORS = 4_100
BYTES_PER_MB = 1_000_000
# An idle process takes up to half of the memory, and copies of what is held the
# rest.
_BUDGET_FRACTION = 0.25
# The rest is kept for small accounts, so that ordinary callers are served while
# others hold large bodies.
_LARGE_FRACTION = 0.75
# A config of 16 MiB from an operator fits into the share with the default.
_CONNECTION_FRACTION = 0.625
# What is left for all callers if the process is short of memory: as much as a body
# of the largest size needs.
_LEAST_FRACTION = 0.375
# The rest is kept for endpoints, peers, files and connections that wait to be
# accepted.
_CONNECTIONS_FRACTION = 0.6
_BACKLOG_FRACTION = 0.2
_MAX_BACKLOG = 2_048
# Memory of the objects for a connection, and for the request of it that is being
# served, beside the bytes that were received, in CPython 3.11.
CONNECTION_BYTES = 8_192
SERVED_REQUEST_BYTES = 12_288
_SMALL_CONTENT_BYTES = 65_536
_SMALL_BYTES = _SMALL_CONTENT_BYTES + CONNECTION_BYTES + SERVED_REQUEST_BYTES
# The resident memory is read each time that holders have grown by this.
_READING_BYTES = 262_144
# What is evicted is freed by its tasks within this time.
_FREEING_S = 0.1


class CloseReason(enum.Enum):
    """Why a connection of a caller was closed or a request on it refused.

    Attributes:
        BODY: A body was being received.
        HEADERS: Headers were being received.
        PIPELINE: Too many requests were sent before their responses.
        IDLE: No request was under way.
        UNREAD: Responses were not read.
        CONNECTIONS: All other connections are used by requests.
    """

    BODY = 'body'
    HEADERS = 'headers'
    PIPELINE = 'pipeline'
    IDLE = 'idle'
    UNREAD = 'unread'
    CONNECTIONS = 'connections'


class BudgetLimits(NamedTuple):
    """Limits on what a process holds for its callers.

    Attributes:
        most_bytes: For all callers together.
        most_large_bytes: For all callers of which each holds over 64 KiB beside
            the objects for its connection and request.
        most_connection_bytes: For one connection.
        most_connections: Number of connections.
        backlog: Number of connections that wait to be accepted.
    """

    most_bytes: float = math.inf
    most_large_bytes: float = math.inf
    most_connection_bytes: float = math.inf
    most_connections: float = math.inf
    backlog: int = _MAX_BACKLOG

    @classmethod
    def of_machine(
        cls, memory_mb: int | None, max_descriptors: int | None
    ) -> BudgetLimits:
        """Return the limits for a machine.

        Args:
            memory_mb: Memory of the process; None for the default.
            max_descriptors: Descriptors of the process; None for the default.
        """
        memory = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        descriptors = max_descriptors or DEFAULT_MAX_DESCRIPTORS
        most_bytes = int(memory * _BUDGET_FRACTION)
        return cls(
            most_bytes,
            int(most_bytes * _LARGE_FRACTION),
            int(most_bytes * _CONNECTION_FRACTION),
            int(descriptors * _CONNECTIONS_FRACTION),
            min(_MAX_BACKLOG, int(descriptors * _BACKLOG_FRACTION)),
        )


class Holder(Protocol):
    """What an account is for, for example a connection of a caller."""

    def held_bytes(self) -> int:
        """Return the number of bytes that are held now."""
        ...

    def is_evictable(self) -> bool:
        """Return whether it may be closed without ending a forwarded request."""
        ...

    def is_ending(self) -> bool:
        """Return whether it is closed already, but has a descriptor."""
        ...

    def evict(self) -> CloseReason:
        """Refuse the request that is being received, or close."""
        ...


class FixedHolder:
    """A holder that cannot be evicted, such as responses that have arrived.

    Attributes:
        size: Number of bytes that it holds.
    """

    def __init__(self) -> None:
        """Create a holder of nothing."""
        self.size = 0

    def held_bytes(self) -> int:
        """Return ``size``."""
        return self.size

    def is_evictable(self) -> bool:
        """Return that it may not be closed."""
        return False

    def is_ending(self) -> bool:
        """Return that it goes on."""
        return False

    def evict(self) -> CloseReason:
        """Release nothing; never called."""
        return CloseReason.IDLE


class Account:
    """What is held for one holder.

    Attributes:
        held_bytes: Number of bytes.
    """

    def __init__(self, budget: CallerBudget, holder: Holder) -> None:
        """Create an empty account."""
        self.held_bytes = 0
        self._budget = budget
        self._holder = holder
        self._progressed_s = budget.now_s()

    @property
    def stalled_s(self) -> float:
        """Time since the last progress, seconds."""
        return self._budget.now_s() - self._progressed_s

    def record_progress(self) -> None:
        """Record that bytes were received or read by the caller."""
        self._progressed_s = self._budget.now_s()
        self._budget.move_to_end(self._holder)

    def update(self) -> None:
        """Take the holder's bytes over; may evict holders, also this one."""
        self._budget.update(self._holder, self)

    def score(self) -> float:
        """Return how much closing it helps: size and time without progress."""
        return self.held_bytes * (1 + self.stalled_s * MS_PER_SECOND)

    def close(self) -> None:
        """Remove the account and what it holds."""
        self._budget.close(self._holder, self)


class CallerBudget:
    """Counts what all holders of a process hold, and evicts some if needed.

    The holder that goes first is the one with the largest product of its bytes
    and the time since its last progress: a body that stalls just short of its
    end goes before one that is arriving. Holders of up to 64 KiB beside their
    objects are evicted only if the large ones are within their part.

    What is held takes more memory than its bytes. If the process is short of
    resident memory, the limit for all is lowered to what is held less the
    shortage, but not below 3/8 of it.
    """

    def __init__(
        self,
        limits: BudgetLimits,
        record_closure: RecordClosure,
        now_s: Callable[[], float] = time.monotonic,
        memory: ResidentMemory | None = None,
    ) -> None:
        """Create the budget without accounts.

        Args:
            limits: The limits.
            record_closure: Called with the reason and the bytes of each holder
                that is evicted or refused.
            now_s: Monotonic clock, seconds.
            memory: Resident memory of the process; None for no limit on it.
        """
        self.limits = limits
        self.now_s = now_s
        self.record_closure = record_closure
        self.total_bytes = 0
        self._large_bytes = 0
        self._memory = memory
        self._most_bytes = limits.most_bytes
        self._unread_growth_bytes = 0
        self._freeing_bytes = 0
        self._evicted_s = -math.inf
        # In order of their last progress.
        self._accounts: dict[Holder, Account] = {}

    @classmethod
    def unlimited(cls) -> CallerBudget:
        """Return a budget without limits."""
        return cls(BudgetLimits(), lambda *_: None)

    def open(self, holder: Holder) -> Account | None:
        """Return a new account, None if no connection can be closed for it."""
        is_full = len(self._accounts) >= self.limits.most_connections
        if is_full and not self._free_connection():
            self.record_closure(CloseReason.CONNECTIONS, 0)
            return None
        account = Account(self, holder)
        self._accounts[holder] = account
        return account

    def move_to_end(self, holder: Holder) -> None:
        """Record that a holder has made progress last."""
        account = self._accounts.pop(holder, None)
        if account is not None:
            self._accounts[holder] = account

    def update(self, holder: Holder, account: Account) -> None:
        """Take over what a holder holds and evict holders while needed."""
        before_bytes = account.held_bytes
        self._set(account, holder.held_bytes())
        growth_bytes = account.held_bytes - before_bytes
        if growth_bytes <= 0:
            return
        self._unread_growth_bytes += growth_bytes
        most_bytes = self.limits.most_connection_bytes
        if account.held_bytes > most_bytes and holder.is_evictable():
            self._evict(holder, account)
        if self._is_reading_due():
            self._read_memory()
        if self._is_exceeded():
            self._refresh()
        has_victim = True
        while has_victim and self._is_exceeded():
            has_victim = self._evict_highest()

    def close(self, holder: Holder, account: Account) -> None:
        """Remove an account."""
        self._set(account, 0)
        self._accounts.pop(holder, None)

    def _is_exceeded(self) -> bool:
        return (
            self.total_bytes > self._most_bytes
            or self._large_bytes > self.limits.most_large_bytes
        )

    def _is_reading_due(self) -> bool:
        is_lowered = self._most_bytes < self.limits.most_bytes
        return self._unread_growth_bytes >= _READING_BYTES or (
            is_lowered and self._is_exceeded()
        )

    def _read_memory(self) -> None:
        """Set the limit for all by the resident memory of the process."""
        self._unread_growth_bytes = 0
        if self._memory is None:
            return
        if self.now_s() > self._evicted_s + _FREEING_S:
            self._freeing_bytes = 0
        room_bytes = self._memory.room_bytes() + self._freeing_bytes
        usual_bytes = self.limits.most_bytes
        least_bytes = usual_bytes * _LEAST_FRACTION
        usable_bytes = max(least_bytes, self.total_bytes + room_bytes)
        self._most_bytes = min(usual_bytes, usable_bytes)

    def _set(self, account: Account, held_bytes: int) -> None:
        self.total_bytes += held_bytes - account.held_bytes
        self._large_bytes += _large(held_bytes) - _large(account.held_bytes)
        account.held_bytes = held_bytes

    def _refresh(self) -> None:
        """Take over what callers have read since the last update."""
        for holder, account in self._accounts.items():
            self._set(account, holder.held_bytes())

    def _evict_highest(self) -> bool:
        """Evict the holder with the highest score; False if none may be."""
        needs_large = self._large_bytes > self.limits.most_large_bytes
        over_bytes = _SMALL_BYTES if needs_large else 0
        candidates = [
            (account.score(), account, holder)
            for holder, account in self._accounts.items()
            if account.held_bytes > over_bytes and holder.is_evictable()
        ]
        if not candidates:
            return False
        _, account, holder = max(candidates, key=lambda item: item[0])
        self._evict(holder, account)
        return True

    def _free_connection(self) -> bool:
        """Close the connection that has made no progress for longest."""
        ending = next(
            (holder for holder in self._accounts if holder.is_ending()), None
        )
        if ending is not None:
            account = self._accounts[ending]
            ending.evict()
            self.close(ending, account)
            return True
        for holder, account in self._accounts.items():
            if holder.is_evictable():
                self._evict(holder, account)
                return True
        return False

    def _evict(self, holder: Holder, account: Account) -> None:
        held_bytes = account.held_bytes
        self.record_closure(holder.evict(), held_bytes)
        self._set(account, holder.held_bytes())
        self._freeing_bytes += held_bytes - account.held_bytes
        self._evicted_s = self.now_s()


def _large(held_bytes: int) -> int:
    return held_bytes if held_bytes > _SMALL_BYTES else 0
