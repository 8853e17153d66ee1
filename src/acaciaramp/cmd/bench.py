"""The ``acaciaramp bench`` commands, which run benchmarks."""

from __future__ import annotations

import functools
import pathlib

import anyio
import click
import msgspec

from acaciaramp.bench.entry import Target, measure_entry
from acaciaramp.bench.loans import LoadPlan, measure_loans
from acaciaramp.bench.log_cost import measure_logs
from acaciaramp.bench.placement import measure_placement
from acaciaramp.bench.state_size import measure_state


@click.group()
def bench() -> None:
    """Run benchmarks of latency, rate limits and capacity."""


@bench.command()
@click.option('--direct', required=True, help='Address of an endpoint.')
@click.option('--through', required=True, help='Address of an instance.')
@click.option('--key', required=True, help='API key of a workspace.')
@click.option(
    '--pid', required=True, type=int, help='Process ID of the instance.'
)
@click.option('--requests', default=2000, help='Requests per measurement.')
@click.option('--callers', default=32, help='Concurrent callers under load.')
def entry(
    direct: str, through: str, key: str, pid: int, requests: int, callers: int
) -> None:
    """Measure the latency that an instance adds and its throughput.

    Prints the result as JSON.
    """
    measure = functools.partial(
        measure_entry,
        Target(direct),
        Target(through, key),
        pid=pid,
        requests=requests,
        callers=callers,
    )
    result = anyio.run(measure, backend_options={'use_uvloop': True})
    click.echo(msgspec.json.format(msgspec.json.encode(result), indent=2))


@bench.command()
@click.option(
    '--seeds',
    default=3,
    help='Number of runs per load, each with its own seed.',
)
@click.option('--load', default=[0.5, 0.8, 0.9], multiple=True, type=float)
def limits(seeds: int, load: list[float]) -> None:
    """Measure false refusals of the rate limit under a moving load.

    A refusal is false if the workspace as a whole is within its rate. Prints
    the results as JSON.
    """
    results = [
        measure_loans(LoadPlan(load=share, seed=seed))
        for share in load
        for seed in range(1, seeds + 1)
    ]
    click.echo(msgspec.json.format(msgspec.json.encode(results), indent=2))


@bench.command()
def placement() -> None:
    """Measure the choice of an endpoint among 48, by both costs.

    Prints the results as JSON.
    """
    results = [
        measure_placement(states_duration=states_duration)
        for states_duration in (False, True)
    ]
    click.echo(msgspec.json.format(msgspec.json.encode(results), indent=2))


@bench.command()
@click.option(
    '--out',
    type=click.Path(dir_okay=False, writable=True),
    required=True,
    help='Output file (JSON).',
)
def capacity(out: str) -> None:
    """Measure the growth of memory, processor time and network traffic.

    Fits a line to each measured series and writes the fits to a JSON file.
    """
    fits = [*measure_state(), *measure_logs()]
    encoded = msgspec.json.format(msgspec.json.encode(fits), indent=2)
    pathlib.Path(out).write_bytes(b'%s\n' % encoded)
    for fit in fits:
        click.echo(
            f'{fit.name}: {fit.slope:.6g} {fit.unit} each, '
            f'{fit.intercept:.4g} at size 0, largest error {fit.error:.1%}'
        )
