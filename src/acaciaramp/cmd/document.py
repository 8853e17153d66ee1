"""The ``acaciaramp env`` commands, for environment documents."""

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
    """An instance did not respond or responded with an error."""


@click.group('env')
def document() -> None:
    """Check, apply and show environment documents."""


def _with_instance(command: _Command) -> _Command:
    """Add the options ``--address`` and ``--key`` to a command."""
    address = click.option(
        '--address',
        required=True,
        help='Operator API of an instance, http://IP:PORT.',
    )
    key = click.option(
        '--key',
        envvar='ACACIARAMP_OPERATOR_KEY',
        required=True,
        help='Operator key; prefer the variable ACACIARAMP_OPERATOR_KEY.',
    )
    return address(key(command))


@document.command('check')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
def check_document(path: str) -> None:
    """Check a document; reports all errors at once, with their locations."""
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
        raise click.UsageError(
            'expected a key on standard input, got an empty line'
        )
    click.echo(key_hash(key))


@document.command('apply')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
@_with_instance
def apply_document(path: str, address: str, key: str) -> None:
    """Apply a document; its revision must be the current one plus 1."""
    load_document(path)
    result = _request('PUT', f'{address}/v1/environment', key, read_text(path))
    click.echo(f'revision {result["revision"]}: {result["message"]}')


@document.command('promote')
@_with_instance
def promote_document(address: str, key: str) -> None:
    """Promote the document in force from trial to production."""
    url = f'{address}/v1/environment'
    current = _request('GET', url, key)
    current['stage'] = 'production'
    current['revision'] += 1
    result = _request('PUT', url, key, json.dumps(current))
    click.echo(f'revision {result["revision"]}: {result["message"]}')


@document.command('show')
@_with_instance
def show_document(address: str, key: str) -> None:
    """Show the document in force."""
    current = _request('GET', f'{address}/v1/environment', key)
    click.echo(json.dumps(current, indent=2))


@document.command('diff')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
@_with_instance
def diff_document(path: str, address: str, key: str) -> None:
    """Show the differences between the document in force and a file."""
    current = _request('GET', f'{address}/v1/environment', key)
    proposed = json.loads(load_document(path).model_dump_json())
    lines = difflib.unified_diff(
        _json_lines(current),
        _json_lines(proposed),
        'in force',
        path,
        lineterm='',
    )
    click.echo('\n'.join(lines))


@document.command('history')
@_with_instance
def show_history(address: str, key: str) -> None:
    """Show the revisions that have been in force."""
    result = _request('GET', f'{address}/v1/environment/history', key)
    click.echo(json.dumps(result, indent=2))


@document.command('status')
@_with_instance
def show_status(address: str, key: str) -> None:
    """Show which revision each instance applies, and since when."""
    result = _request('GET', f'{address}/v1/environment/status', key)
    click.echo(json.dumps(result, indent=2))


def _json_lines(document_json: Any) -> list[str]:
    return json.dumps(document_json, indent=2).splitlines()


def _request(method: str, url: str, key: str, text: str | None = None) -> Any:
    headers = [('Authorization', f'Bearer {key}')]
    content = None if text is None else text.encode()
    try:
        resp = httpcore.request(method, url, headers=headers, content=content)
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise OperatorError(f'{url} does not answer: {exc}') from None
    try:
        result = json.loads(resp.content)
    except ValueError:
        raise OperatorError(
            f'{url} answered {resp.status} without JSON; is it the address of '
            'the operator API?'
        ) from None
    if resp.status >= _FIRST_ERROR_STATUS:
        reasons = result.get('mistakes') or [
            result.get('error') or result.get('message')
        ]
        raise OperatorError('\n'.join(map(str, reasons)))
    return result
