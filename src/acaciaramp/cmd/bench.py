"""``acaciaramp bench``: measures running instances."""

from __future__ import annotations

import functools
import pathlib

import anyio
import click
import msgspec

from acaciaramp.bench.entry import Target, measure_entry
from acaciaramp.bench.loans import LoadPlan, measure_loans
from acaciaramp.bench.log_cost import measure_logs
from acaciaramp.bench.state_size import measure_state


@click.group()
def bench() -> None:
    """Measure running instances and stand-ins."""


@bench.command()
@click.option('--direct', required=True, help='Address of an endpoint.')
@click.option('--through', required=True, help='Address of an instance.')
@click.option('--key', required=True, help='A key of a workspace.')
@click.option('--pid', required=True, type=int, help="The instance's process.")
@click.option('--requests', default=2000, help='Requests of each measurement.')
@click.option('--callers', default=32, help='Callers at once under load.')
def entry(
    direct: str, through: str, key: str, pid: int, requests: int, callers: int
) -> None:
    """Measure what an instance adds to its endpoint; prints JSON."""
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
@click.option('--seeds', default=3, help='Number of runs for each load.')
@click.option('--load', default=[0.5, 0.8, 0.9], multiple=True, type=float)
def limits(seeds: int, load: list[float]) -> None:
    """Measure refusals within the rate under a moving load; prints JSON."""
    results = [
        measure_loans(LoadPlan(load=share, seed=seed))
        for share in load
        for seed in range(1, seeds + 1)
    ]
    click.echo(msgspec.json.format(msgspec.json.encode(results), indent=2))


@bench.command()
@click.option(
    '--out',
    type=click.Path(dir_okay=False, writable=True),
    required=True,
    help='File for the results (JSON).',
)
def capacity(out: str) -> None:
    """Measure how state, time and bytes grow; fits a line to each."""
    slopes = [*measure_state(), *measure_logs()]
    encoded = msgspec.json.format(msgspec.json.encode(slopes), indent=2)
    pathlib.Path(out).write_bytes(b'%s\n' % encoded)
    for slope in slopes:
        click.echo(
            f'{slope.name}: {slope.slope:.6g} {slope.unit} each, '
            f'{slope.intercept:.4g} besides, error {slope.error:.1%}'
        )
