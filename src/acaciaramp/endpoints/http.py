"""HTTP client for endpoints that tracks whether a request was sent."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import httpcore

from acaciaramp.endpoints.failures import FINAL_STATUSES, EndpointError, Failure
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from acaciaramp.clock import Clock, Timeout
    from acaciaramp.records import Header

CONNECT_TIMEOUT_S = 2.0
KEEPALIVE_S = 30.0
MAX_RESPONSE_BYTES = 33_554_432
_MAX_CONNECTIONS_PER_ENDPOINT = 1_024
_SEND_STARTED_EVENT = 'http11.send_request_headers.started'


PartHandler = Callable[[bytes], int | None]


class HttpRequest:
    """One request to an endpoint.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Headers, without host and length.
        body: The body.
        inactivity_ms: Timeout for the response head and for each part of the
            body, milliseconds.
        dedicated_connection: Whether the request is sent over a new
            connection instead of a pooled one.
        total_ms: Timeout for the whole response, milliseconds; None if only
            ``inactivity_ms`` limits it.
        most_body_bytes: Maximum size of the response body.
    """

    def __init__(
        self,
        method: str,
        url: str,
        *,
        inactivity_ms: int,
        headers: tuple[Header, ...] = (),
        body: bytes = b'',
        dedicated_connection: bool = False,
        total_ms: int | None = None,
        most_body_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        """Create the request."""
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body
        self.inactivity_ms = inactivity_ms
        self.dedicated_connection = dedicated_connection
        self.total_ms = total_ms
        self.most_body_bytes = most_body_bytes


class HttpResponse:
    """Head of an endpoint's response; the body has not been read yet.

    Attributes:
        status: HTTP status.
        headers: Headers, with names in lower case.
        inactivity_ms: Timeout for each part of the body, milliseconds.
    """

    def __init__(
        self,
        resp: httpcore.Response,
        clock: Clock,
        req: HttpRequest,
        sent_ms: int,
    ) -> None:
        """Wrap the response of the HTTP library.

        Args:
            resp: The open response.
            clock: Clock for the timeouts.
            req: The request, which has the limits of the response.
            sent_ms: When the request was sent, on the clock.
        """
        self.status = resp.status
        self.headers = [
            (name.decode('latin-1').lower(), text.decode('latin-1'))
            for name, text in resp.headers
        ]
        self.inactivity_ms = req.inactivity_ms
        self._resp = resp
        self._clock = clock
        self._most_body_bytes = req.most_body_bytes
        self._until_ms: int | None = None
        if req.total_ms is not None:
            self._until_ms = sent_ms + req.total_ms

    def header(self, name: str) -> str:
        """Return the value of a header, an empty string if it is missing.

        Args:
            name: Name of the header in lower case.
        """
        return next((text for key, text in self.headers if key == name), '')

    async def read_parts(self, on_part: PartHandler) -> None:
        """Read the body to its end, passing on each part as it arrives.

        Args:
            on_part: Called with each part; returns the timeout for the next
                part, milliseconds, or None to read no further.

        Raises:
            EndpointError: The connection was lost, no part arrived in time, or
                the whole response took too long.
        """
        try:
            with self._clock.timeout(
                self._part_timeout_ms(self.inactivity_ms)
            ) as timeout:
                await self._read_until_told(on_part, timeout)
        except TimeoutError:
            raise EndpointError(
                Failure.TIMEOUT,
                Verdict.MAY_HAVE_RUN,
                'the endpoint did not complete its answer in time',
            ) from None
        except _NETWORK_ERRORS as exc:
            raise EndpointError(
                Failure.CONNECTION_LOST,
                Verdict.MAY_HAVE_RUN,
                f'the answer was cut: {_class_name(exc)}',
            ) from None

    async def read_body(self) -> bytes:
        """Return the whole body.

        Raises:
            EndpointError: The connection was lost, no part arrived in time, or
                the body exceeds ``HttpRequest.most_body_bytes``.
        """
        body = bytearray()

        def on_part(part: bytes) -> int:
            body.extend(part)
            if len(body) > self._most_body_bytes:
                raise EndpointError(
                    Failure.MALFORMED,
                    Verdict.MAY_HAVE_RUN,
                    f'the answer has more than {self._most_body_bytes} bytes',
                )
            return self.inactivity_ms

        await self.read_parts(on_part)
        return bytes(body)

    async def _read_until_told(
        self, on_part: PartHandler, limit: Timeout
    ) -> None:
        async for part in self._resp.aiter_stream():
            next_ms = on_part(part)
            if next_ms is None:
                return
            limit.restart(self._part_timeout_ms(next_ms))

    def _part_timeout_ms(self, inactivity_ms: int) -> int:
        if self._until_ms is None:
            return inactivity_ms
        left_ms = max(0, self._until_ms - self._clock.now_ms())
        return min(inactivity_ms, left_ms)


class HttpClient:
    """Sends requests over one connection pool for each endpoint address."""

    def __init__(self, clock: Clock) -> None:
        """Create the client; it opens no connection yet.

        Args:
            clock: Clock for the inactivity timeouts.
        """
        self._clock = clock
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @contextlib.asynccontextmanager
    async def send(self, req: HttpRequest) -> AsyncIterator[HttpResponse]:
        """Send a request; the response stays open within the context.

        Raises:
            EndpointError: No response with a valid status arrived; the verdict is ``NOT_RUN`` if no
                byte of the request was sent.
        """
        tracker = _SendTracker()
        sent_ms = self._clock.now_ms()
        head_ms = req.inactivity_ms
        if req.total_ms is not None:
            head_ms = min(head_ms, req.total_ms)
        async with contextlib.AsyncExitStack() as stack:
            pool = await self._pool(req, stack)
            try:
                with self._clock.timeout(head_ms):
                    resp = await stack.enter_async_context(
                        _open_response(pool, req, tracker)
                    )
            except TimeoutError:
                raise EndpointError(
                    Failure.TIMEOUT, tracker.verdict, 'the endpoint is silent'
                ) from None
            except _CONNECT_ERRORS as exc:
                raise EndpointError(
                    Failure.CONNECT,
                    tracker.verdict,
                    f'no connection to the endpoint: {_class_name(exc)}',
                ) from None
            except _NETWORK_ERRORS as exc:
                raise EndpointError(
                    Failure.CONNECTION_LOST,
                    tracker.verdict,
                    f'the endpoint closed the connection: {_class_name(exc)}',
                ) from None
            if resp.status not in FINAL_STATUSES:
                raise EndpointError(
                    Failure.MALFORMED,
                    tracker.verdict,
                    f'{resp.status} is no status of a response',
                )
            yield HttpResponse(resp, self._clock, req, sent_ms)

    async def aclose(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def _pool(
        self, req: HttpRequest, stack: contextlib.AsyncExitStack
    ) -> httpcore.AsyncConnectionPool:
        if req.dedicated_connection:
            dedicated_pool = httpcore.AsyncConnectionPool(max_connections=1)
            return await stack.enter_async_context(dedicated_pool)
        address = req.url.split('/', 3)[2]
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=_MAX_CONNECTIONS_PER_ENDPOINT,
                keepalive_expiry=KEEPALIVE_S,
            )
        return self._pools[address]


class _SendTracker:
    """Tracks whether the HTTP library has begun to send the request.

    Attributes:
        verdict: ``NOT_RUN`` until then, ``MAY_HAVE_RUN`` afterwards.
    """

    def __init__(self) -> None:
        self.verdict = Verdict.NOT_RUN

    async def trace(self, event: str, details: Any) -> None:
        if event == _SEND_STARTED_EVENT:
            self.verdict = Verdict.MAY_HAVE_RUN


def _open_response(
    pool: httpcore.AsyncConnectionPool, req: HttpRequest, tracker: _SendTracker
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
            'trace': tracker.trace,
        },
    )


def _class_name(exc: Exception) -> str:
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
