"""Fake of the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from acaciaramp.membership.instance_list import (
    InstanceStatus,
    ListedInstance,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from starlette.requests import Request

    from acaciaramp.clock import Clock

_NO_CONTENT = 204


class FakeInstanceList:
    """An instance list whose changes become visible after a lag.

    ``GET /instances`` returns the list. ``PUT /instances/ID`` with the body
    ``live`` or ``leaving`` sets a row, ``DELETE /instances/ID`` removes it.
    """

    def __init__(self, names: Iterable[str], lag_ms: int, clock: Clock) -> None:
        """Create the list with every instance live.

        Args:
            names: Names of the instances.
            lag_ms: Time until readers see a change, milliseconds.
            clock: Measures the lag.
        """
        self._lag_ms = lag_ms
        self._clock = clock
        self._rows = dict.fromkeys(names, InstanceStatus.LIVE)
        self._versions = [(-lag_ms, dict(self._rows))]

    def app(self) -> Starlette:
        """Return the list's ASGI application."""
        return Starlette(
            routes=[
                Route('/instances', self._read, methods=['GET']),
                Route('/instances/{name}', self._put, methods=['PUT']),
                Route('/instances/{name}', self._delete, methods=['DELETE']),
            ]
        )

    def set(self, name: str, status: InstanceStatus | None) -> None:
        """Set the status of an instance; None removes the instance."""
        if status is None:
            self._rows.pop(name, None)
        else:
            self._rows[name] = status
        self._versions.append((self._clock.now_ms(), dict(self._rows)))

    async def _read(self, req: Request) -> Response:
        visible_until_ms = self._clock.now_ms() - self._lag_ms
        rows = self._versions[0][1]
        for at_ms, version in self._versions:
            if at_ms <= visible_until_ms:
                rows = version
        instances = [ListedInstance(name, rows[name]) for name in sorted(rows)]
        return Response(
            msgspec.json.encode({'instances': instances}),
            media_type='application/json',
        )

    async def _put(self, req: Request) -> Response:
        text = (await req.body()).decode().strip()
        self.set(req.path_params['name'], InstanceStatus(text))
        return Response(status_code=_NO_CONTENT)

    async def _delete(self, req: Request) -> Response:
        self.set(req.path_params['name'], None)
        return Response(status_code=_NO_CONTENT)
