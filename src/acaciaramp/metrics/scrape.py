"""Handles one scrape of the metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import h11

from acaciaramp.metrics.exposition import render
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import ByteStream

    from acaciaramp.metrics.client import Metrics

logger = get_logger('metrics')

_PATH = b'/metrics'
_OK = 200
_NOT_FOUND = 404
_READ_BYTES = 4_096


async def handle_scrape(stream: ByteStream, metrics: Metrics) -> None:
    """Read one HTTP request and respond with the metrics.

    Any request but ``GET /metrics`` gets a 404 response. If the request is
    malformed or the peer closes the connection early, the function returns
    without a complete response.

    Args:
        stream: The connection; the caller closes it.
        metrics: The metrics to render.
    """
    conn = h11.Connection(h11.SERVER)
    try:
        req = await _read_request(stream, conn)
        if req is not None:
            await _write_response(stream, conn, _body_for(req, metrics))
    except (h11.RemoteProtocolError, anyio.BrokenResourceError) as exc:
        logger.info(
            'A metrics scrape failed; closing the connection.', reason=exc
        )


async def _read_request(
    stream: ByteStream, conn: h11.Connection
) -> h11.Request | None:
    """Return the request; None if the peer closes before it is complete."""
    while True:
        event = conn.next_event()
        if isinstance(event, h11.Request):
            return event
        if event is not h11.NEED_DATA:
            return None
        try:
            conn.receive_data(await stream.receive(_READ_BYTES))
        except anyio.EndOfStream:
            return None


def _body_for(req: h11.Request, metrics: Metrics) -> bytes | None:
    is_scrape = req.method == b'GET' and req.target == _PATH
    return render(metrics) if is_scrape else None


async def _write_response(
    stream: ByteStream, conn: h11.Connection, body: bytes | None
) -> None:
    status = _NOT_FOUND if body is None else _OK
    content = body or b''
    head = h11.Response(
        status_code=status,
        headers=[
            ('content-type', 'text/plain; version=0.0.4; charset=utf-8'),
            ('content-length', str(len(content))),
            ('connection', 'close'),
        ],
    )
    for event in (head, h11.Data(content), h11.EndOfMessage()):
        await stream.send(conn.send(event) or b'')
