"""``acaciaramp env``: works with environment documents."""

from __future__ import annotations

import difflib
import json
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click
import httpcore

from acaciaramp.documents.registry import key_hash, load_document
from acaciaramp.errors import AcaciarampError
from acaciaramp.util.text_files import read_text

_FIRST_ERROR_STATUS = 400
_Command = TypeVar('_Command', bound=Callable[..., Any])


class OperatorError(AcaciarampError):
    """An instance refused what an operator asked for."""


@click.group('env')
def document() -> None:
    """Work with environment documents."""


def _with_instance(command: _Command) -> _Command:
    """Add the options that name an instance and the operators' key."""
    address = click.option(
        '--address',
        required=True,
        help="Operators' address of an instance, http://IP:PORT.",
    )
    key = click.option(
        '--key',
        envvar='ACACIARAMP_OPERATOR_KEY',
        required=True,
        help="The operators' key; better given in ACACIARAMP_OPERATOR_KEY.",
    )
    return address(key(command))


@document.command('check')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
def check_document(path: str) -> None:
    """Check a document; every mistake is shown in one go with its place."""
    loaded = load_document(path)
    click.echo(
        f'{path}: environment {loaded.environment}, '
        f'revision {loaded.revision}, no mistakes'
    )


@document.command('hash-key')
def hash_key() -> None:
    """Read a key from standard input and print the hash for a document."""
    key = sys.stdin.readline().strip()
    if not key:
        raise click.UsageError('no key came on standard input')
    click.echo(key_hash(key))


@document.command('apply')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
@_with_instance
def apply_document(path: str, address: str, key: str) -> None:
    """Bring a document into force; its revision is one higher than before."""
    load_document(path)
    answer = _ask('PUT', f'{address}/v1/environment', key, read_text(path))
    click.echo(f'revision {answer["revision"]}: {answer["message"]}')


@document.command('promote')
@_with_instance
def promote_document(address: str, key: str) -> None:
    """Promote the document in force from trial to production."""
    url = f'{address}/v1/environment'
    current = _ask('GET', url, key)
    current['stage'] = 'production'
    current['revision'] += 1
    answer = _ask('PUT', url, key, json.dumps(current))
    click.echo(f'revision {answer["revision"]}: {answer["message"]}')


@document.command('show')
@_with_instance
def show_document(address: str, key: str) -> None:
    """Show the document in force."""
    current = _ask('GET', f'{address}/v1/environment', key)
    click.echo(json.dumps(current, indent=2))


@document.command('diff')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
@_with_instance
def diff_document(path: str, address: str, key: str) -> None:
    """Show how a file differs from the document in force."""
    current = _ask('GET', f'{address}/v1/environment', key)
    wanted = json.loads(load_document(path).model_dump_json())
    lines = difflib.unified_diff(
        _lines(current), _lines(wanted), 'in force', path, lineterm=''
    )
    click.echo('\n'.join(lines))


@document.command('history')
@_with_instance
def show_history(address: str, key: str) -> None:
    """Show the revisions that were in force."""
    answer = _ask('GET', f'{address}/v1/environment/history', key)
    click.echo(json.dumps(answer, indent=2))


@document.command('status')
@_with_instance
def show_status(address: str, key: str) -> None:
    """Show on which instances a revision is in force and since when."""
    answer = _ask('GET', f'{address}/v1/environment/status', key)
    click.echo(json.dumps(answer, indent=2))


def _lines(tree: Any) -> list[str]:
    return json.dumps(tree, indent=2).splitlines()


def _ask(method: str, url: str, key: str, text: str | None = None) -> Any:
    headers = [('Authorization', f'Bearer {key}')]
    content = None if text is None else text.encode()
    try:
        resp = httpcore.request(method, url, headers=headers, content=content)
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise OperatorError(f'{url} does not answer: {exc}') from None
    answer = json.loads(resp.content)
    if resp.status >= _FIRST_ERROR_STATUS:
        reasons = answer.get('mistakes') or [
            answer.get('error') or answer.get('message')
        ]
        raise OperatorError('\n'.join(map(str, reasons)))
    return answer
