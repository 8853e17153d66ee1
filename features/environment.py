"""Behave hooks that set up and tear down the deployment of a scenario."""

from __future__ import annotations

import contextlib
import logging
import os
import traceback
import zlib
from typing import Any

from anyio.from_thread import start_blocking_portal
from tests.deployment import DeploymentConfig


def before_all(context: Any) -> None:
    """Suppress uvicorn's log of the errors that the fakes inject."""
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)


# Environment variable with the part of the scenarios to run, as INDEX/COUNT;
# all scenarios run if it is not set.
PART_VARIABLE = 'ACACIARAMP_TEST_PART'


def before_scenario(context: Any, scenario: Any) -> None:
    """Create the configuration, which the first steps may change.

    The deployment starts at its first use. Scenarios of other parts are
    skipped.
    """
    context.portal_manager = None
    if not _is_in_part(scenario.name):
        scenario.skip(reason=PART_VARIABLE)
        return
    context.deployment_config = DeploymentConfig()
    context.portal_manager = start_blocking_portal()
    context.portal = context.portal_manager.__enter__()
    context.running_deployment = None
    context.patches = contextlib.ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the deployment and undo the patches of the scenario."""
    if context.portal_manager is None:
        return
    if context.running_deployment is not None:
        _stop_deployment(context)
    context.portal_manager.__exit__(None, None, None)
    context.patches.close()


def _stop_deployment(context: Any) -> None:
    """Stop the deployment; print the errors that had ended it, if any."""
    try:
        context.running_deployment.__exit__(None, None, None)
    except BaseException:
        traceback.print_exc()
        raise


def _is_in_part(name: str) -> bool:
    index, _, count = os.environ.get(PART_VARIABLE, '0/1').partition('/')
    return zlib.crc32(name.encode()) % int(count) == int(index)
