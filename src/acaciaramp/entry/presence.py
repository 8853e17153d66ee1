"""Notices that a caller has gone while its answer is being made."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, TypeVar

import anyio

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from starlette.requests import Request

_Result = TypeVar('_Result')
_GONE = 'http.disconnect'


class CallerGoneError(AcaciarampError):
    """The caller closed its connection before the answer was there."""


async def while_present(
    req: Request, work: Callable[[], Awaitable[_Result]]
) -> _Result:
    """Return what ``work`` returns, unless the caller goes before.

    The body of the request must have been read.

    Raises:
        CallerGoneError: The caller has gone; ``work`` was cancelled.
    """
    outcome: list[_Result] = []
    failures: list[Exception] = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_when_gone, req, tasks.cancel_scope)
        try:
            outcome.append(await work())
        except Exception as exc:
            failures.append(exc)
        tasks.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not outcome:
        raise CallerGoneError('the caller has gone')
    return outcome[0]


async def _cancel_when_gone(req: Request, scope: anyio.CancelScope) -> None:
    while True:
        message = await req.receive()
        if message['type'] == _GONE:
            scope.cancel()
            return
