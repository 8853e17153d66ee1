"""HTTP client of plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.endpoints.http import HttpRequest
from acaciaramp.records import Answer, Header
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.documents.model import Endpoint
    from acaciaramp.endpoints.calls import Call, DeltaSink
    from acaciaramp.endpoints.http import HttpClient, HttpResponse

_UNAVAILABLE_STATUSES = frozenset((502, 503, 504))
_DROPPED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'proxy-authenticate',
        'server',
        'set-cookie',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class PlainClient:
    """Sends tool calls and returns their responses."""

    def __init__(self, http: HttpClient) -> None:
        """Create the client.

        Args:
            http: HTTP client for the services.
        """
        self._http = http

    async def send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        """Send a tool call and return its response.

        A call that must not be repeated is sent over a new connection: if a
        pooled connection turned out to be closed already, that would be
        indistinguishable from a lost response.

        Args:
            endpoint: The service's endpoint.
            call: The tool call.
            sink: Not used, as tool calls are not streamed.

        Raises:
            EndpointError: No complete response arrived, or a repeatable call
                got 502, 503 or 504.
        """
        step = call.request
        req = HttpRequest(
            step.method,
            f'{endpoint.address}{step.path}',
            inactivity_ms=call.inactivity_ms,
            headers=step.headers,
            body=step.body,
            dedicated_connection=not step.repeatable,
        )
        async with self._http.send(req) as response:
            body = await response.read_body()
            if step.repeatable and response.status in _UNAVAILABLE_STATUSES:
                raise EndpointError(
                    Failure.SERVER_ERROR,
                    Verdict.MAY_HAVE_RUN,
                    f'the service answered {response.status}',
                )
            return Answer(
                status=response.status, body=body, headers=_headers(response)
            )


def _headers(response: HttpResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name, text)
        for name, text in response.headers
        if name not in _DROPPED_HEADERS
    )
