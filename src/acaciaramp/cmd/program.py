"""``acaciaramp explain``: tells what happened to a program or a request."""

from __future__ import annotations

import itertools
import pathlib

import click
import httpcore

from acaciaramp.errors import AcaciarampError
from acaciaramp.util.timelines import format_timeline, parse_lines, select_lines

_OK = 200


class AnswerError(AcaciarampError):
    """An instance or the logs did not answer as asked."""


@click.command()
@click.argument('name', metavar='ID')
@click.option('--address', help='Address of an instance, http://IP:PORT.')
@click.option(
    '--key',
    envvar='ACACIARAMP_KEY',
    help="A key of the program's workspace; better given in ACACIARAMP_KEY.",
)
@click.option(
    '--logs',
    multiple=True,
    type=click.Path(exists=True, dir_okay=False),
    help='A file of log lines; may be given more than once.',
)
def explain(
    name: str, address: str | None, key: str | None, logs: tuple[str, ...]
) -> None:
    """Tell what happened to ID, step by step.

    With --logs, ID is that of a request or of a program, and the last line
    tells the cause of its end. With --address and --key, a program's own
    instance is asked; it answers with JSON.
    """
    if logs:
        _explain_from_logs(name, logs)
    elif address and key:
        _ask_instance(name, address, key)
    else:
        raise click.UsageError('give --logs, or --address and --key')


def _explain_from_logs(name: str, logs: tuple[str, ...]) -> None:
    texts = (
        pathlib.Path(path).read_text('utf-8', 'replace').splitlines()
        for path in logs
    )
    lines = parse_lines(itertools.chain.from_iterable(texts))
    story = select_lines(name, lines)
    if not story:
        raise AnswerError(f'no line of the logs names "{name}"')
    for sentence in format_timeline(story):
        click.echo(sentence)


def _ask_instance(program: str, address: str, key: str) -> None:
    url = f'{address}/v1/programs/{program}/explain'
    try:
        resp = httpcore.request(
            'GET', url, headers={'Authorization': f'Bearer {key}'}
        )
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise AnswerError(f'{address} does not answer: {exc}') from None
    text = resp.content.decode('utf-8', 'replace')
    if resp.status != _OK:
        raise AnswerError(text)
    click.echo(text)
