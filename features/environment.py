"""Starts and stops what a scenario needs."""

from __future__ import annotations

import contextlib
import logging
from typing import Any

from anyio.from_thread import start_blocking_portal
from tests.deployment import Plan


def before_all(context: Any) -> None:
    """Keep expected errors of stand-ins out of the report."""
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)


def before_scenario(context: Any, scenario: Any) -> None:
    """Begin with a plan that the first steps may change."""
    context.plan = Plan()
    context.portal_manager = start_blocking_portal()
    context.portal = context.portal_manager.__enter__()
    context.running = None
    context.patched = contextlib.ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the deployment."""
    if context.running is not None:
        context.running.__exit__(None, None, None)
    context.portal_manager.__exit__(None, None, None)
    context.patched.close()
