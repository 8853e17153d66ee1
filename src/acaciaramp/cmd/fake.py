"""``acaciaramp fake``: runs stand-ins."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import anyio
import click

from acaciaramp.clock import SystemClock
from acaciaramp.cmd.daemon import Daemon, run_daemon
from acaciaramp.fakes.batching import StepTiming
from acaciaramp.fakes.connections import AbortableProtocol
from acaciaramp.fakes.engine import EngineOptions, FakeEngine
from acaciaramp.fakes.faults import Fault, FaultInjector, FaultKind
from acaciaramp.fakes.instances import FakeInstanceList
from acaciaramp.fakes.service import FakeService
from acaciaramp.util.logs import configure_logs
from acaciaramp.util.webserver import bind_socket, serving

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Scope

_CRASH_STATUS = 70
_ALWAYS = 1_000_000_000

_port = click.option('--port', type=int, required=True, help='TCP port.')
_host = click.option('--host', default='127.0.0.1', help='IP address.')
_crash_marker = click.option(
    '--crash-marker', default='', help='Crash on a body with this text.'
)


@click.group()
def fake() -> None:
    """Run stand-ins for what is outside the system."""
    configure_logs('info')


@fake.command()
@_host
@_port
@_crash_marker
@click.option(
    '--model', 'models', multiple=True, required=True, help='A model.'
)
@click.option(
    '--step-ms', type=float, default=0, help='Time of a step of one sequence.'
)
@click.option(
    '--step-each-ms', type=float, default=0, help='Added for each further one.'
)
@click.option(
    '--prefill', type=float, default=0, help='Prompt tokens per millisecond.'
)
@click.option('--batch', default=64, help='Most sequences in one step.')
@click.option(
    '--cache-blocks', default=4096, help='Blocks of the prefix cache.'
)
@click.option('--event-delay-ms', default=200, help='Lateness of cache events.')
@click.option('--event-drop-every', default=0, help='Lose every n-th event.')
@click.option('--load-lag-ms', default=500, help='Age of load reports.')
@click.option('--load-ms', default=0, help='Time to load a model.')
@click.option('--checks-fencing/--ignores-fencing', default=True)
def engine(
    host: str,
    port: int,
    crash_marker: str,
    models: tuple[str, ...],
    step_ms: float,
    step_each_ms: float,
    prefill: float,
    batch: int,
    cache_blocks: int,
    event_delay_ms: int,
    event_drop_every: int,
    load_lag_ms: int,
    load_ms: int,
    checks_fencing: bool,
) -> None:
    """Run a stand-in model engine."""
    options = EngineOptions(
        models=models,
        pace=StepTiming(
            step_ms=step_ms,
            step_each_ms=step_each_ms,
            prefill_tokens_per_ms=prefill,
        ),
        batch_size=batch,
        cache_blocks=cache_blocks,
        event_delay_ms=event_delay_ms,
        event_drop_every=event_drop_every,
        load_lag_ms=load_lag_ms,
        load_ms=load_ms,
        checks_fencing=checks_fencing,
    )
    fake_engine = FakeEngine(options, SystemClock())

    async def daemon(stop: anyio.Event) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fake_engine.run)
            await _serve(fake_engine.app(), host, port, crash_marker)(stop)
            tasks.cancel_scope.cancel()

    run_daemon(daemon)


@fake.command()
@_host
@_port
@_crash_marker
def service(host: str, port: int, crash_marker: str) -> None:
    """Run a stand-in plain service; GET /executions lists what it did."""
    run_daemon(_serve(FakeService().app(), host, port, crash_marker))


@fake.command()
@_host
@_port
@click.option('--instance', 'names', multiple=True, help='An instance.')
@click.option('--lag-ms', default=500, help='How late changes are seen.')
def instances(
    host: str, port: int, names: tuple[str, ...], lag_ms: int
) -> None:
    """Run a stand-in for the platform's instance list."""
    listing = FakeInstanceList(names, lag_ms, SystemClock())
    run_daemon(_serve(listing.app(), host, port, ''))


def _serve(app: ASGIApp, host: str, port: int, crash_marker: str) -> Daemon:
    faulty = FaultInjector(app, SystemClock(), _crash)
    if crash_marker:
        faulty.add(
            Fault(kind=FaultKind.CRASH, times=_ALWAYS, marker=crash_marker)
        )

    async def daemon(stop: anyio.Event) -> None:
        async with serving(
            faulty, [bind_socket(host, port)], AbortableProtocol
        ):
            await stop.wait()

    return daemon


def _crash(scope: Scope) -> None:
    os._exit(_CRASH_STATUS)
