"""Client of plain services."""

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
_NOT_HANDED_ON = frozenset(
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
    """Sends tool calls and returns whole answers."""

    def __init__(self, http: HttpClient) -> None:
        """Create the client.

        Args:
            http: Connections to the services.
        """
        self._http = http

    async def send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        """Send a tool call and return its whole answer.

        A call that must not be repeated goes over a connection of its own, so
        that a connection which died unseen is not taken for a lost answer.

        Args:
            endpoint: The service's endpoint.
            call: The tool call.
            sink: Not used: the answer comes whole.

        Raises:
            EndpointError: There is no whole answer.
        """
        step = call.request
        req = HttpRequest(
            step.method,
            f'{endpoint.address}{step.path}',
            inactivity_ms=call.inactivity_ms,
            headers=step.headers,
            body=step.body,
            fresh=not step.repeatable,
        )
        async with self._http.send(req) as answer:
            body = await answer.read_body()
            if step.repeatable and answer.status in _UNAVAILABLE_STATUSES:
                raise EndpointError(
                    Failure.SERVER_ERROR,
                    Verdict.MAY_HAVE_RUN,
                    f'the service answered {answer.status}',
                )
            return Answer(
                status=answer.status, body=body, headers=_headers(answer)
            )


def _headers(answer: HttpResponse) -> tuple[Header, ...]:
    return tuple(
        Header(name, text)
        for name, text in answer.headers
        if name not in _NOT_HANDED_ON
    )
