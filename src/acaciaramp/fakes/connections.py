"""Connections of stand-ins, which an application can drop."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from starlette.types import Scope

_ABORT = 'acaciaramp.abort'


class AbortableProtocol(HttpToolsProtocol):
    """A connection that the application can drop at any moment."""

    def on_headers_complete(self) -> None:
        """Tell the application how to drop the connection."""
        scope: dict[str, Any] = cast('dict[str, Any]', self.scope)
        scope[_ABORT] = self.transport.abort
        super().on_headers_complete()


def abort_connection(scope: Scope) -> None:
    """Drop the connection of a request without another byte."""
    scope[_ABORT]()
