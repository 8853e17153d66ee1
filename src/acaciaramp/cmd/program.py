"""The ``acaciaramp explain`` command: history of a program or request."""

from __future__ import annotations

import itertools
import pathlib

import click
import httpcore

from acaciaramp.errors import AcaciarampError
from acaciaramp.util.timelines import format_timeline, parse_lines, select_lines

_OK = 200


class HistoryUnavailableError(AcaciarampError):
    """The history is not available from the instance or the log files."""


@click.command()
@click.argument('name', metavar='ID')
@click.option('--address', help='Address of an instance, http://IP:PORT.')
@click.option(
    '--key',
    envvar='ACACIARAMP_KEY',
    help="API key of the program's workspace; prefer ACACIARAMP_KEY.",
)
@click.option(
    '--logs',
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help='Log file with JSON lines; may be repeated.',
)
def explain(
    name: str, address: str | None, key: str | None, logs: tuple[str, ...]
) -> None:
    """Show the history of the program or request ID.

    With --logs, ID is a request or a program, and the events are read from
    log files; the last line states why it ended. With --address and --key,
    ID is a program; its history is requested from an instance and printed as
    JSON.
    """
    if logs:
        _explain_from_logs(name, logs)
    elif address and key:
        _explain_from_instance(name, address, key)
    else:
        raise click.UsageError('expected --logs, or both --address and --key')


def _explain_from_logs(name: str, logs: tuple[str, ...]) -> None:
    file_lines = (
        pathlib.Path(path).read_text('utf-8', 'replace').splitlines()
        for path in logs
    )
    records = parse_lines(itertools.chain.from_iterable(file_lines))
    events = select_lines(name, records)
    if not events:
        raise HistoryUnavailableError(f'no line of the logs names "{name}"')
    for line in format_timeline(events):
        click.echo(line)


def _explain_from_instance(program: str, address: str, key: str) -> None:
    url = f'{address}/v1/programs/{program}/explain'
    try:
        resp = httpcore.request(
            'GET', url, headers={'Authorization': f'Bearer {key}'}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise HistoryUnavailableError(
            f'{address} does not answer: {exc}'
        ) from None
    text = resp.content.decode('utf-8', 'replace')
    if resp.status != _OK:
        raise HistoryUnavailableError(text)
    click.echo(text)
