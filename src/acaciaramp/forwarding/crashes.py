"""Decides which failed attempts count as crashes of endpoints.

A lost connection alone is no crash: a reset, a cut network or an endpoint with too
many connections looks the same to the attempt. Neither is an answer that does not come
in time: the endpoint may be slow. A request is taken to have crashed its endpoint once
the lifetime of that endpoint ends after the attempt has failed:

- the endpoint refuses new connections after one was lost, or
- the instance list has a later start of it, or does not have it any more.

An endpoint that has said that it is leaving ends as planned, and one that responds
to a later request did not end with the earlier one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio
import msgspec

from acaciaramp.coordination.messages import Endpoint
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from acaciaramp.clock import Clock
    from acaciaramp.ids import EndpointId

    RefusesConnections = Callable[[Endpoint], Awaitable[bool]]
    ReportCrash = Callable[['Crash'], None]

logger = get_logger('crashes')

_TICK_MS = 100
# An endpoint that has crashed is away for seconds; one that only resets
# connections accepts the next one.
_REFUSALS_OF_CRASHED = 2
_PAUSE_OF_DIALS_MS = 200
_MAX_DIALS_AT_ONCE = 8
# Endpoints that have crashed stay on the instance list for some seconds.
_SUSPICION_MS = 15_000
# As long as a request stays in quarantine. A new control leader knows no crashes.
_REPORT_MEMORY_MS = 60_000
_MAX_REPORTED = 256
# An endpoint that has responded to anything within this time before an attempt timed
# out is slow at most.
_SILENCE_MS = 500
_MAX_SUSPECTED_ENDPOINTS = 256
_MAX_SUSPECTED_REQUESTS = 64


class Lifetime(NamedTuple):
    """One lifetime of an endpoint.

    Attributes:
        endpoint: Id of the endpoint, which may be used again.
        born_ms: Wall-clock time of its start in milliseconds; 0 if unknown.
    """

    endpoint: EndpointId
    born_ms: int


class Crash(NamedTuple):
    """A request that has crashed an endpoint.

    Attributes:
        digest: Digest of the request.
        lifetime: Lifetime of the endpoint that ended.
    """

    digest: str
    lifetime: Lifetime


class _Suspect(msgspec.Struct):
    """An endpoint whose lifetime may have ended.

    Attributes:
        endpoint: The endpoint as listed when the attempt failed.
        failed_ms: When the last attempt failed, by digest of the request.
        dial_ms: When it is dialled next; None if it is not.
        refusals: Connections in a row that it has refused since.
        answered_ms: Time up to which its responses show that it lived.
        end: Why its lifetime is taken as ended; empty while it is not.
    """

    endpoint: Endpoint
    failed_ms: dict[str, int] = {}
    dial_ms: int | None = None
    refusals: int = 0
    answered_ms: int = -1
    end: str = ''

    def unanswered(self) -> list[str]:
        """Return the requests that failed after its last response."""
        return [
            digest
            for digest, at_ms in self.failed_ms.items()
            if at_ms >= self.answered_ms
        ]


class CrashWatch:
    """Watches endpoints at which attempts have failed, until it is clear why."""

    def __init__(
        self,
        refuses_connections: RefusesConnections,
        report: ReportCrash,
        clock: Clock,
    ) -> None:
        """Create the watch without suspects; ``run`` starts it.

        Args:
            refuses_connections: Opens a connection to an endpoint; returns
                whether the endpoint has refused it.
            report: Called for each request and lifetime, again for a new
                control leader.
            clock: Source of time.
        """
        self._refuses_connections = refuses_connections
        self._report = report
        self._clock = clock
        self._suspects: dict[Lifetime, _Suspect] = {}
        # When each endpoint that is leaving was last known to be so.
        self._leaving_ms: dict[Lifetime, int] = {}
        self._heard_ms: dict[Lifetime, int] = {}
        self._listed: dict[EndpointId, Endpoint] | None = None
        self._dial_due = anyio.Event()
        self._reported_ms: dict[Crash, int] = {}

    def suspect(self, digest: str, endpoint: Endpoint) -> None:
        """Record that the connection of a request was lost."""
        suspect = self._suspect(digest, endpoint)
        if suspect is None or suspect.end:
            return
        if suspect.dial_ms is None:
            suspect.dial_ms = self._clock.now_ms()
            suspect.refusals = 0
            self._dial_due.set()

    def suspect_silent(self, digest: str, endpoint: Endpoint) -> None:
        """Record that no answer to a request has come in time.

        Nothing is recorded if the endpoint has responded to others just before.
        """
        heard_ms = self._heard_ms.get(_lifetime_of(endpoint))
        now_ms = self._clock.now_ms()
        if heard_ms is None or now_ms - heard_ms > _SILENCE_MS:
            self._suspect(digest, endpoint)

    def record_response(self, endpoint: Endpoint, sent_ms: int) -> None:
        """Record that an endpoint has responded to a request.

        Args:
            endpoint: The endpoint.
            sent_ms: When the request was sent.
        """
        lifetime = _lifetime_of(endpoint)
        self._heard_ms[lifetime] = self._clock.now_ms()
        suspect = self._suspects.get(lifetime)
        if suspect is not None:
            suspect.answered_ms = max(suspect.answered_ms, sent_ms)

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Record that an endpoint is leaving: its end will be planned."""
        lifetime = _lifetime_of(endpoint)
        self._leaving_ms[lifetime] = self._clock.now_ms()
        self._suspects.pop(lifetime, None)

    def record_return(self, endpoint: Endpoint) -> None:
        """Record that an endpoint serves again: no end of it is planned."""
        self._leaving_ms.pop(_lifetime_of(endpoint), None)

    def observe(self, endpoints: Iterable[Endpoint]) -> None:
        """Compare the suspects with a new instance list."""
        self._drop_old()
        listed = {endpoint.id: endpoint for endpoint in endpoints}
        self._listed = listed
        for endpoint in listed.values():
            if endpoint.is_leaving:
                self.record_leaving(endpoint)
        present = set(map(_lifetime_of, listed.values()))
        for lifetime in self._heard_ms.keys() - present:
            self._heard_ms.pop(lifetime)
        for suspect in list(self._suspects.values()):
            self._judge(suspect, listed.get(suspect.endpoint.id))

    def report_again(self) -> None:
        """Report all recent crashes, as there is another control leader."""
        oldest_ms = self._clock.now_ms() - _REPORT_MEMORY_MS
        for crash, at_ms in list(self._reported_ms.items()):
            if at_ms < oldest_ms:
                self._reported_ms.pop(crash)
            else:
                self._report(crash)

    async def run(self) -> None:
        """Dial suspects until cancelled."""
        while True:
            await self._dial_due.wait()
            await self._clock.sleep_ms(_TICK_MS)
            await self.check()
            if all(item.dial_ms is None for item in self._suspects.values()):
                self._dial_due = anyio.Event()

    async def check(self) -> None:
        """Dial the suspects that are due."""
        self._drop_old()
        now_ms = self._clock.now_ms()
        due = [
            suspect
            for suspect in self._suspects.values()
            if suspect.dial_ms is not None and suspect.dial_ms <= now_ms
        ]
        async with anyio.create_task_group() as tasks:
            for suspect in due[:_MAX_DIALS_AT_ONCE]:
                tasks.start_soon(self._dial, suspect)

    def _suspect(self, digest: str, endpoint: Endpoint) -> _Suspect | None:
        """Return the suspect of a failed attempt; None if it is leaving."""
        lifetime = _lifetime_of(endpoint)
        if endpoint.is_leaving or lifetime in self._leaving_ms:
            return None
        suspect = self._suspects.pop(lifetime, None) or _Suspect(endpoint)
        # The endpoint with the newest failure is the last one to be dropped.
        self._suspects[lifetime] = suspect
        if len(self._suspects) > _MAX_SUSPECTED_ENDPOINTS:
            self._suspects.pop(next(iter(self._suspects)))
        now_ms = self._clock.now_ms()
        suspect.failed_ms.pop(digest, None)
        suspect.failed_ms[digest] = now_ms
        if len(suspect.failed_ms) > _MAX_SUSPECTED_REQUESTS:
            suspect.failed_ms.pop(next(iter(suspect.failed_ms)))
        if suspect.end:
            self._report_first(Crash(digest, lifetime))
        elif self._listed is not None:
            # The list may have shown the end before the attempt timed out.
            self._judge(suspect, self._listed.get(endpoint.id))
        return suspect

    def _judge(self, suspect: _Suspect, found: Endpoint | None) -> None:
        """Compare a suspect with its entry in the instance list, if it has one."""
        born_ms = suspect.endpoint.born_ms
        if found is None:
            self._record_end(suspect, suspect.unanswered(), 'unlisted')
        elif born_ms and found.born_ms > born_ms:
            # A response after the failure may be of the later lifetime.
            self._record_end(suspect, list(suspect.failed_ms), 'restarted')

    async def _dial(self, suspect: _Suspect) -> None:
        if not await self._refuses_connections(suspect.endpoint):
            # It lives, or it is back already: the list tells which.
            suspect.dial_ms = None
            return
        suspect.refusals += 1
        suspect.dial_ms = self._clock.now_ms() + _PAUSE_OF_DIALS_MS
        if suspect.refusals >= _REFUSALS_OF_CRASHED:
            suspect.dial_ms = None
            self._record_end(suspect, suspect.unanswered(), 'refused')

    def _record_end(
        self, suspect: _Suspect, digests: list[str], reason: str
    ) -> None:
        """Report the requests that failed with the lifetime of an endpoint."""
        if suspect.end or not digests:
            return
        suspect.end = reason
        suspect.dial_ms = None
        lifetime = _lifetime_of(suspect.endpoint)
        logger.warning(
            'An endpoint has ended after attempts at it failed; reporting its '
            'requests as those that may have crashed it.',
            endpoint=lifetime.endpoint,
            born_ms=lifetime.born_ms,
            end=reason,
            digests=digests,
        )
        for digest in digests:
            self._report_first(Crash(digest, lifetime))

    def _report_first(self, crash: Crash) -> None:
        self._reported_ms[crash] = self._clock.now_ms()
        if len(self._reported_ms) > _MAX_REPORTED:
            self._reported_ms.pop(next(iter(self._reported_ms)))
        self._report(crash)

    def _drop_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _SUSPICION_MS
        for left, at_ms in list(self._leaving_ms.items()):
            if at_ms < oldest_ms:
                self._leaving_ms.pop(left)
        for lifetime, suspect in list(self._suspects.items()):
            if max(suspect.failed_ms.values()) < oldest_ms:
                self._suspects.pop(lifetime)


def _lifetime_of(endpoint: Endpoint) -> Lifetime:
    return Lifetime(endpoint.id, endpoint.born_ms)
