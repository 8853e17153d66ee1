"""Admission control of an entry: what is refused, queued or sent again.

Answers more demand than the endpoints of a service have capacity for. While under
half of the slots of a service are taken, it delays and refuses nothing.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Protocol

from acaciaramp.endpoints.failures import Failure
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.names import Counter, LevelMove, Timer
from acaciaramp.retries.budget import WindowedRetryBudget
from acaciaramp.scheduling.admission_level import AdmissionLevel
from acaciaramp.scheduling.admission_queue import AdmissionQueue, QueueRefusal
from acaciaramp.scheduling.demand import Demand, position_of
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.endpoints.failures import EndpointError
    from acaciaramp.forwarding.call import Call
    from acaciaramp.ids import EndpointId, ProgramId, ServiceName, WorkspaceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.scheduling.admission_level import LevelChange
    from acaciaramp.scheduling.pressure import Pressure

logger = get_logger('admission')

# Below this share of taken slots nothing is refused or delayed.
_IDLE_SHARE = 0.5
# Fraction of the objective that a request that starts a program may wait. A later
# refusal costs its caller more than one at once.
_NEW_WAIT_FRACTION = 0.25
# Fraction of its time limit that any other request may wait, so that it can still
# be served and its caller can still try again.
_RUNNING_WAIT_FRACTION = 0.5
# Retries are a tenth of the requests of the last seconds at most, and a few more,
# so that an entry with few requests can retry at all.
_RETRY_RATIO = 0.1
_RETRY_RESERVE = 3
_RETRY_WINDOW_MS = 5_000
# Weight of the latest request in the smoothed duration of a service's requests.
_DURATION_WEIGHT = 0.1
# A request is refused for lack of time only if it could not even be served in
# this share of the usual duration: durations differ with the size of requests.
_LEAST_DURATION_SHARE = 0.5
# Share of the time to full admission after which refused callers come back. With
# half of it, entries without reports were back at normal operation later.
_RETRY_SHARE = 0.8
_MIN_RETRY_MS = 100
# Callers come back over this share of the advised time, not all at once.
_JITTER_SHARE = 0.5
# Weight of a refused wait in the level, as a share of the objective.
_MAX_WAIT_SHARE = 1.0
_MAX_SEEN_PROGRAMS = 4_096
# The sum over 48 endpoints takes about as long as choosing one of them, and each
# request needs it twice.
_PRESSURE_MS = 5
# Load reports fade without an event that would wake the waiters.
_WAKE_INTERVAL_MS = 25
# Most of the time nobody waits, and each wake-up of a process costs time.
_IDLE_INTERVAL_MS = 100


class ServiceLoad(Protocol):
    """What is known of the load of services and endpoints."""

    def pressure_of(self, service: ServiceName) -> Pressure:
        """Return the load of a service's endpoints."""
        ...

    def has_capacity(self, endpoint: Endpoint, claimed: int) -> bool:
        """Return whether an endpoint can take one more request.

        Args:
            endpoint: The endpoint.
            claimed: Number of requests that are about to be sent to it.
        """
        ...


class _ServiceState:
    """State of one service.

    Attributes:
        level: Share of new programs that is admitted.
        queue: Requests that wait for capacity.
        retries: Bounds the repeated attempts.
        duration_ms: Smoothed duration of the requests that were served.
        pressure: The load at the last look.
        pressure_until_ms: When to look again.
    """

    def __init__(self, clock: Clock) -> None:
        self.level = AdmissionLevel(clock)
        self.queue = AdmissionQueue(clock)
        self.retries = WindowedRetryBudget(
            _RETRY_RATIO, _RETRY_RESERVE, _RETRY_WINDOW_MS, clock
        )
        self.duration_ms: float = 0
        self.pressure: Pressure | None = None
        self.pressure_until_ms = 0

    def record_duration(self, duration_ms: int) -> None:
        """Record how long an endpoint took for a request."""
        weight = _DURATION_WEIGHT if self.duration_ms else 1
        self.duration_ms += weight * (duration_ms - self.duration_ms)


class OverloadControl:
    """Admission control of all services of one entry instance."""

    def __init__(
        self,
        load: ServiceLoad,
        priority_of: Callable[[WorkspaceId], int | None],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Create the admission control.

        Args:
            load: Load of the services.
            priority_of: Returns the priority of a workspace; None if that of
                the route applies.
            clock: Source of time.
            metrics: Counts changes of levels and denied retries.
            rng: Spreads the time at which refused callers come back.
        """
        self._load = load
        self._priority_of = priority_of
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._services: dict[ServiceName, _ServiceState] = {}
        self._claims: collections.Counter[EndpointId] = collections.Counter()
        self._seen: collections.OrderedDict[ProgramId, None] = (
            collections.OrderedDict()
        )

    def check_early(self, call: Call) -> None:
        """Refuse a request whose headers show that it starts a program.

        This saves a commit at the ledger and a token of the rate.

        Raises:
            CallError: The level does not admit it.
        """
        if self._seems_new(call):
            call.demand = self._demand(call, is_running=False)
            self._state(call.service).level.record_arrival(call.demand)
            self._check_level(call, call.demand)

    def check(self, call: Call) -> None:
        """Admit a request whose turn was opened, and set its rank.

        Raises:
            CallError: It starts a program that the level does not admit.
        """
        # A program whose turns were all refused is as new as before.
        is_unused = call.turn is not None and call.turn.is_unused
        is_new = call.starts_program or is_unused
        # Programs without a budget have no account that tells.
        if call.inbound.turn.budget is None:
            is_new = is_new or self._seems_new(call)
        is_counted = call.demand is not None
        call.demand = self._demand(call, is_running=not is_new)
        state = self._state(call.service)
        if not is_counted:
            state.level.record_arrival(call.demand)
        self._check_level(call, call.demand)
        state.retries.on_request()
        self._record_seen(call.inbound.turn.program)

    async def claim(
        self,
        call: Call,
        ranked: list[Endpoint],
        rank: Callable[[], list[Endpoint]],
    ) -> Endpoint | None:
        """Wait for an endpoint with capacity and claim it for a request.

        Args:
            call: The request; ``release`` ends its claim.
            ranked: The endpoints that it may be sent to, best ones first.
            rank: Returns them anew after a wait.

        Returns:
            The endpoint; None if the request need not wait for capacity.

        Raises:
            CallError: No capacity comes in time.
        """
        is_idle = _is_idle(self._pressure(call.service))
        if call.demand is None or is_idle:
            return None
        latest = [ranked]

        def take() -> Endpoint | None:
            for endpoint in latest.pop() if latest else rank():
                claimed = self._claims[endpoint.id]
                if self._load.has_capacity(endpoint, claimed):
                    self._claims[endpoint.id] += 1
                    call.claimed = endpoint.id
                    return endpoint
            return None

        state = self._state(call.service)
        started_ms = self._clock.now_ms()
        taken = await state.queue.wait(
            call.demand,
            self._max_wait_ms(call),
            take,
            lambda _: self.release(call),
        )
        waited_ms = self._clock.now_ms() - started_ms
        self._metrics.record_duration(Timer.QUEUE, waited_ms)
        wait_share = waited_ms / _objective_ms(call)
        if isinstance(taken, QueueRefusal):
            logger.info(
                'No endpoint had capacity for a request in time; refusing it.',
                attempt=call.inbound.attempt,
                program=call.inbound.turn.program,
                service=call.service,
                is_running=call.demand.is_running,
                program_left_ms=call.program_left_ms(self._clock.now_ms()),
                waited_ms=waited_ms,
                queued=len(state.queue),
                **_pressure_fields(self._pressure(call.service)),
            )
            state.level.record_wait(
                call.demand, max(wait_share, _NEW_WAIT_FRACTION)
            )
            raise self._refusal(
                call, taken.code, taken.message, taken.retry_after_ms
            )
        state.level.record_wait(call.demand, min(wait_share, _MAX_WAIT_SHARE))
        return taken

    def release(self, call: Call) -> None:
        """End the claim of a request, which is sent or has failed."""
        if call.claimed is None:
            return
        self._claims[call.claimed] -= 1
        if not self._claims[call.claimed]:
            self._claims.pop(call.claimed)
        call.claimed = None

    def record_response(self, call: Call, duration_ms: int) -> None:
        """Record the time from sending a request to the head of its response."""
        is_late = duration_ms > _objective_ms(call)
        level = self._state(call.service).level
        level.record_attempt(is_failure=is_late)

    def record_served(self, call: Call, duration_ms: int) -> None:
        """Record how long an endpoint took for a whole response."""
        self._state(call.service).record_duration(duration_ms)

    def record_failure(self, call: Call, exc: EndpointError) -> None:
        """Record an attempt that an endpoint refused or did not answer."""
        if exc.failure in {Failure.REFUSED, Failure.TIMEOUT}:
            level = self._state(call.service).level
            level.record_attempt(is_failure=True)

    def check_retry(self, call: Call, exc: EndpointError) -> None:
        """Check that a failed attempt may be repeated.

        An attempt that reached no endpoint added no load there, and its retry
        is not counted.

        Raises:
            CallError: The service is under load and its retries are used up.
        """
        state = self._state(call.service)
        if exc.failure is Failure.CONNECT or state.retries.try_retry():
            return
        if _is_idle(self._pressure(call.service)):
            return
        self._metrics.count(Counter.RETRY_DENIED, exc.failure)
        raise self._refusal(
            call,
            ErrorCode.OVERLOADED,
            f'an attempt failed ({exc}), and the retries of service '
            f'"{call.service}" are used up',
            self._level_retry_ms(
                call, 0 if call.demand is None else call.demand.priority
            ),
        )

    def wake(self, service: ServiceName) -> None:
        """Give capacity that may have come free to requests that wait."""
        state = self._services.get(service)
        if state is not None and len(state.queue):
            state.queue.wake()

    async def run(self) -> None:
        """Wake waiters for whom the load was only estimated, until cancelled."""
        while True:
            has_waiters = any(
                len(item.queue) for item in self._services.values()
            )
            await self._clock.sleep_ms(
                _WAKE_INTERVAL_MS if has_waiters else _IDLE_INTERVAL_MS
            )
            for service in self._services:
                self.wake(service)

    def _state(self, service: ServiceName) -> _ServiceState:
        if service not in self._services:
            self._services[service] = _ServiceState(self._clock)
        return self._services[service]

    def _pressure(self, service: ServiceName) -> Pressure:
        """Return the load of a service, summed once in a few milliseconds."""
        state = self._state(service)
        now_ms = self._clock.now_ms()
        if state.pressure is None or now_ms >= state.pressure_until_ms:
            state.pressure = self._load.pressure_of(service)
            state.pressure_until_ms = now_ms + _PRESSURE_MS
        return state.pressure

    def _seems_new(self, call: Call) -> bool:
        """Return whether headers show that a request starts a program.

        A first turn of a sub-agent whose program is not known here looks the
        same. It has its program's position, which was admitted before.
        """
        turn = call.inbound.turn
        if not call.route.has_retained_turns:
            return False
        if turn.program is None or turn.program in self._seen:
            return False
        return turn.previous is None and call.inbound.resumed is None

    def _record_seen(self, program: ProgramId | None) -> None:
        if program is None:
            return
        self._seen[program] = None
        self._seen.move_to_end(program)
        if len(self._seen) > _MAX_SEEN_PROGRAMS:
            self._seen.popitem(last=False)

    def _demand(self, call: Call, *, is_running: bool) -> Demand:
        inbound = call.inbound
        priority = call.route.priority
        if call.workspace is not None:
            own = self._priority_of(call.workspace)
            priority = priority if own is None else own
        duration_ms = int(self._state(call.service).duration_ms)
        program_start_ms = inbound.turn.program_left_ms
        if program_start_ms is not None:
            program_start_ms += inbound.started_ms - duration_ms
        least_ms = int(_LEAST_DURATION_SHARE * duration_ms)
        return Demand(
            priority=priority,
            is_running=is_running,
            latest_start_ms=call.deadline_ms - least_ms,
            program_start_ms=program_start_ms,
            position=position_of(inbound.turn.program or inbound.attempt),
        )

    def _max_wait_ms(self, call: Call) -> int:
        started_ms = call.inbound.started_ms
        most_ms = _RUNNING_WAIT_FRACTION * (call.deadline_ms - started_ms)
        if call.demand is not None and not call.demand.is_running:
            most_ms = min(most_ms, _NEW_WAIT_FRACTION * _objective_ms(call))
        return max(0, int(started_ms + most_ms) - self._clock.now_ms())

    def _check_level(self, call: Call, demand: Demand) -> None:
        """Refuse demand that the level does not admit.

        Raises:
            CallError: It is not admitted.
        """
        pressure = self._pressure(call.service)
        level = self._state(call.service).level
        for change in level.update(pressure):
            self._record_change(call.service, change, pressure)
        if level.admits(demand) or _is_idle(pressure):
            return
        logger.info(
            'The admission level does not admit a new program; refusing it.',
            attempt=call.inbound.attempt,
            program=call.inbound.turn.program,
            service=call.service,
            priority=demand.priority,
            percent=level.percent(demand.priority),
            position=round(demand.position, 3),
            **_pressure_fields(pressure),
        )
        raise self._refusal(
            call,
            ErrorCode.OVERLOADED,
            f'service "{call.service}" admits {level.percent(demand.priority)}% '
            f'of the new programs of priority {demand.priority}',
            self._level_retry_ms(call, demand.priority),
        )

    def _level_retry_ms(self, call: Call, priority: int) -> int:
        """Return when most of what is refused now is expected to be admitted."""
        level = self._state(call.service).level
        retry_ms = int(_RETRY_SHARE * level.recovery_ms(priority))
        return max(_MIN_RETRY_MS, retry_ms)

    def _refusal(
        self, call: Call, code: ErrorCode, message: str, retry_ms: int
    ) -> CallError:
        jitter_ms = int(_JITTER_SHARE * retry_ms * self._rng.random())
        return CallError(
            code, message, call.verdict, retry_after_ms=retry_ms + jitter_ms
        )

    def _record_change(
        self, service: ServiceName, change: LevelChange, pressure: Pressure
    ) -> None:
        is_raised = change.after > change.before
        move = LevelMove.RAISED if is_raised else LevelMove.LOWERED
        self._metrics.count(Counter.LEVEL_CHANGED, move)
        logger.warning(
            'The admission level of a service has changed.',
            service=service,
            priority=change.priority,
            percent=change.after,
            before=change.before,
            load=change.load.value,
            wait_share=round(change.wait_share, 2),
            queued=len(self._state(service).queue),
            **_pressure_fields(pressure),
        )


def _objective_ms(call: Call) -> int:
    """Return the latency objective, the time limit of a route without one."""
    return call.route.objective_ms or call.route.timeout_ms


def _pressure_fields(pressure: Pressure) -> dict[str, float]:
    """Return the load of a service as log fields."""
    return {
        'running': round(pressure.running, 1),
        'waiting': round(pressure.waiting, 1),
        'slots': pressure.slots,
        'known_share': round(pressure.known_share, 2),
        'taken_at_least': round(pressure.least_taken_share, 2),
        'taken_at_most': round(pressure.most_taken_share, 2),
        'load_age_ms': pressure.age_ms,
    }


def _is_idle(pressure: Pressure) -> bool:
    """Return whether it is sure that under half of the slots are taken."""
    return pressure.is_known and pressure.most_taken_share < _IDLE_SHARE
