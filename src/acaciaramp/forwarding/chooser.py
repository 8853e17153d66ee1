"""Chooses the endpoint of each attempt of a request.

Combines the ranking by load and locality with what forbids an endpoint: the
request limit that it states, and the origin of the stream that a request resumes.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from acaciaramp.conversations.messages import StreamOrigin
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Endpoint
    from acaciaramp.forwarding.call import Call
    from acaciaramp.forwarding.endpoint_limits import EndpointLimits
    from acaciaramp.forwarding.overload import OverloadControl
    from acaciaramp.forwarding.selector import EndpointSelector

    RecordOrigin = Callable[[Call, StreamOrigin], Awaitable[None]]

logger = get_logger('placement')

# Once every endpoint has refused a request or failed, all are tried again. This
# is done within this fraction of the request's time limit.
_RETRY_WINDOW_FRACTION = 0.5
_RETRY_PAUSE_MS = 40
_RETRY_AFTER_MS = 300
# Fraction of the latency objective that a request that starts a program waits for
# a slot at a limited endpoint.
_NEW_PROGRAM_WAIT_FRACTION = 0.25


class EndpointChooser:
    """Chooses endpoints for the requests of one instance.

    Attributes:
        overload: Admission control; None where the deployment asks for none.
    """

    def __init__(
        self,
        selector: EndpointSelector,
        limits: EndpointLimits,
        clock: Clock,
        record_origin: RecordOrigin,
        overload: OverloadControl | None = None,
    ) -> None:
        """Create the chooser.

        Args:
            selector: Ranks endpoints.
            limits: Request limits that endpoints state.
            clock: Source of time.
            record_origin: Commits the origin of the stream that a request
                begins; raises ``CallError``.
            overload: Admission control; None without one.
        """
        self.overload = overload
        self._selector = selector
        self._limits = limits
        self._clock = clock
        self._record_origin = record_origin

    def expected_origin(self, call: Call) -> StreamOrigin | None:
        """Return the probable origin of the stream that a request begins.

        None if it begins none that may be resumed, or if no endpoint is known.
        """
        if not call.begins_stream:
            return None
        ranked = self._selector.rank(call.endpoint_query)
        return _origin(ranked[0]) if ranked else None

    def check_resumption(self, call: Call) -> None:
        """Check that some endpoint can go on with the stream of a request.

        Raises:
            CallError: The version that began the stream is not listed any more.
        """
        if call.resumes_stream and self._selector.lacks_version(
            call.endpoint_query
        ):
            raise CallError(
                ErrorCode.STREAM_VERSION_GONE,
                f'no endpoint of service "{call.service}" has the version that '
                'began the stream',
            )

    def check_place(self, call: Call) -> None:
        """Check that evacuations and home regions leave a request an endpoint.

        Otherwise it is refused at once: waiting does not bring a region that is
        cut off nearer, and its caller may reach another instance.

        Raises:
            CallError: No endpoint is left, or no home region is reached.
        """
        problem = self._selector.place_problem(call.endpoint_query)
        if problem is not None:
            raise _place_error(call, problem)

    async def next_endpoint(self, call: Call, excluded: set[str]) -> Endpoint:
        """Return the endpoint for the next attempt of a request.

        With admission control its capacity is claimed for the request.

        The origin of the stream that it begins is committed before: a caller
        whose connection is lost may resume it through another instance.

        Args:
            call: The request.
            excluded: Ids of endpoints that have refused the request or failed.
                Once all have, it is cleared, so that they are tried again.

        Raises:
            CallError: No endpoint is available, or the origin could not be
                committed.
        """
        while True:
            endpoint = await self._wait_for_endpoint(call, excluded)
            origin = _origin(endpoint)
            if call.begins_stream and call.origin != origin:
                try:
                    await self._record_origin(call, origin)
                except BaseException:
                    self._release(call)
                    raise
            # An evacuation may have begun during the commit.
            if not self._selector.is_evacuated(endpoint):
                return endpoint
            self._release(call)

    async def _wait_for_endpoint(
        self, call: Call, excluded: set[str]
    ) -> Endpoint:
        """Return an endpoint; once all are excluded, retry them all.

        Raises:
            CallError: No endpoint is available within the retry window, or no
                endpoint can go on with the stream that the request resumes.
        """
        while True:
            self.check_place(call)
            self.check_resumption(call)
            endpoint = await self._choose(call, excluded)
            if endpoint is not None:
                return endpoint
            if not self._retry_window_ms(call):
                raise _no_endpoint_error(call)
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            excluded.clear()

    async def _choose(
        self, call: Call, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return the best endpoint that takes the request, None without one.

        An endpoint that limits its requests is chosen if it has a free slot. The
        request waits for one only if every endpoint limits its requests.

        Raises:
            CallError: All endpoints limit their requests, and none has a slot
                in time.
        """
        ranked = self._selector.rank(call.endpoint_query, excluded)
        limited = list(itertools.takewhile(self._limits.is_limited, ranked))
        others = ranked[len(limited) :]
        endpoint: Endpoint | None = None
        if limited:
            endpoint = await self._claim_slot(
                call, limited, is_last_resort=not others and not excluded
            )
        if endpoint is None and others:
            claimed = await self._claim_capacity(call, others, excluded)
            return claimed or others[0]
        return endpoint

    async def _claim_capacity(
        self, call: Call, ranked: list[Endpoint], excluded: Collection[str]
    ) -> Endpoint | None:
        """Return an endpoint with capacity that was claimed for a request.

        None without admission control, or if the request need not wait.

        Raises:
            CallError: No capacity comes in time.
        """
        if self.overload is None:
            return None

        def rank() -> list[Endpoint]:
            return [
                item
                for item in self._selector.rank(call.endpoint_query, excluded)
                if not self._limits.is_limited(item)
            ]

        return await self.overload.claim(call, ranked, rank)

    def _release(self, call: Call) -> None:
        if self.overload is not None:
            self.overload.release(call)
            self.overload.wake(call.service)

    async def _claim_slot(
        self, call: Call, limited: list[Endpoint], *, is_last_resort: bool
    ) -> Endpoint | None:
        """Return a limited endpoint when its slot has come, None without a slot.

        Args:
            call: The request.
            limited: Limited endpoints, preferred ones first.
            is_last_resort: Whether the request has no other choice, so that it
                waits for a slot.

        Raises:
            CallError: It has no other choice, and none has a slot in time.
        """
        wait_ms = self._longest_slot_wait_ms(call) if is_last_resort else 0
        try:
            slot = await self._limits.reserve(limited, wait_ms)
        except CallError as exc:
            logger.warning(
                'The owner of the slots of limited endpoints does not reply.',
                attempt=call.inbound.attempt,
                reason=exc,
            )
            return None
        if slot.endpoint is None:
            if is_last_resort:
                raise _no_slot_error(call, slot.wait_ms)
            return None
        await self._clock.sleep_ms(slot.wait_ms)
        endpoint = next(item for item in limited if item.id == slot.endpoint)
        is_usable = self._selector.is_candidate(endpoint, call.endpoint_query)
        return endpoint if is_usable else None

    def _longest_slot_wait_ms(self, call: Call) -> int:
        """Return how long a request may wait for a slot, milliseconds.

        A request that starts a program is refused early, so that its caller can
        retry, and running programs get the slots.
        """
        if call.starts_program:
            return int(_NEW_PROGRAM_WAIT_FRACTION * call.route.objective_ms)
        return self._retry_window_ms(call)

    def _retry_window_ms(self, call: Call) -> int:
        """Return the rest of the time for selecting endpoints, milliseconds."""
        started_ms = call.inbound.started_ms
        window_ms = _RETRY_WINDOW_FRACTION * (call.deadline_ms - started_ms)
        return max(0, int(started_ms + window_ms - self._clock.now_ms()))


def _origin(endpoint: Endpoint) -> StreamOrigin:
    return StreamOrigin(endpoint.service, endpoint.version)


def _no_endpoint_error(call: Call) -> CallError:
    return CallError(
        ErrorCode.NO_ENDPOINT,
        f'no endpoint of service "{call.service}" takes the request',
        call.verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _place_error(call: Call, code: ErrorCode) -> CallError:
    reason = 'outside the evacuated zones'
    if code is ErrorCode.HOME_REGION_UNAVAILABLE:
        reason = f'in the home regions {sorted(call.allowed_regions or ())}'
    return CallError(
        code,
        f'no endpoint of service "{call.service}" can be reached {reason}',
        call.verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _no_slot_error(call: Call, wait_ms: int) -> CallError:
    return CallError(
        ErrorCode.ENDPOINT_LIMITED,
        f'all endpoints of service "{call.service}" limit their requests; the '
        f'next one is accepted in {wait_ms} ms',
        call.verdict,
        retry_after_ms=wait_ms,
    )
