"""Cancels work whose caller has closed its connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import anyio

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from starlette.requests import Request

_Result = TypeVar('_Result')
_DISCONNECT_TYPE = 'http.disconnect'


class CallerDisconnectedError(AcaciarampError):
    """The caller closed its connection before the work was done."""


async def run_while_connected(
    req: Request, work: Callable[[], Awaitable[_Result]]
) -> _Result:
    """Run ``work`` and cancel it if the caller disconnects.

    Args:
        req: The request; its body must have been read, as any part of it that
            arrives during the work is discarded.
        work: Called without arguments; cancelled if the caller disconnects.

    Returns:
        The result of ``work``.

    Raises:
        CallerDisconnectedError: The caller disconnected and ``work`` stopped.
    """
    outcome: list[_Result] = []
    failures: list[Exception] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, req, tasks.cancel_scope)
        try:
            outcome.append(await work())
        except Exception as exc:
            failures.append(exc)
        tasks.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not outcome:
        raise CallerDisconnectedError('the caller disconnected')
    return outcome[0]


async def _cancel_on_disconnect(req: Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await req.receive()
        if message['type'] == _DISCONNECT_TYPE:
            scope.cancel()
            return
