"""HTTP to endpoints, telling whether a request was sent."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httpcore

from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from acaciaramp.clock import Clock
    from acaciaramp.records import Header

CONNECT_TIMEOUT_S = 2.0
KEEPALIVE_S = 30.0
LONGEST_ANSWER_BYTES = 33_554_432
_MOST_CONNECTIONS = 1_024
_SENDING_EVENT = 'http11.send_request_headers.started'


Take = Callable[[bytes], int]


class HttpRequest:
    """One request to an endpoint.

    Attributes:
        method: HTTP method.
        url: Absolute address.
        headers: Headers, without host and length.
        body: The body.
        inactivity_ms: Longest silence of the endpoint, milliseconds.
        fresh: Whether it needs a connection that nothing else has used.
    """

    def __init__(
        self,
        method: str,
        url: str,
        *,
        inactivity_ms: int,
        headers: tuple[Header, ...] = (),
        body: bytes = b'',
        fresh: bool = False,
    ) -> None:
        """Create the request."""
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.inactivity_ms = inactivity_ms
        self.fresh = fresh


class HttpResponse:
    """The beginning of an endpoint's answer; its body is still to be read.

    Attributes:
        status: HTTP status.
        headers: Headers, with names in lower case.
        inactivity_ms: Longest silence of the endpoint, milliseconds.
    """

    def __init__(
        self, resp: httpcore.Response, clock: Clock, inactivity_ms: int
    ) -> None:
        """Create the answer from what has come so far."""
        self.status = resp.status
        self.headers = [
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in resp.headers
        ]
        self._resp = resp
        self._clock = clock
        self.inactivity_ms = inactivity_ms

    def header(self, name: str) -> str:
        """Return the value of a header, empty if it is missing."""
        return next((text for key, text in self.headers if key == name), '')

    async def feed(self, take: Take) -> None:
        """Hand the body on as it comes, to its end.

        Args:
            take: Takes each part; returns how long the endpoint may now stay
                silent, milliseconds.

        Raises:
            EndpointError: The body was cut, or the endpoint fell silent.
        """
        try:
            with self._clock.timeout(self.inactivity_ms) as silence:
                async for part in self._resp.aiter_stream():
                    silence.restart(take(part))
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                'the endpoint fell silent in its answer',
            ) from None
        except _NETWORK_ERRORS as exc:
            raise EndpointError(
                Failure.CONNECTION_LOST,
                Verdict.MAY_HAVE_RUN,
                f'the answer was cut: {_name(exc)}',
            ) from None

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises:
            EndpointError: The body was cut, is too long, or the endpoint fell
                silent.
        """
        parts: list[bytes] = []

        def take(part: bytes) -> int:
            parts.append(part)
            if sum(map(len, parts)) > LONGEST_ANSWER_BYTES:
                raise EndpointError(
                    Failure.MALFORMED, Verdict.RAN, 'the answer is too long'
                )
            return self.inactivity_ms

        await self.feed(take)
        return b''.join(parts)


class HttpClient:
    """Connections to endpoints, kept by address."""

    def __init__(self, clock: Clock) -> None:
        """Create the client without connections.

        Args:
            clock: Measures the silence of endpoints.
        """
        self._clock = clock
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @contextlib.asynccontextmanager
    async def send(self, req: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Send a request and hold its answer open.

        Raises:
            EndpointError: There is no answer; its verdict tells whether the
                request was sent.
        """
        sending = _SendingMark()
        async with contextlib.AsyncExitStack() as stack:
            pool = await self._pool(req, stack)
            try:
                with self._clock.timeout(req.inactivity_ms):
                    resp = await stack.enter_async_context(
                        _open(pool, req, sending)
                    )
            except TimeoutError:
                raise EndpointError(
                    Failure.TIMEOUT, sending.verdict, 'the endpoint is silent'
                ) from None
            except _CONNECT_ERRORS as exc:
                raise EndpointError(
                    Failure.CONNECT,
                    sending.verdict,
                    f'no connection to the endpoint: {_name(exc)}',
                ) from None
            except _NETWORK_ERRORS as exc:
                raise EndpointError(
                    Failure.CONNECTION_LOST,
                    sending.verdict,
                    f'the endpoint closed the connection: {_name(exc)}',
                ) from None
            yield HttpResponse(resp, self._clock, req.inactivity_ms)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def _pool(
        self, req: HttpRequest, stack: contextlib.AsyncExitStack
    ) -> httpcore.AsyncConnectionPool:
        if req.fresh:
            fresh = httpcore.AsyncConnectionPool(max_connections=1)
            return await stack.enter_async_context(fresh)
        address = req.url.split('/', 3)[2]
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=_MOST_CONNECTIONS, keepalive_expiry=KEEPALIVE_S
            )
        return self._pools[address]


class _SendingMark:
    """Remembers whether the request's first byte was handed to the network."""

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN

    async def trace(self, event: str, details: Any) -> None:
        if event == _SENDING_EVENT:
            self.verdict = Verdict.MAY_HAVE_RUN


def _open(
    pool: httpcore.AsyncConnectionPool, req: HttpRequest, sending: _SendingMark
) -> contextlib.AbstractAsyncContextManager[httpcore.Response]:
    return pool.stream(
        req.method,
        req.url,
        headers=[(header.name, header.text) for header in req.headers],
        content=req.body or None,
        extensions={
            'timeout': {
                'connect': CONNECT_TIMEOUT_S,
                'pool': CONNECT_TIMEOUT_S,
            },
            'trace': sending.trace,
        },
    )


def _name(exc: Exception) -> str:
    return type(exc).__name__


_CONNECT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
