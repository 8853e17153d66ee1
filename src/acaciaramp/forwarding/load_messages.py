"""Messages by which entry instances tell each other the load of endpoints.

Times travel as ages, since the clocks of instances differ.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import EndpointId, InstanceId
from acaciaramp.peering.messages import DECODE_ERRORS
from acaciaramp.scheduling.load_board import LoadReport, RequestStart

# Bounds of one message, far over what a service of 48 endpoints needs.
MAX_REPORTS = 256
MAX_STARTS = 1_024
MAX_PASS_ON = 64

_MAX_AGE_MS = 60_000
_Age = Annotated[int, msgspec.Meta(ge=0, le=_MAX_AGE_MS)]


class NewsKind(enum.Enum):
    """What a receiver does with news.

    Attributes:
        ZONE: Observations of an instance of the same zone, which the receiver
            passes on in this one and, in digests, to the others.
        DIGEST: Observations of another zone, which are passed on in this one.
        RELAY: Observations of several instances, from one of this zone.
    """

    ZONE = 0
    DIGEST = 1
    RELAY = 2


class WireReport(msgspec.Struct, frozen=True, array_like=True):
    """A load report; the fields are those of ``LoadReport``.

    Attributes:
        endpoint: Id of the endpoint.
        running: Number of requests that it was executing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can execute at once.
        duration_percent: Duration of work there; None if it does not say.
        age_ms: Milliseconds since it was observed.
    """

    endpoint: EndpointId
    running: int
    waiting: int
    slots: int
    duration_percent: int | None
    age_ms: _Age


class WireStart(msgspec.Struct, frozen=True, array_like=True):
    """A request that was sent to an endpoint.

    Attributes:
        endpoint: Id of the endpoint.
        age_ms: Milliseconds since it was sent.
        origin: Number of the instance that sent it; 0 from an instance that
            sends none.
    """

    endpoint: EndpointId
    age_ms: _Age
    origin: int = 0


class LoadNews(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """News of the load of endpoints.

    Attributes:
        kind: What the receiver does with them.
        reports: The newest report of each endpoint.
        starts: Requests that were sent.
        pass_on: Instances to which the receiver passes a relay on.
    """

    kind: NewsKind
    reports: Annotated[
        tuple[WireReport, ...], msgspec.Meta(max_length=MAX_REPORTS)
    ] = ()
    starts: Annotated[
        tuple[WireStart, ...], msgspec.Meta(max_length=MAX_STARTS)
    ] = ()
    pass_on: Annotated[
        tuple[InstanceId, ...], msgspec.Meta(max_length=MAX_PASS_ON)
    ] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadNews)


def encode_news(news: LoadNews) -> bytes:
    """Encode news as MessagePack."""
    return _encoder.encode(news)


def decode_news(body: bytes) -> LoadNews:
    """Decode news.

    Raises:
        CallError: The bytes are no news, or exceed a bound.
    """
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS as exc:
        raise CallError(
            ErrorCode.BAD_REQUEST, f'news of loads cannot be decoded: {exc}'
        ) from None


class NewsBatch:
    """News that wait to be sent, with the newest report of each endpoint."""

    def __init__(self) -> None:
        """Create an empty batch."""
        self._reports: dict[EndpointId, LoadReport] = {}
        self._starts: list[RequestStart] = []

    def __bool__(self) -> bool:
        return bool(self._reports or self._starts)

    def add(
        self, reports: list[LoadReport], starts: list[RequestStart]
    ) -> None:
        """Add news; beyond the bounds of a message, starts are dropped."""
        for report in reports:
            known = self._reports.get(report.endpoint)
            if known is None or known.observed_ms < report.observed_ms:
                self._reports[report.endpoint] = report
        self._starts.extend(starts[: MAX_STARTS - len(self._starts)])

    def take(self, kind: NewsKind, now_ms: int) -> LoadNews:
        """Return the batch as a message, and empty it."""
        newest = sorted(
            self._reports.values(), key=lambda report: -report.observed_ms
        )
        news = LoadNews(
            kind,
            tuple(
                WireReport(
                    report.endpoint,
                    report.running,
                    report.waiting,
                    report.slots,
                    report.duration_percent,
                    now_ms - report.observed_ms,
                )
                for report in newest[:MAX_REPORTS]
            ),
            tuple(
                WireStart(
                    start.endpoint, now_ms - start.started_ms, start.origin
                )
                for start in self._starts
            ),
        )
        self._reports = {}
        self._starts = []
        return news


def reports_in(news: LoadNews, now_ms: int) -> list[LoadReport]:
    """Return the reports of a message, observed on the clock of this process."""
    return [
        LoadReport(
            endpoint=wire.endpoint,
            running=wire.running,
            waiting=wire.waiting,
            slots=wire.slots,
            duration_percent=wire.duration_percent,
            observed_ms=now_ms - wire.age_ms,
        )
        for wire in news.reports
    ]


def starts_in(news: LoadNews, now_ms: int) -> list[RequestStart]:
    """Return the starts of a message, on the clock of this process."""
    return [
        RequestStart(wire.endpoint, now_ms - wire.age_ms, wire.origin)
        for wire in news.starts
    ]
