"""Reads the platform's list of endpoints."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Annotated, Literal
from urllib.parse import quote

import msgspec

from acaciaramp.coordination.messages import Endpoint
from acaciaramp.endpoints.failures import EndpointError
from acaciaramp.endpoints.http import HttpClient, HttpRequest
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import AvailabilityZone, EndpointId, ServiceName
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.util.jsonentries import decode_readable
from acaciaramp.util.logs import get_logger
from acaciaramp.util.numbers import MAX_COUNT, parse_count

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.leader import ReadEndpoints
    from acaciaramp.metrics.client import Metrics

logger = get_logger('instances')

_RESPONSE_TIMEOUT_MS = 1_000
_MAX_PAGE_BYTES = 4_194_304
# An entry of the list has two levels of its own within the page.
_MAX_DEPTH = 16
# A list whose pages never end is not read any further.
_MAX_PAGES = 1_000
# A list of 12,000 endpoints, the most that the system is made for, takes 5 MB.
_MAX_LIST_BYTES = 25_165_824
# Pages of a list that is read for longer do not describe one moment.
_LIST_TIMEOUT_MS = 10_000
_MAX_PORT = 65_535
_MAX_SLOTS = 1_000_000
_MAX_VERSION_LENGTH = 256
_OK = 200


# Names are passed on in headers and to peers.
_Name = Annotated[str, msgspec.Meta(pattern='^[!-~]{1,256}$')]
_Version = Annotated[str, msgspec.Meta(max_length=_MAX_VERSION_LENGTH)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
_WallMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _Page(msgspec.Struct):
    """One page of the list; ``next`` is the token of the next page.

    The entries are decoded one by one, as any of them may be invalid.
    """

    instances: list[msgspec.Raw]
    next: str | None = None


class _Instance(msgspec.Struct, rename='camel', kw_only=True):
    """One entry.

    ``version`` is that of the endpoint's software, ``born`` its start time, wall
    clock, ms, ``coldLeftMs`` how long it stays cold.
    """

    id: _Name
    service: _Name
    address: str
    zone: _Name
    slots: _Slots
    state: Literal['ready', 'draining']
    version: _Version = ''
    born: _WallMs = 0
    cold_left_ms: _ColdMs | None = None


_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError)
_ENTRY_ERRORS = (*_DECODE_ERRORS, RecursionError, ValueError)
_page_decoder = msgspec.json.Decoder(_Page)
_instance_decoder = msgspec.json.Decoder(_Instance)


def make_reader(address: str, clock: Clock, metrics: Metrics) -> ReadEndpoints:
    """Return a function that reads all pages of the list.

    The function raises ``CallError`` if a page cannot be read.

    Args:
        address: Host and port of the list.
        clock: Clock for the response timeout.
        metrics: Counts invalid entries.
    """
    client = HttpClient(clock)

    async def read_pages() -> tuple[Endpoint, ...]:
        endpoints: list[Endpoint] = []
        token = ''
        left_bytes = _MAX_LIST_BYTES
        for _ in range(_MAX_PAGES):
            query = f'?pageToken={quote(token)}' if token else ''
            page, size = await _read_page(
                client, f'http://{address}/instances{query}', left_bytes
            )
            left_bytes -= size
            endpoints.extend(decode_entries(page.instances, metrics))
            if not page.next:
                return tuple(endpoints)
            token = page.next
        raise CallError(
            ErrorCode.NO_ENDPOINT, f'the list has more than {_MAX_PAGES} pages'
        )

    async def read() -> tuple[Endpoint, ...]:
        try:
            with clock.timeout(_LIST_TIMEOUT_MS):
                return await read_pages()
        except TimeoutError:
            raise CallError(
                ErrorCode.NO_ENDPOINT, 'the list was not read in time'
            ) from None

    return read


def decode_entries(
    entries: list[msgspec.Raw], metrics: Metrics
) -> list[Endpoint]:
    """Decode the entries; invalid ones are skipped, logged and counted."""
    endpoints = []
    for entry in entries:
        try:
            endpoints.append(_endpoint(_instance_decoder.decode(entry)))
        except _ENTRY_ERRORS as exc:
            metrics.count(Counter.BAD_INPUT, BadInput.LIST_ENTRY)
            logger.info(
                'An invalid entry of the instance list is skipped.', why=exc
            )
    return endpoints


async def _read_page(
    client: HttpClient, url: str, left_bytes: int
) -> tuple[_Page, int]:
    """Return a page and its size, which is at most ``left_bytes``."""
    req = HttpRequest(
        'GET',
        url,
        inactivity_ms=_RESPONSE_TIMEOUT_MS,
        total_ms=_RESPONSE_TIMEOUT_MS,
        most_body_bytes=min(_MAX_PAGE_BYTES, left_bytes),
    )
    try:
        async with client.send(req) as response:
            status = response.status
            body = await response.read_body()
    except EndpointError as exc:
        raise CallError(ErrorCode.NO_ENDPOINT, str(exc)) from None
    if status != _OK:
        raise CallError(ErrorCode.NO_ENDPOINT, f'the list answers {status}')
    try:
        return decode_readable(_page_decoder, body, _MAX_DEPTH), len(body)
    except _DECODE_ERRORS as exc:
        raise CallError(ErrorCode.NO_ENDPOINT, f'malformed: {exc}') from None


def _endpoint(wire: _Instance) -> Endpoint:
    """Return the endpoint of an entry.

    Raises:
        ValueError: Its address is none.
    """
    host, _, port_text = wire.address.rpartition(':')
    port = parse_count(port_text)
    if port is None or not 0 < port <= _MAX_PORT:
        raise ValueError(f'expected a TCP port, got "{port_text}"')
    ipaddress.ip_address(host)
    return Endpoint(
        id=EndpointId(wire.id),
        service=ServiceName(wire.service),
        host=host,
        port=port,
        availability_zone=AvailabilityZone(wire.zone),
        slots=wire.slots,
        is_leaving=wire.state == 'draining',
        born_ms=wire.born,
        version=wire.version,
        is_cold=None if wire.cold_left_ms is None else wire.cold_left_ms > 0,
    )
