"""Entry point of the ``acaciaramp`` command."""

from __future__ import annotations

import click

import acaciaramp
from acaciaramp.cmd.bench import bench
from acaciaramp.cmd.config import config
from acaciaramp.cmd.document import document
from acaciaramp.cmd.fake import fake
from acaciaramp.cmd.program import explain
from acaciaramp.cmd.serve import serve
from acaciaramp.cmd.settings import settings
from acaciaramp.errors import AcaciarampError

_EXIT_FAILURE = 1


class _Group(click.Group):
    """Prints an ``AcaciarampError`` to standard error and exits with 1."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except AcaciarampError as exc:
            click.echo(str(exc), err=True)
            ctx.exit(_EXIT_FAILURE)


@click.group(
    cls=_Group, context_settings={'help_option_names': ['-h', '--help']}
)
@click.version_option(acaciaramp.__version__, prog_name='acaciaramp')
def main() -> None:
    """Schedule agent programs over a fleet of endpoints.

    Exit codes: 0 success, 1 failure, 2 invalid command line.
    """


main.add_command(serve)
main.add_command(settings)
main.add_command(config)
main.add_command(document)
main.add_command(explain)
main.add_command(fake)
main.add_command(bench)
