"""Entry point of a role process: entry, control or storage."""

from __future__ import annotations

import os
import random
import signal
import sys

import anyio

from acaciaramp.clock import SystemClock
from acaciaramp.cmd.daemon import run_daemon
from acaciaramp.errors import AcaciarampError
from acaciaramp.platform.adapter import ADAPTER, SETTINGS_VARIABLE
from acaciaramp.roles.common import RoleContext
from acaciaramp.settings.node import NodeSettings, RoleName, SettingsFile
from acaciaramp.util.logs import configure_json_logs, get_logger
from acaciaramp.util.pauses import log_pauses

logger = get_logger('process')

_EXIT_FAILURE = 1
_EXIT_USAGE = 2


def main() -> None:
    """Run the configured role until SIGTERM or SIGINT, then stop gracefully."""
    file = _load_settings_or_exit()
    cfg = file.current()
    configure_json_logs(cfg.instance)

    # The default action of SIGHUP would end the process. No reload is started
    # here: the settings file is read again at the next use after a change.
    signal.signal(signal.SIGHUP, _on_sighup)

    async def daemon(stop: anyio.Event) -> None:
        logger.info(
            'The process starts its role.',
            role=cfg.role.value,
            first=cfg.first_start,
        )
        async with anyio.create_task_group() as tasks:
            role_context = RoleContext(file, SystemClock(), tasks)
            tasks.start_soon(role_context.serve_metrics)
            tasks.start_soon(log_pauses, role_context.clock)
            await _run_role(cfg, role_context, stop)
            tasks.cancel_scope.cancel()
        logger.info('The role has stopped; the process exits.')

    try:
        run_daemon(daemon)
    except Exception as exc:
        logger.error_from(
            'The role failed; the process exits with an error.', exc
        )
        raise


def _load_settings_or_exit() -> SettingsFile:
    """Return the settings file, or exit."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.stderr.write(f'{SETTINGS_VARIABLE} names no settings file\n')
        sys.exit(_EXIT_USAGE)
    try:
        return SettingsFile(path)
    except AcaciarampError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_EXIT_FAILURE)


def _on_sighup(*_: object) -> None:
    logger.info('SIGHUP received; changed settings are read at their next use.')


async def _run_role(
    cfg: NodeSettings, role_context: RoleContext, stop: anyio.Event
) -> None:
    """Run the configured role; imports only the modules of that role."""
    match cfg.role:
        case RoleName.ENTRY:
            from acaciaramp.roles.entry import EntryRole

            await EntryRole(role_context, ADAPTER, random.Random()).run(stop)
        case RoleName.CONTROL:
            from acaciaramp.roles.control import ControlRole

            await ControlRole(role_context, ADAPTER).run(stop)
        case RoleName.STORAGE:
            from acaciaramp.roles.storage import StorageRole

            await StorageRole(role_context).run(stop)
