"""The ``acaciaramp serve`` command, which runs one instance."""

from __future__ import annotations

import click

from acaciaramp.application import Application
from acaciaramp.cmd.daemon import run_daemon
from acaciaramp.settings.load import load_settings
from acaciaramp.util.logs import configure_logs


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False),
    help='Settings file of the instance (JSON with comments).',
)
def serve(path: str) -> None:
    """Run one instance until SIGTERM or SIGINT, then stop gracefully."""
    settings = load_settings(path)
    configure_logs(settings.log_level)
    application = Application.from_settings(settings)
    run_daemon(application.run)
