"""HTTP connections of callers with limits on headers and connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.entry.responses import error_body
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits

if TYPE_CHECKING:
    from acaciaramp.settings.model import RequestLimits

_UNAVAILABLE = b'503 Service Unavailable'
_JSON = b'content-type: application/json\r\n'


class RequestLimitProtocol(HeaderLimitProtocol):
    """A connection that enforces the request limits of the settings."""

    def __init__(self, limits: RequestLimits, **kwargs: Any) -> None:
        """Create the connection.

        Args:
            limits: Maximum size and time of the headers, maximum number of
                connections.
            **kwargs: Passed on to the protocol of the web server.
        """
        header_limits = HeaderLimits(limits.header_bytes, limits.header_ms)
        super().__init__(header_limits=lambda: header_limits, **kwargs)
        self._limits = limits

    def connection_made(self, transport: Any) -> None:
        """Reject a connection above the limit, else start the header timer."""
        super().connection_made(transport)
        if len(self.connections) > self._limits.connections:
            self.reject(_UNAVAILABLE, 'there are too many connections')
            return
        self.start_header_timer()

    def rejection_body(self, message: str) -> tuple[bytes, bytes]:
        """Return the header lines and the JSON body of an error response."""
        refusal = CallError(ErrorCode.BAD_REQUEST, message).refusal
        return _JSON, msgspec.json.encode(error_body(refusal))
