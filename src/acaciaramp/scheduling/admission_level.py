"""Admission level: the share of new programs that a service admits.

Answers an overload that lasts longer than queues can hold it. The level follows
overload control in WeChat's services (DAGOR): it falls by a factor while requests
wait too long and rises by small steps, and lower priorities are refused first.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.clock import Clock
    from acaciaramp.scheduling.demand import Demand
    from acaciaramp.scheduling.pressure import Pressure

STEP_MS = 200
FULL_PERCENT = 100
# Five steps down, a second, take the level from full admission to the least.
_LOWER_FACTOR = 0.55
# Some programs are always admitted, so that no kind of request starves and the
# end of an overload is noticed.
_LEAST_PERCENT = 5
_RAISE_PERCENT = 5
# Applies while slots are free, so that a burst's end is followed by full
# admission within about a second.
_RAISE_FREE_PERCENT = 15
# Without any news the level returns from the least to full admission in 2 s.
_RAISE_UNKNOWN_PERCENT = 10
# Queued requests for each slot at the endpoints. One queued request at each
# endpoint of 8 slots, which entries send on purpose, is 0.125.
_WAITING_PER_SLOT = 0.25
# Share of the latency objective that requests may wait in the entry on average;
# one that waits for a quarter of it is refused.
_HIGH_WAIT_SHARE = 0.1
_LOW_WAIT_SHARE = 0.02
# Refusals count only while the load of the endpoints is unknown: one faulty
# endpoint that refuses everything is no overload.
_REFUSED_SHARE = 0.3
_LEAST_REFUSALS = 3
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
        BUSY: The slots are taken, but nothing piles up; the level stays.
        NORMAL: The level may rise.
        FREE: A quarter of the slots is free.
        UNKNOWN: There is no sign of an overload and too little is known.
    """

    HIGH = 'high'
    BUSY = 'busy'
    NORMAL = 'normal'
    FREE = 'free'
    UNKNOWN = 'unknown'


class LevelChange(msgspec.Struct, frozen=True):
    """A change of the level.

    Attributes:
        before: Percentage of new programs that was admitted before.
        after: Percentage from now on.
        load: What the signals of the step said.
        wait_share: Average wait in the step, as a share of the objective.
    """

    before: int
    after: int
    load: Load
    wait_share: float


class _Signals(msgspec.Struct):
    """What this instance has seen of a service since the last step."""

    waits: int = 0
    wait_share: float = 0
    attempts: int = 0
    refusals: int = 0

    @property
    def mean_wait_share(self) -> float:
        """Average wait as a share of the objective; 0 without any request."""
        return self.wait_share / self.waits if self.waits else 0

    @property
    def is_refused(self) -> bool:
        """Whether endpoints refuse a considerable part of the attempts."""
        is_enough = self.refusals >= _LEAST_REFUSALS
        return is_enough and self.refusals > _REFUSED_SHARE * self.attempts


class AdmissionLevel:
    """The level of one service as one instance sees it.

    Attributes:
        percent: Percentage of new programs that is admitted.
    """

    def __init__(self, clock: Clock) -> None:
        """Create the level with full admission.

        Args:
            clock: Source of time.
        """
        self.percent = FULL_PERCENT
        self._clock = clock
        self._stepped_ms = clock.now_ms()
        self._signals = _Signals()
        self._mix: dict[int, float] = {}

    @property
    def recovery_ms(self) -> int:
        """Time in which the level is expected to be at full admission."""
        steps = (FULL_PERCENT - self.percent) / _RAISE_PERCENT
        return int(steps * STEP_MS)

    def record_wait(self, wait_share: float) -> None:
        """Record the wait of a request, as a share of its objective."""
        self._signals.waits += 1
        self._signals.wait_share += wait_share

    def record_attempt(self, *, is_refused: bool) -> None:
        """Record whether an endpoint refused an attempt."""
        self._signals.attempts += 1
        self._signals.refusals += is_refused

    def record_arrival(self, demand: Demand) -> None:
        """Record a request that starts a program."""
        self._mix[demand.priority] = self._mix.get(demand.priority, 0) + 1

    def admits(self, demand: Demand) -> bool:
        """Return whether demand is admitted by the level.

        Only demand that starts a program is refused.
        """
        if demand.is_running or self.percent == FULL_PERCENT:
            return True
        shares = admitted_shares(self._mix, self.percent / FULL_PERCENT)
        return demand.position < shares.get(demand.priority, 1)

    def update(self, pressure: Pressure) -> LevelChange | None:
        """Move the level, at most once in each step.

        Args:
            pressure: Load of the endpoints of the service.

        Returns:
            The change; None if the level stays.
        """
        steps = (self._clock.now_ms() - self._stepped_ms) // STEP_MS
        if not steps:
            return None
        self._stepped_ms = self._clock.now_ms()
        # What was seen long before a pause says nothing about the load now.
        signals = _Signals() if steps > _MAX_SIGNAL_STEPS else self._signals
        self._signals = _Signals()
        decay = _MIX_DECAY**steps
        self._mix = {key: decay * count for key, count in self._mix.items()}
        load = _judge(pressure, signals)
        before = self.percent
        self.percent = _next_percent(before, load, steps)
        if self.percent == before:
            return None
        return LevelChange(before, self.percent, load, signals.mean_wait_share)


def admitted_shares(
    mix: Mapping[int, float], admitted: float
) -> dict[int, float]:
    """Divide the admitted share of all demand among priorities.

    Each priority gets a floor; the rest goes to the highest ones.

    Args:
        mix: Recent demand by priority.
        admitted: Share of all demand that is admitted, 0 to 1.

    Returns:
        The share of its own demand that each priority is admitted.
    """
    floor = _FLOOR * admitted
    rest = (admitted - floor) * sum(mix.values())
    shares = {}
    for priority, count in sorted(mix.items()):
        extra = min(rest, (1 - floor) * count)
        rest -= extra
        shares[priority] = floor + extra / count if count else 1
    return shares


def _judge(pressure: Pressure, signals: _Signals) -> Load:
    wait_share = signals.mean_wait_share
    is_known = pressure.is_known
    is_piling_up = pressure.waiting_per_slot > _WAITING_PER_SLOT
    if wait_share > _HIGH_WAIT_SHARE or (is_known and is_piling_up):
        return Load.HIGH
    if not is_known:
        return Load.HIGH if signals.is_refused else Load.UNKNOWN
    taken_share = (pressure.running + pressure.waiting) / pressure.slots
    if taken_share >= _BUSY_SHARE or wait_share > _LOW_WAIT_SHARE:
        return Load.BUSY
    return Load.FREE if taken_share < _FREE_SHARE else Load.NORMAL


def _next_percent(percent: int, load: Load, steps: int) -> int:
    """Return the level after some steps, of which only the last was high."""
    if load is Load.HIGH:
        lowered = int(_LOWER_FACTOR * percent)
        return max(_LEAST_PERCENT, lowered)
    raised = {
        Load.BUSY: 0,
        Load.NORMAL: _RAISE_PERCENT,
        Load.FREE: _RAISE_FREE_PERCENT,
        Load.UNKNOWN: _RAISE_UNKNOWN_PERCENT,
    }
    return min(FULL_PERCENT, percent + steps * raised[load])
