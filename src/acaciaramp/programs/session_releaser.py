"""Releases the engine sessions of ended programs.

An engine keeps the prefix cache of a program in a session named after it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from acaciaramp.documents.model import ServiceKind
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.records import StepKind
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Endpoint
    from acaciaramp.documents.registry import Registry
    from acaciaramp.ids import ProgramId
    from acaciaramp.records import Program

logger = get_logger('releases')

IsReleasable = Callable[['ProgramId'], bool]
ListSessions = Callable[['Endpoint'], Awaitable[list['ProgramId']]]
ReleaseSessions = Callable[['Endpoint', list['ProgramId']], Awaitable[None]]

_FLUSH_PERIOD_MS = 500
_MAX_BATCH = 500


class SessionReleaser:
    """Requests the release of sessions until the engines confirm it."""

    def __init__(
        self,
        release_sessions: ReleaseSessions,
        list_sessions: ListSessions,
        registry: Registry,
        clock: Clock,
    ) -> None:
        """Create the releaser without pending releases.

        Args:
            release_sessions: Releases sessions of one engine; raises
                ``EndpointError`` on failure.
            list_sessions: Returns the programs that have a session at one
                engine; raises ``EndpointError`` on failure.
            registry: The active document.
            clock: Times the flushes.
        """
        self._release_sessions = release_sessions
        self._list_sessions = list_sessions
        self._registry = registry
        self._clock = clock
        self._pending: dict[str, set[ProgramId]] = {}

    @property
    def pending_count(self) -> int:
        """Number of releases that no engine has confirmed yet."""
        return sum(len(programs) for programs in self._pending.values())

    def add_program(self, record: Program) -> None:
        """Queue the release of a program at each engine that it was sent to."""
        for step in record.steps.values():
            if step.request.kind is not StepKind.CHAT:
                continue
            for attempt in step.attempts:
                self._pending.setdefault(attempt.endpoint, set()).add(
                    record.program
                )

    async def run(self) -> None:
        """Flush the pending releases every half second, until cancelled."""
        while True:
            await self._clock.sleep_ms(_FLUSH_PERIOD_MS)
            await self.flush()

    async def reconcile(self, is_releasable: IsReleasable) -> None:
        """Queue the release of sessions whose programs have ended.

        The pending releases are kept in memory only. This finds those that a
        failed leader had pending, and those that were never confirmed.

        Args:
            is_releasable: Returns whether a program's sessions can be released;
                False for programs of cells that this instance does not lead.
        """
        for endpoint in self._engines():
            try:
                sessions = await self._list_sessions(endpoint)
            except EndpointError:
                continue
            releasable = {
                program for program in sessions if is_releasable(program)
            }
            if releasable:
                self._pending.setdefault(endpoint.id, set()).update(releasable)

    async def flush(self) -> None:
        """Send each engine with pending releases one batch of them.

        Releases at endpoints that the document no longer has are dropped.
        """
        for name in list(self._pending):
            endpoint = self._registry.endpoints.get(name)
            if endpoint is None:
                self._pending.pop(name)
                continue
            await self._flush_endpoint(endpoint)

    def _engines(self) -> list[Endpoint]:
        return [
            endpoint
            for service in self._registry.document.services
            if service.kind is ServiceKind.ENGINE
            for endpoint in service.endpoints
        ]

    async def _flush_endpoint(self, endpoint: Endpoint) -> None:
        programs = sorted(self._pending[endpoint.id])[:_MAX_BATCH]
        try:
            await self._release_sessions(endpoint, programs)
        except EndpointError as exc:
            logger.warning(
                'The engine did not confirm the release of sessions; retrying '
                'at the next flush.',
                endpoint=endpoint.id,
                reason=exc,
            )
            return
        self._pending[endpoint.id].difference_update(programs)
        if not self._pending[endpoint.id]:
            self._pending.pop(endpoint.id)
