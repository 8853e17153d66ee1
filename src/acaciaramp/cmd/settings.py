"""The ``acaciaramp settings`` commands, which check settings files."""

from __future__ import annotations

import click

from acaciaramp.documents.registry import load_document
from acaciaramp.settings.load import load_settings
from acaciaramp.settings.node import load_node_settings


@click.group()
def settings() -> None:
    """Check settings files."""


@settings.command()
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a settings file and the environment document that it names.

    Reports all errors at once, with their locations.
    """
    loaded = load_settings(path)
    document = load_document(loaded.document)
    click.echo(
        f'{path}: instance {loaded.instance} of environment '
        f'{document.environment}, no mistakes'
    )


@settings.command('check-role')
@click.argument('path', metavar='FILE', type=click.Path(dir_okay=False))
def check_role(path: str) -> None:
    """Check the settings file of one role of a deployment."""
    loaded = load_node_settings(path)
    click.echo(
        f'{path}: instance {loaded.instance}, role {loaded.role.value}, '
        'no mistakes'
    )
