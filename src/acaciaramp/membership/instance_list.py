"""Polls the platform's instance list for endpoints that are leaving."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.endpoints.http import HttpRequest
from acaciaramp.errors import AcaciarampError
from acaciaramp.util.jsonentries import decode_readable
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.endpoints.http import HttpClient

logger = get_logger('membership')

_POLL_PERIOD_MS = 500
_RESPONSE_TIMEOUT_MS = 1_000
_TOTAL_TIMEOUT_MS = 3_000
# A row has one level of its own within the list.
_MAX_DEPTH = 16
_OK = 200


class InstanceStatus(enum.Enum):
    """Status of an instance on the platform's list.

    Attributes:
        LIVE: It gets new requests.
        LEAVING: It must get no new requests.
    """

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct):
    """One row of the instance list.

    Attributes:
        id: Id of the endpoint.
        standing: Its status.
    """

    id: str
    standing: InstanceStatus


class InstanceList(msgspec.Struct):
    """Response of the platform's instance list.

    Attributes:
        instances: Every instance that the platform knows; each is decoded by
            itself, as any may be invalid.
    """

    instances: list[msgspec.Raw]


_row_decoder = msgspec.json.Decoder(ListedInstance)
_list_decoder = msgspec.json.Decoder(InstanceList)


class InstanceListError(AcaciarampError):
    """The response of the instance list is unusable."""


class InstanceListPoller:
    """Polls the list for the set of endpoints that are leaving.

    While the list cannot be read, the set of the last successful poll is used.
    """

    def __init__(
        self, address: str | None, http: HttpClient, clock: Clock
    ) -> None:
        """Create the poller; no endpoint is leaving before the first poll.

        Args:
            address: URL of the instance list; None if there is none.
            http: Client for the requests.
            clock: Paces the polls.
        """
        self._address = address
        self._http = http
        self._clock = clock
        self._leaving: frozenset[str] = frozenset()

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint must get no new requests."""
        return endpoint in self._leaving

    async def run(self) -> None:
        """Poll until cancelled; return at once if there is no list."""
        while self._address is not None:
            await self.poll()
            await self._clock.sleep_ms(_POLL_PERIOD_MS)

    async def poll(self) -> None:
        """Read the list once; log a failure and keep the last set."""
        if self._address is None:
            return
        req = HttpRequest(
            'GET',
            self._address,
            inactivity_ms=_RESPONSE_TIMEOUT_MS,
            total_ms=_TOTAL_TIMEOUT_MS,
        )
        try:
            async with self._http.send(req) as response:
                status = response.status
                body = await response.read_body()
            rows = _decode(status, body)
        except (EndpointError, InstanceListError) as exc:
            logger.warning(
                'Could not read the instance list; keeping the last one.',
                reason=exc,
            )
            return
        leaving = frozenset(
            row.id for row in rows if row.standing is InstanceStatus.LEAVING
        )
        for endpoint in leaving - self._leaving:
            logger.info(
                'An endpoint is leaving; sending it no new requests.',
                endpoint=endpoint,
            )
        self._leaving = leaving


def _decode(status: int, body: bytes) -> list[ListedInstance]:
    """Decode the response of the list; invalid rows are skipped and logged.

    Raises:
        InstanceListError: It is not a list.
    """
    if status != _OK:
        raise InstanceListError(f'the list answers {status}')
    try:
        listed = decode_readable(_list_decoder, body, _MAX_DEPTH)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise InstanceListError(f'malformed: {exc}') from None
    rows = []
    for entry in listed.instances:
        try:
            rows.append(_row_decoder.decode(entry))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            logger.warning(
                'An invalid row of the instance list is skipped.', reason=exc
            )
    return rows
