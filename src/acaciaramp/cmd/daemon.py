"""Runs a daemon until SIGTERM or SIGINT."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import anyio

from acaciaramp.util.heap import map_large_blocks

Daemon = Callable[[anyio.Event], Awaitable[None]]


def run_daemon(daemon: Daemon) -> None:
    """Run ``daemon`` on uvloop; SIGTERM and SIGINT set its stop event.

    Args:
        daemon: Called with the stop event; returns after it was set.
    """
    map_large_blocks()
    anyio.run(_run, daemon, backend_options={'use_uvloop': True})


async def _run(daemon: Daemon) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_await_signal, stop)
        await daemon(stop)
        tasks.cancel_scope.cancel()


async def _await_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
