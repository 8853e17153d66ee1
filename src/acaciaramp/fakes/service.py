"""The stand-in plain service: records every execution."""

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
    """One request that the service carried out.

    Attributes:
        number: Counts up from 1.
        method: HTTP method.
        path: Path.
        body: Body.
        headers: Headers.
    """

    number: int
    method: str
    path: str
    body: str
    headers: dict[str, str]


class FakeService:
    """Carries out whatever it is sent, as often as it is sent.

    Attributes:
        executions: All that it carried out, oldest first.
    """

    def __init__(self) -> None:
        """Create the service before its first request."""
        self.executions: list[Execution] = []

    def app(self) -> Starlette:
        """Return the service's ASGI application."""
        return Starlette(
            routes=[
                Route('/executions', self._list, methods=['GET']),
                Route('/{path:path}', self._carry_out, methods=list(_METHODS)),
            ]
        )

    def duplicate_bodies(self) -> list[str]:
        """Return the bodies that were carried out more than once."""
        counts = collections.Counter(item.body for item in self.executions)
        return [body for body, count in counts.items() if count > 1]

    async def _carry_out(self, req: Request) -> Response:
        execution = Execution(
            number=len(self.executions) + 1,
            method=req.method,
            path=req.url.path,
            body=(await req.body()).decode('utf-8', 'replace'),
            headers=dict(req.headers),
        )
        self.executions.append(execution)
        answer = {
            'execution': execution.number,
            'path': execution.path,
            'body': execution.body,
        }
        return _json(answer)

    async def _list(self, req: Request) -> Response:
        return _json(
            {
                'executions': self.executions,
                'doubles': self.duplicate_bodies(),
            }
        )


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), media_type='application/json')
