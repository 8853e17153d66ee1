"""Follows the platform's instance list for endpoints that leave."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.endpoints.http import HttpRequest
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.endpoints.http import HttpClient

logger = get_logger('membership')

_POLL_MS = 500
_ANSWER_MS = 1_000
_OK = 200


class InstanceStatus(enum.Enum):
    """What the platform says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct):
    """One row of the instance list.

    Attributes:
        id: The endpoint's id.
        standing: Live or leaving.
    """

    id: str
    standing: InstanceStatus


class InstanceList(msgspec.Struct):
    """The platform's answer.

    Attributes:
        instances: Every instance it knows.
    """

    instances: list[ListedInstance]


class InstanceListPoller:
    """Remembers which endpoints leave.

    While the list cannot be read, what it said last stays in force.
    """

    def __init__(
        self, address: str | None, http: HttpClient, clock: Clock
    ) -> None:
        """Create the list with nobody leaving.

        Args:
            address: Address of the instance list, None if there is none.
            http: Connections.
            clock: Paces the polls.
        """
        self._address = address
        self._http = http
        self._clock = clock
        self._leaving: frozenset[str] = frozenset()

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the endpoint must get no new work."""
        return endpoint in self._leaving

    async def run(self) -> None:
        """Poll the list until cancelled, if there is one."""
        while self._address is not None:
            await self.poll()
            await self._clock.sleep_ms(_POLL_MS)

    async def poll(self) -> None:
        """Read the list once."""
        if self._address is None:
            return
        req = HttpRequest('GET', self._address, inactivity_ms=_ANSWER_MS)
        try:
            async with self._http.send(req) as answer:
                body = await answer.read_body()
                listed = msgspec.json.decode(body, type=InstanceList)
        except (EndpointError, msgspec.DecodeError) as exc:
            logger.warning('The instance list cannot be read.', reason=exc)
            return
        leaving = frozenset(
            row.id
            for row in listed.instances
            if row.standing is InstanceStatus.LEAVING
        )
        for endpoint in leaving - self._leaving:
            logger.info('The endpoint is leaving.', endpoint=endpoint)
        self._leaving = leaving
