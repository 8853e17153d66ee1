"""Runs the role of a deployment that the settings name."""

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
from acaciaramp.settings.node import (
    NodeSettings,
    RoleName,
    SettingsFile,
    load_node_settings,
)
from acaciaramp.util.logs import configure_json_logs, get_logger
from acaciaramp.util.pauses import log_pauses

logger = get_logger('process')

_EXIT_FAILURE = 1
_EXIT_USAGE = 2


def main() -> None:
    """Run until SIGTERM or SIGINT; no request is cut."""
    path, cfg = _settings()
    configure_json_logs(cfg.instance)

    # Its default would end the process; the file is read again when needed.
    signal.signal(signal.SIGHUP, _on_reload)

    async def daemon(stop: anyio.Event) -> None:
        logger.info('Starting.', role=cfg.role.value, first=cfg.first_start)
        async with anyio.create_task_group() as tasks:
            base = RoleContext(SettingsFile(path, cfg), SystemClock(), tasks)
            tasks.start_soon(base.serve_metrics)
            tasks.start_soon(log_pauses, base.clock)
            await _run_role(cfg, base, stop)
            tasks.cancel_scope.cancel()
        logger.info('The process ends.')

    try:
        run_daemon(daemon)
    except Exception as exc:
        logger.error_from('The process fails.', exc)
        raise


def _settings() -> tuple[str, NodeSettings]:
    """Return the settings file and what it holds, or end the process."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        sys.stderr.write(f'{SETTINGS_VARIABLE} names no settings file\n')
        sys.exit(_EXIT_USAGE)
    try:
        return path, load_node_settings(path)
    except AcaciarampError as exc:
        sys.stderr.write(f'{exc}\n')
        sys.exit(_EXIT_FAILURE)


def _on_reload(*_: object) -> None:
    logger.info('Told that the settings have changed.')


async def _run_role(
    cfg: NodeSettings, base: RoleContext, stop: anyio.Event
) -> None:
    """Run one role; each imports only what it needs."""
    match cfg.role:
        case RoleName.ENTRY:
            from acaciaramp.roles.entry import EntryRole

            await EntryRole(base, ADAPTER, random.Random()).run(stop)
        case RoleName.CONTROL:
            from acaciaramp.roles.control import ControlRole

            await ControlRole(base, ADAPTER).run(stop)
        case RoleName.STORAGE:
            from acaciaramp.roles.storage import StorageRole

            await StorageRole(base).run(stop)
