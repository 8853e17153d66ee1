"""What steps share: the deployment and the last answer."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from tests.deployment import Deployment, Reply

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def deployment(context: Any) -> Deployment:
    """Return the scenario's deployment, started at its first use."""
    if context.running is None:
        context.deployment = Deployment(context.plan)
        context.running = context.portal.wrap_async_context_manager(
            context.deployment.running()
        )
        context.running.__enter__()
    running: Deployment = context.deployment
    return running


def run(context: Any, work: Callable[[], Awaitable[Any]]) -> Any:
    """Return what ``work`` returns in the deployment's event loop."""
    deployment(context)
    return context.portal.call(work)


def call(
    context: Any, method: str, path: str, body: Any = None, **more: Any
) -> Reply:
    """Call an instance; the answer becomes the scenario's last one."""
    world = deployment(context)
    ask = functools.partial(world.call, method, path, body, **more)
    context.reply = run(context, ask)
    reply: Reply = context.reply
    return reply


def chat_body(text: str, **more: Any) -> dict[str, Any]:
    """Return the body of a chat request."""
    return {
        'model': 'conseil-lm',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': 50,
        **more,
    }


def step_headers(context: Any, number: int) -> dict[str, str]:
    """Return the headers that name a step of the scenario's program."""
    return {
        'Acaciaramp-Program': context.program,
        'Acaciaramp-Step': str(number),
    }
