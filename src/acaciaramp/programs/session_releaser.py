"""Frees the engine memory of programs that have ended."""

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

IsGone = Callable[['ProgramId'], bool]
List = Callable[['Endpoint'], Awaitable[list['ProgramId']]]
Release = Callable[['Endpoint', list['ProgramId']], Awaitable[None]]

_PERIOD_MS = 500
_MOST_AT_ONCE = 500


class SessionReleaser:
    """Tells engines which programs are gone, until they confirm it."""

    def __init__(
        self,
        release: Release,
        list_held: List,
        registry: Registry,
        clock: Clock,
    ) -> None:
        """Create the empty list.

        Args:
            release: Tells one engine; raises ``EndpointError`` on failure.
            list_held: Returns the programs whose memory an engine holds.
            registry: The document in force.
            clock: Paces the tries.
        """
        self._release = release
        self._list = list_held
        self._registry = registry
        self._clock = clock
        self._gone: dict[str, set[ProgramId]] = {}

    @property
    def count(self) -> int:
        """How many releases no engine has confirmed yet."""
        return sum(len(programs) for programs in self._gone.values())

    def add(self, record: Program) -> None:
        """Note that every engine which served a program may forget it."""
        for step in record.steps.values():
            if step.request.kind is not StepKind.CHAT:
                continue
            for attempt in step.attempts:
                self._gone.setdefault(attempt.endpoint, set()).add(
                    record.program
                )

    async def run(self) -> None:
        """Tell the engines every half second, until cancelled."""
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            await self.flush()

    async def reconcile(self, is_gone: IsGone) -> None:
        """Compare what every engine holds with the programs that live.

        This frees what a lost leader had noted and what was never confirmed.

        Args:
            is_gone: Tells whether a program is gone, of the cells led here.
        """
        for endpoint in self._engines():
            try:
                held = await self._list(endpoint)
            except EndpointError:
                continue
            gone = {program for program in held if is_gone(program)}
            if gone:
                self._gone.setdefault(endpoint.id, set()).update(gone)

    async def flush(self) -> None:
        """Tell every engine what it may forget, once."""
        for name in list(self._gone):
            endpoint = self._registry.endpoints.get(name)
            if endpoint is None:
                self._gone.pop(name)
                continue
            await self._tell(endpoint)

    def _engines(self) -> list[Endpoint]:
        return [
            endpoint
            for service in self._registry.document.services
            if service.kind is ServiceKind.ENGINE
            for endpoint in service.endpoints
        ]

    async def _tell(self, endpoint: Endpoint) -> None:
        programs = sorted(self._gone[endpoint.id])[:_MOST_AT_ONCE]
        try:
            await self._release(endpoint, programs)
        except EndpointError as exc:
            logger.warning(
                'The engine did not confirm a release.',
                endpoint=endpoint.id,
                reason=exc,
            )
            return
        self._gone[endpoint.id].difference_update(programs)
        if not self._gone[endpoint.id]:
            self._gone.pop(endpoint.id)
