"""Fake plain service that records every execution."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

if TYPE_CHECKING:
    from starlette.requests import Request

_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')


class Execution(msgspec.Struct, frozen=True):
    """A request that the service executed.

    Attributes:
        number: Sequence number from 1.
        method: HTTP method.
        path: Request path.
        body: Request body, decoded as UTF-8.
        headers: Request headers.
    """

    number: int
    method: str
    path: str
    body: str
    headers: dict[str, str]


class FakeService:
    """Executes every request, without deduplication.

    Attributes:
        executions: Executed requests, oldest first.
    """

    def __init__(self) -> None:
        """Create the service without executions."""
        self.executions: list[Execution] = []

    def app(self) -> Starlette:
        """Return the service's ASGI application."""
        return Starlette(
            routes=[
                Route('/executions', self._list_executions, methods=['GET']),
                Route('/{path:path}', self._execute, methods=list(_METHODS)),
            ]
        )

    def duplicate_bodies(self) -> list[str]:
        """Return the request bodies that were executed more than once."""
        counts = collections.Counter(item.body for item in self.executions)
        return [body for body, count in counts.items() if count > 1]

    async def _execute(self, req: Request) -> Response:
        execution = Execution(
            number=len(self.executions) + 1,
            method=req.method,
            path=req.url.path,
            body=(await req.body()).decode('utf-8', 'replace'),
            headers=dict(req.headers),
        )
        self.executions.append(execution)
        response_body = {
            'execution': execution.number,
            'path': execution.path,
            'body': execution.body,
        }
        return _json(response_body)

    async def _list_executions(self, req: Request) -> Response:
        return _json(
            {
                'executions': self.executions,
                'doubles': self.duplicate_bodies(),
            }
        )


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), media_type='application/json')
