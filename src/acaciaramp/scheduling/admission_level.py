"""Admission level: the share of new programs of each priority that is admitted.

Answers an overload that lasts longer than queues can hold it. The level follows
overload control in WeChat's services (DAGOR): it falls by a factor while requests
wait too long and rises by small steps. Requests of a lower priority that wait do not
lower the level of a higher one, which the queue serves first.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.scheduling.demand import Demand
    from acaciaramp.scheduling.pressure import Pressure

STEP_MS = 200
FULL_PERCENT = 100
# Five steps down, a second, take the level from full admission to the least.
_LOWER_FACTOR = 0.7
# Some programs are always admitted, so that no kind of request starves and the
# end of an overload is noticed.
_LEAST_PERCENT = 5
_RAISE_PERCENT = 8
# Applies while slots are free, so that a burst's end is followed by full
# admission within about a second.
_RAISE_FREE_PERCENT = 15
# Without any news the level returns from the least to full admission in 2 s.
_RAISE_UNKNOWN_PERCENT = 10
# Requests at the endpoints for each of their slots. Entries send one beyond the
# slots on purpose, which is 1.17 at endpoints of 6 slots. Requests that wait at
# some endpoints while others have free slots are no overload.
_HIGH_TAKEN_SHARE = 1.25
# Share of the latency objective that requests may wait in the entry on average;
# one that waits for a quarter of it is refused.
_HIGH_WAIT_SHARE = 0.2
_LOW_WAIT_SHARE = 0.02
# A fall of the taken share by this much in one step: the queues at the endpoints
# drain, and a lower level would leave slots empty soon after.
_DRAINING = 0.02
# What was seen weighs half as much with each step: an entry of many handles only
# two or three requests in one. Fewer waits than this are no average.
_SIGNAL_DECAY = 0.5
_LEAST_WAITS = 1.5
# Refusals and late responses count only while the load of the endpoints is
# unknown: one faulty endpoint that refuses everything is no overload.
_FAILED_SHARE = 0.3
_LEAST_FAILURES = 1.5
_MAX_SIGNAL_STEPS = 5
# Share of taken slots from which the level is not raised, and below which it is
# raised faster.
_BUSY_SHARE = 0.9
_FREE_SHARE = 0.75
# The mix of priorities forgets this much with each step; the weight of an arrival
# halves in 0.6 s.
_MIX_DECAY = 0.8
# A lower priority is admitted at least this fraction as often as all are. Callers
# need a quarter; the rest is a margin for what is refused in the queue.
_FLOOR = 0.35


class Load(enum.Enum):
    """What the signals of one step say.

    Attributes:
        HIGH: Work piles up; the level is lowered.
        BUSY: The slots are taken, but it is not sure that work piles up; the
            level stays.
        NORMAL: The level may rise.
        FREE: A quarter of the slots is free, that is sure.
        UNKNOWN: Too little is known, and none of it is a sign of an overload.
    """

    HIGH = 'high'
    BUSY = 'busy'
    NORMAL = 'normal'
    FREE = 'free'
    UNKNOWN = 'unknown'


class LevelChange(msgspec.Struct, frozen=True):
    """A change of the level of one priority.

    Attributes:
        priority: The priority.
        before: Percentage of its new programs that was admitted before.
        after: Percentage from now on.
        load: What the signals of the step said.
        wait_share: Average wait in the step of requests of this priority and of
            higher ones, as a share of the objective.
    """

    priority: int
    before: int
    after: int
    load: Load
    wait_share: float


class _Waits(msgspec.Struct):
    """Recent waits of one priority; older ones weigh less."""

    count: float = 0
    share: float = 0


class AdmissionLevel:
    """The levels of one service, one for each priority, in one instance."""

    def __init__(self, clock: Clock) -> None:
        """Create the level with full admission.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._stepped_ms = clock.now_ms()
        self._waits: dict[int, _Waits] = {}
        self._attempts: float = 0
        self._failures: float = 0
        self._mix: dict[int, float] = {}
        self._percents: dict[int, int] = {}
        self._taken_share: float = 0
        self._is_draining = False

    def percent(self, priority: int) -> int:
        """Return the percentage of new programs of a priority to admit."""
        return self._percents.get(priority, FULL_PERCENT)

    def recovery_ms(self, priority: int) -> int:
        """Return when a priority is expected to be at full admission."""
        steps = (FULL_PERCENT - self.percent(priority)) / _RAISE_PERCENT
        return int(steps * STEP_MS)

    def record_wait(self, demand: Demand, wait_share: float) -> None:
        """Record the wait of a request, as a share of its objective."""
        waits = self._waits.setdefault(demand.priority, _Waits())
        waits.count += 1
        waits.share += wait_share

    def record_attempt(self, *, is_failure: bool) -> None:
        """Record an attempt at an endpoint.

        Args:
            is_failure: Whether the endpoint refused it, or its response began
                only after the objective.
        """
        self._attempts += 1
        self._failures += is_failure

    def record_arrival(self, demand: Demand) -> None:
        """Record a request.

        Later turns count too: the programs of one priority may have many more
        turns than those of another.
        """
        self._mix[demand.priority] = self._mix.get(demand.priority, 0) + 1

    def admits(self, demand: Demand) -> bool:
        """Return whether demand is admitted by the level.

        Only demand that starts a program is refused.
        """
        if demand.is_running or self.percent(demand.priority) == FULL_PERCENT:
            return True
        total = sum(self._mix.values())
        admitted = sum(
            self.percent(priority) * count
            for priority, count in self._mix.items()
        )
        floor = _FLOOR * admitted / total if total else 0
        share = max(floor, self.percent(demand.priority))
        return demand.position * FULL_PERCENT < share

    def update(self, pressure: Pressure) -> list[LevelChange]:
        """Move the levels, at most once in each step.

        Args:
            pressure: Load of the endpoints of the service.

        Returns:
            The changes.
        """
        steps = (self._clock.now_ms() - self._stepped_ms) // STEP_MS
        if not steps:
            return []
        self._stepped_ms = self._clock.now_ms()
        # What was seen long before a pause says nothing about the load now.
        if steps > _MAX_SIGNAL_STEPS:
            self._forget_signals(0)
        taken_share = pressure.taken_share
        self._is_draining = taken_share < self._taken_share - _DRAINING
        self._taken_share = taken_share
        moves = [
            self._move(pressure, priority, steps)
            for priority in sorted(self._mix)
        ]
        self._forget_signals(_SIGNAL_DECAY)
        decay = _MIX_DECAY**steps
        self._mix = {key: decay * count for key, count in self._mix.items()}
        return [move for move in moves if move.after != move.before]

    def _move(
        self, pressure: Pressure, priority: int, steps: int
    ) -> LevelChange:
        """Move the level of one priority."""
        load = self._judge(pressure, priority)
        before = self.percent(priority)
        self._percents[priority] = self._next_percent(priority, load, steps)
        return LevelChange(
            priority,
            before,
            self._percents[priority],
            load,
            self._wait_share(priority),
        )

    def _forget_signals(self, decay: float) -> None:
        """Reduce the weight of what was seen until now."""
        self._attempts *= decay
        self._failures *= decay
        for waits in self._waits.values():
            waits.count *= decay
            waits.share *= decay

    def _wait_share(self, priority: int) -> float:
        """Return the recent average wait of requests down to a priority."""
        waits = [
            item for other, item in self._waits.items() if other <= priority
        ]
        count = sum(item.count for item in waits)
        if count < _LEAST_WAITS:
            return 0
        return sum(item.share for item in waits) / count

    @property
    def _is_failing(self) -> bool:
        """Whether a considerable part of the recent attempts fails."""
        is_enough = self._failures >= _LEAST_FAILURES
        return is_enough and self._failures > _FAILED_SHARE * self._attempts

    def _judge(self, pressure: Pressure, priority: int) -> Load:
        """Return the load as it concerns one priority.

        A wait concerns its priority and lower ones. What is piled up at the
        endpoints concerns the lowest priority that is not at the least level.
        """
        wait_share = self._wait_share(priority)
        if wait_share > _HIGH_WAIT_SHARE:
            return Load.HIGH
        is_piling_up = self._is_failing
        if pressure.is_known:
            is_piling_up = pressure.least_taken_share > _HIGH_TAKEN_SHARE
        if is_piling_up:
            return self._judge_pile(priority)
        is_full = pressure.taken_share >= _BUSY_SHARE
        if is_full and (priority == max(self._mix) or not pressure.is_known):
            return Load.BUSY
        if not pressure.is_known:
            return Load.UNKNOWN
        if wait_share > _LOW_WAIT_SHARE:
            return Load.BUSY
        is_free = pressure.most_taken_share < _FREE_SHARE
        return Load.FREE if is_free else Load.NORMAL

    def _judge_pile(self, priority: int) -> Load:
        """Return the load of one priority while work piles up at the endpoints."""
        is_lowest = not any(
            self.percent(other) > _LEAST_PERCENT
            for other in self._mix
            if other > priority
        )
        is_high = is_lowest and not self._is_draining
        return Load.HIGH if is_high else Load.BUSY

    def _next_percent(self, priority: int, load: Load, steps: int) -> int:
        """Return the level after some steps, of which only the last was high."""
        percent = self.percent(priority)
        if load is Load.HIGH:
            return max(_LEAST_PERCENT, int(_LOWER_FACTOR * percent))
        raised = {
            Load.BUSY: 0,
            Load.NORMAL: _RAISE_PERCENT,
            Load.FREE: _RAISE_FREE_PERCENT,
            Load.UNKNOWN: _RAISE_UNKNOWN_PERCENT,
        }
        return min(FULL_PERCENT, percent + steps * raised[load])
