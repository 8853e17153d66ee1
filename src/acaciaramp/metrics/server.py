"""Serves the metrics of a process over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.util.gate import ConnectionGate
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from acaciaramp.metrics.client import Metrics

logger = get_logger('metrics')

# Covers reading one request and sending the response; the connection is closed
# after it.
_SCRAPE_TIMEOUT_S = 2
# Each scrape renders all metrics.
_MAX_CONNECTIONS = 16


async def serve_metrics(host: str, port: int, metrics: Metrics) -> None:
    """Serve scrapes of the metrics until cancelled.

    If the port cannot be bound, it logs a warning and returns: the process runs
    on without serving metrics.

    Args:
        host: IP address to listen on.
        port: TCP port to listen on.
        metrics: The metrics to serve.
    """
    try:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
    except OSError as exc:
        logger.warning(
            'Could not bind the metrics port; running without serving metrics.',
            port=port,
            reason=exc,
        )
        return

    async def handle(stream: SocketStream) -> None:
        # Imported on the first scrape: it costs memory and start-up time.
        from acaciaramp.metrics.scrape import handle_scrape

        async with stream:
            with anyio.move_on_after(_SCRAPE_TIMEOUT_S):
                await handle_scrape(stream, metrics)

    gate = ConnectionGate('metrics', _MAX_CONNECTIONS)
    await listener.serve(gate.guard(handle))
