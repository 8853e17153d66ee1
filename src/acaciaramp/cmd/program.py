"""``acaciaramp explain``: tells what happened to a program."""

from __future__ import annotations

import click
import httpcore

from acaciaramp.errors import AcaciarampError

_OK = 200


class AnswerError(AcaciarampError):
    """An instance did not answer as asked."""


@click.command()
@click.argument('program', metavar='PROGRAM')
@click.option(
    '--address',
    required=True,
    help='Address of an instance, http://IP:PORT.',
)
@click.option(
    '--key',
    envvar='ACACIARAMP_KEY',
    required=True,
    help="A key of the program's workspace; better given in ACACIARAMP_KEY.",
)
def explain(program: str, address: str, key: str) -> None:
    """Tell what happened to PROGRAM, step by step, as JSON."""
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
