"""``acaciaramp env``: works with environment documents."""

from __future__ import annotations

import sys

import click

from acaciaramp.documents.registry import key_hash, load_document


@click.group('env')
def document() -> None:
    """Work with environment documents."""


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
