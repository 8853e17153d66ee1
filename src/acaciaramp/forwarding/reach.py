"""Whether this instance can reach the endpoints, by its own attempts.

Answers a partition between this instance and all endpoints, while callers and
peers still reach it: connections hang, are reset, or live on while new ones are
refused. A single endpoint that is silent for a second is no partition.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.endpoints.dialing import dial
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.metrics.names import Counter
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.ids import EndpointId
    from acaciaramp.metrics.client import Metrics

logger = get_logger('reach')

# A new connection takes a round trip; this is several ones between regions.
DIAL_TIMEOUT_MS = 250
# Endpoints are suspected if requests wait for them and none has sent anything for
# this long.
_SILENCE_MS = 400
_TICK_MS = 100
# Endpoints that are dialled at once to check the reach.
_SAMPLE_SIZE = 4
# The next of them is dialled as well if one has not answered after this time: most
# checks end with the first one.
_STAGGER_MS = 50
# Pause between two checks.
_CHECK_PERIOD_MS = 500


class Reach:
    """Checks whether this instance can reach endpoints after a failure.

    Attributes:
        is_lost: Whether none of some endpoints in different zones could be
            reached at the last check.
        lost: Set while ``is_lost``.
    """

    def __init__(
        self,
        endpoints: Callable[[], Sequence[Endpoint]],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Create the check; ``run`` starts it.

        Args:
            endpoints: Returns the endpoints that may be dialled.
            clock: Source of time.
            rng: Chooses the endpoints that are dialled.
            metrics: Counts losses.
        """
        self.is_lost = False
        self.lost = anyio.Event()
        self._endpoints = endpoints
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._suspects: set[EndpointId] = set()
        self._waiting: dict[str, int] = {}
        self._heard_ms = clock.now_ms()

    def suspect(self, endpoint: EndpointId) -> None:
        """Record that an endpoint was not reached; a check follows."""
        self._suspects.add(endpoint)

    def record_sent(self, attempt: str) -> None:
        """Record that a request was sent to an endpoint."""
        self._waiting[attempt] = self._clock.now_ms()

    def record_ended(self, attempt: str) -> None:
        """Record that no response to a request is awaited any more."""
        self._waiting.pop(attempt, None)

    def record_heard(self, attempt: str) -> None:
        """Record that an endpoint has responded to a request."""
        self.record_ended(attempt)
        self._heard_ms = self._clock.now_ms()

    async def run(self) -> None:
        """Check whenever a failure or silence calls for it, until cancelled."""
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            if self.is_lost or self._suspects or self._is_silent():
                await self.check()
                await self._clock.sleep_ms(_CHECK_PERIOD_MS)

    async def check(self) -> None:
        """Dial some endpoints and record whether any of them is reached.

        Suspects are dialled only if there is no other endpoint: each may have
        failed on its own. A single endpoint says nothing about the others.
        """
        suspects = self._suspects
        self._suspects = set()
        usable = list(self._endpoints())
        others = [item for item in usable if item.id not in suspects]
        if self.is_lost or not others:
            others = usable
        if len(usable) < 2:
            return
        sample = self._sample(others)
        is_lost = not await self._reaches_any(sample)
        if is_lost != self.is_lost:
            self._record_change(sample, is_lost=is_lost)

    def _record_change(
        self, sample: Sequence[Endpoint], *, is_lost: bool
    ) -> None:
        self.is_lost = is_lost
        names = [endpoint.id for endpoint in sample]
        if is_lost:
            self._metrics.count(Counter.REACH_LOST)
            logger.warning(
                'None of these endpoints can be reached; connecting through peers.',
                endpoints=names,
                waiting=len(self._waiting),
                silent_ms=self._clock.now_ms() - self._heard_ms,
            )
            self.lost.set()
            return
        logger.info(
            'Endpoints can be reached again; connecting directly.',
            endpoints=names,
        )
        self.lost = anyio.Event()

    def _is_silent(self) -> bool:
        """Return whether requests wait and no endpoint responds."""
        sent_ms = next(iter(self._waiting.values()), None)
        if sent_ms is None:
            return False
        since_ms = max(sent_ms, self._heard_ms)
        return self._clock.now_ms() - since_ms > _SILENCE_MS

    def _sample(self, usable: list[Endpoint]) -> list[Endpoint]:
        """Return some endpoints of as many zones as possible."""
        self._rng.shuffle(usable)
        by_zone = {endpoint.availability_zone: endpoint for endpoint in usable}
        first = list(by_zone.values())
        rest = [endpoint for endpoint in usable if endpoint not in first]
        return [*first, *rest][:_SAMPLE_SIZE]

    async def _reaches_any(self, sample: Sequence[Endpoint]) -> bool:
        reached: list[EndpointId] = []
        async with anyio.create_task_group() as tasks:

            async def attempt(endpoint: Endpoint, failed: anyio.Event) -> None:
                try:
                    stream = await dial(
                        endpoint.host, endpoint.port, DIAL_TIMEOUT_MS
                    )
                except EndpointError:
                    failed.set()
                    return
                reached.append(endpoint.id)
                await stream.aclose()
                tasks.cancel_scope.cancel()

            for endpoint in sample:
                failed = anyio.Event()
                tasks.start_soon(attempt, endpoint, failed)
                with anyio.move_on_after(_STAGGER_MS / MS_PER_SECOND):
                    await failed.wait()
        return bool(reached)
