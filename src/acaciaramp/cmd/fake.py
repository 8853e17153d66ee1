"""The ``acaciaramp fake`` commands, which run fakes of external systems."""

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
from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Scope

_CRASH_EXIT_STATUS = 70
_UNLIMITED_TIMES = 1_000_000_000

_port = click.option('--port', type=int, required=True, help='TCP port.')
_host = click.option('--host', default='127.0.0.1', help='IP address.')
_crash_marker = click.option(
    '--crash-marker', default='', help='Crash on a request body with this text.'
)


@click.group()
def fake() -> None:
    """Run fake engines, plain services and instance lists."""
    configure_logs('info')


@fake.command()
@_host
@_port
@_crash_marker
@click.option(
    '--model',
    'models',
    multiple=True,
    required=True,
    help='Model to serve; may be repeated.',
)
@click.option(
    '--step-ms',
    type=float,
    default=0,
    help='Duration of a step with one sequence.',
)
@click.option(
    '--step-each-ms', type=float, default=0, help='Added per further sequence.'
)
@click.option(
    '--prefill', type=float, default=0, help='Prompt tokens prefilled per ms.'
)
@click.option('--batch', default=64, help='Maximum sequences per step.')
@click.option(
    '--cache-blocks', default=4096, help='Capacity of the prefix cache, blocks.'
)
@click.option('--event-delay-ms', default=200, help='Delay of cache events.')
@click.option(
    '--event-drop-every',
    default=0,
    help='Drop every n-th cache event; 0 for none.',
)
@click.option(
    '--load-lag-ms', default=500, help='Age at which a load report is renewed.'
)
@click.option('--load-ms', default=0, help='Duration of a control command.')
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
    """Run a fake model engine."""
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
            await _make_daemon(fake_engine.app(), host, port, crash_marker)(
                stop
            )
            tasks.cancel_scope.cancel()

    run_daemon(daemon)


@fake.command()
@_host
@_port
@_crash_marker
def service(host: str, port: int, crash_marker: str) -> None:
    """Run a fake plain service; GET /executions lists executed requests."""
    run_daemon(_make_daemon(FakeService().app(), host, port, crash_marker))


@fake.command()
@_host
@_port
@click.option(
    '--instance',
    'names',
    multiple=True,
    help='Listed instance; may be repeated.',
)
@click.option('--lag-ms', default=500, help='Delay until readers see a change.')
def instances(
    host: str, port: int, names: tuple[str, ...], lag_ms: int
) -> None:
    """Run a fake of the platform's instance list."""
    instance_list = FakeInstanceList(names, lag_ms, SystemClock())
    run_daemon(_make_daemon(instance_list.app(), host, port, ''))


def _make_daemon(
    app: ASGIApp, host: str, port: int, crash_marker: str
) -> Daemon:
    injector = FaultInjector(app, SystemClock(), _crash)
    if crash_marker:
        injector.add(
            Fault(
                kind=FaultKind.CRASH,
                times=_UNLIMITED_TIMES,
                marker=crash_marker,
            )
        )

    async def daemon(stop: anyio.Event) -> None:
        async with running_server(
            injector, [bind_socket(host, port)], AbortableProtocol
        ):
            await stop.wait()

    return daemon


def _crash(scope: Scope) -> None:
    os._exit(_CRASH_EXIT_STATUS)
