"""Helpers shared by all steps: the deployment and the last response."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from tests.deployment import Deployment, Response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def deployment(context: Any) -> Deployment:
    """Return the scenario's deployment; start it at the first use."""
    if context.running_deployment is None:
        context.deployment = Deployment(context.deployment_config)
        context.running_deployment = context.portal.wrap_async_context_manager(
            context.deployment.running()
        )
        context.running_deployment.__enter__()
    started: Deployment = context.deployment
    return started


def run(context: Any, func: Callable[[], Awaitable[Any]]) -> Any:
    """Run ``func`` in the deployment's event loop and return its result."""
    deployment(context)
    return context.portal.call(func)


def call(
    context: Any, method: str, path: str, body: Any = None, **options: Any
) -> Response:
    """Send a request to an instance; store and return the response.

    Args:
        context: The context of behave; gets the response as ``response``.
        method: HTTP method.
        path: Path and query.
        body: Body as for ``Deployment.call``.
        **options: Other arguments of ``Deployment.call``.
    """
    target = deployment(context)
    send = functools.partial(target.call, method, path, body, **options)
    context.response = run(context, send)
    response: Response = context.response
    return response


def chat_body(text: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat request; ``fields`` override defaults."""
    return {
        'model': 'conseil-lm',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': 50,
        **fields,
    }


def step_headers(context: Any, number: int) -> dict[str, str]:
    """Return the headers that identify a step of the scenario's program."""
    return {
        'Acaciaramp-Program': context.program,
        'Acaciaramp-Step': str(number),
    }
