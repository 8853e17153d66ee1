"""HTTP connections that an ASGI application can abort."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from starlette.types import Scope

_ABORT_KEY = 'acaciaramp.abort'


class AbortableProtocol(HttpToolsProtocol):
    """Protocol that lets the application abort its TCP connection."""

    def on_headers_complete(self) -> None:
        """Add the transport's ``abort`` to the scope before the request runs."""
        scope: dict[str, Any] = cast('dict[str, Any]', self.scope)
        scope[_ABORT_KEY] = self.transport.abort
        super().on_headers_complete()


def abort_connection(scope: Scope) -> None:
    """Abort the connection of a request without sending anything more."""
    scope[_ABORT_KEY]()
