"""Runs a daemon until a signal asks it to stop."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable

import anyio

Daemon = Callable[[anyio.Event], Awaitable[None]]


def run_daemon(daemon: Daemon) -> None:
    """Run ``daemon``; SIGTERM and SIGINT set the event that it is given.

    Args:
        daemon: Runs until its event is set, then returns.
    """
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
