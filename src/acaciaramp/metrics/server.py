"""Serves the metrics of a process at an address of its settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from acaciaramp.metrics.client import Metrics

logger = get_logger('metrics')

# One question and its answer; whoever is slower is left.
_LONGEST_S = 2


async def serve_metrics(host: str, port: int, metrics: Metrics) -> None:
    """Answer questions for metrics until cancelled.

    A port that cannot be had costs the metrics, not the process.

    Args:
        host: Address of this machine.
        port: Where to listen.
        metrics: What is served.
    """
    try:
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
    except OSError as exc:
        logger.warning('Metrics are not served.', port=port, reason=exc)
        return

    async def answer(stream: SocketStream) -> None:
        # Loaded when somebody asks: it costs memory and time at the start.
        from acaciaramp.metrics.scrape import handle_scrape

        async with stream:
            with anyio.move_on_after(_LONGEST_S):
                await handle_scrape(stream, metrics)

    await listener.serve(answer)
