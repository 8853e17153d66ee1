"""``acaciaramp bench``: measures running instances."""

from __future__ import annotations

import functools

import anyio
import click
import msgspec

from acaciaramp.bench.entry import Target, measure_entry


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
