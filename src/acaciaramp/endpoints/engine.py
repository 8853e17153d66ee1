"""HTTP client of model engines with the OpenAI chat completions API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from acaciaramp.endpoints.deltas import Assembler, Delta, DeltaError
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.endpoints.http import (
    MAX_RESPONSE_BYTES,
    HttpRequest,
    HttpResponse,
)
from acaciaramp.ids import ProgramId
from acaciaramp.metrics.names import Counter, Timer
from acaciaramp.records import Answer, Header
from acaciaramp.util import sse
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Endpoint
    from acaciaramp.endpoints.calls import Call, DeltaSink
    from acaciaramp.endpoints.http import HttpClient
    from acaciaramp.metrics.client import Metrics

logger = get_logger('engine')

STREAM_HEADER = 'engine-stream'
SESSION_HEADER = 'engine-session'
_DONE = b'[DONE]'
_MAX_RESUMES = 3
_CONTROL_TIMEOUT_MS = 2_000
_DRAIN_TIMEOUT_MS = 100
_OK = 200
_FIRST_ERROR_STATUS = 400
_NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 413, 422, 429, 503))


class Usage(msgspec.Struct):
    """Token counts that the engine reports.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the completion.
        prompt_tokens_details: Holds ``cached_tokens``, the prompt tokens found
            in the prefix cache.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: dict[str, Any] | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk.

    Attributes:
        delta: Part of the message (JSON object).
        finish_reason: Why the model stopped; set in the last chunk.
    """

    delta: msgspec.Raw = msgspec.Raw(b'{}')
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One chunk of a streamed completion.

    Attributes:
        choices: One choice, or none in a chunk with only the usage.
        usage: Token counts; set in the last chunk.
    """

    choices: list[Choice] = []
    usage: Usage | None = None


class Sessions(msgspec.Struct):
    """Sessions whose cache memory an engine keeps.

    Attributes:
        sessions: Number of cache blocks by program.
    """

    sessions: dict[ProgramId, int]


class EngineClient:
    """Sends model calls, resumes their streams and releases their sessions."""

    def __init__(
        self, http: HttpClient, clock: Clock, metrics: Metrics
    ) -> None:
        """Create the client.

        Args:
            http: HTTP client for the engines.
            clock: Clock for the time to first token.
            metrics: Records the time to first token, counts resumed streams
                and released sessions.
        """
        self._http = http
        self._clock = clock
        self._metrics = metrics

    async def send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        """Send a model call and return its complete response.

        An interrupted stream is resumed up to ``_MAX_RESUMES`` times. If no
        complete response arrives or the call is cancelled, the stream is
        cancelled on the engine.

        Args:
            endpoint: The engine.
            call: The model call.
            sink: Called with each delta as it arrives.

        Raises:
            EndpointError: No complete response arrived.
        """
        stream = _StreamReader(sink, self._clock, self._metrics)
        try:
            return await self._send_resumable(endpoint, call, stream)
        except BaseException:
            await self._cancel(endpoint, stream)
            raise

    async def release_sessions(
        self, endpoint: Endpoint, programs: list[ProgramId]
    ) -> None:
        """Allow an engine to evict the cache memory that it keeps for programs.

        Raises:
            EndpointError: The engine did not confirm the release.
        """
        req = HttpRequest(
            'POST',
            f'{endpoint.address}/v1/sessions/release',
            inactivity_ms=_CONTROL_TIMEOUT_MS,
            total_ms=_CONTROL_TIMEOUT_MS,
            headers=(Header('content-type', 'application/json'),),
            body=msgspec.json.encode({'sessions': programs}),
        )
        async with self._http.send(req) as response:
            body = await response.read_body()
            if response.status >= _FIRST_ERROR_STATUS:
                raise _status_error(response.status, body)
        self._metrics.count(Counter.ENGINE_RELEASED)

    async def list_sessions(self, endpoint: Endpoint) -> list[ProgramId]:
        """Return the programs whose cache memory an engine keeps.

        Raises:
            EndpointError: The engine did not respond with a list of sessions.
        """
        req = HttpRequest(
            'GET',
            f'{endpoint.address}/v1/sessions',
            inactivity_ms=_CONTROL_TIMEOUT_MS,
            total_ms=_CONTROL_TIMEOUT_MS,
        )
        async with self._http.send(req) as response:
            body = await response.read_body()
            if response.status >= _FIRST_ERROR_STATUS:
                raise _status_error(response.status, body)
        try:
            return list(_sessions_decoder.decode(body).sessions)
        except msgspec.DecodeError as exc:
            raise EndpointError(
                Failure.MALFORMED, Verdict.RAN, f'not a list of sessions: {exc}'
            ) from None

    async def _send_resumable(
        self, endpoint: Endpoint, call: Call, stream: _StreamReader
    ) -> Answer:
        req = _chat_request(endpoint, call)
        for resumes_left in range(_MAX_RESUMES, -1, -1):
            try:
                async with self._http.send(req) as response:
                    await stream.read(response)
                    return stream.to_answer()
            except EndpointError as exc:
                if not resumes_left or not stream.can_resume(exc):
                    raise stream.with_stream_verdict(exc) from None
            self._metrics.count(Counter.STREAM_RESUMED)
            logger.info(
                'A response stream was interrupted; resuming it.',
                endpoint=endpoint.id,
            )
            req = _resume_request(endpoint, call, stream)
        raise AssertionError('unreachable: the last attempt returns or raises')

    async def _cancel(self, endpoint: Endpoint, stream: _StreamReader) -> None:
        if not stream.name or stream.is_finished:
            return
        req = HttpRequest(
            'DELETE',
            f'{endpoint.address}/v1/streams/{stream.name}',
            inactivity_ms=_CONTROL_TIMEOUT_MS,
            total_ms=_CONTROL_TIMEOUT_MS,
        )
        with anyio.CancelScope(shield=True):
            try:
                async with self._http.send(req) as response:
                    await response.read_body()
            except EndpointError:
                logger.warning(
                    'An engine did not confirm that a stream was cancelled; '
                    'not retrying.',
                    endpoint=endpoint.id,
                )


class _StreamReader:
    """Reads one streamed response, over several connections if resumed.

    Attributes:
        name: The engine's name for the stream, empty until it is known.
        last_event: Number of the last event received, -1 before the first.
        is_finished: Whether the response is complete.
    """

    def __init__(self, sink: DeltaSink, clock: Clock, metrics: Metrics) -> None:
        self.name = ''
        self.last_event = -1
        self.is_finished = False
        self._sink = sink
        self._clock = clock
        self._metrics = metrics
        self._started_ms: int | None = clock.now_ms()
        self._assembler = Assembler()
        self._parser = sse.EventParser()
        self._inactivity_ms = 0
        self._received_bytes = 0
        self._finish_reason = ''
        self._usage = Usage()

    async def read(self, response: HttpResponse) -> None:
        """Read events until the stream is complete.

        Raises:
            EndpointError: The engine reported an error, or the stream ended
                before it was complete.
        """
        if response.status != _OK:
            raise _status_error(response.status, await response.read_body())
        self.name = response.header(STREAM_HEADER) or self.name
        self._parser = sse.EventParser()
        self._inactivity_ms = response.inactivity_ms
        try:
            await response.read_parts(self._on_part)
        except EndpointError:
            if not self.is_finished:
                raise
        if not self.is_finished:
            raise EndpointError(
                Failure.CONNECTION_LOST,
                Verdict.MAY_HAVE_RUN,
                'the stream ended too early',
            )

    def can_resume(self, error: EndpointError) -> bool:
        """Return whether the engine can resume the stream after ``error``."""
        is_interrupted = error.failure in {
            Failure.CONNECTION_LOST,
            Failure.TIMEOUT,
        }
        return is_interrupted and bool(self.name)

    def with_stream_verdict(self, error: EndpointError) -> EndpointError:
        """Return the error with a verdict that covers all attempts.

        Once the engine has named the stream, the request may have run, even if
        the last attempt to resume it was not sent.
        """
        if not self.name:
            return error
        return EndpointError(error.failure, Verdict.MAY_HAVE_RUN, str(error))

    def to_answer(self) -> Answer:
        """Return the complete response."""
        details = self._usage.prompt_tokens_details or {}
        return Answer(
            status=_OK,
            body=msgspec.json.encode(self._assembler.assemble()),
            finish_reason=self._finish_reason,
            prompt_tokens=self._usage.prompt_tokens,
            completion_tokens=self._usage.completion_tokens,
            cached_tokens=int(details.get('cached_tokens') or 0),
        )

    def _on_part(self, part: bytes) -> int | None:
        if self.is_finished:
            # Whatever follows a complete response is no part of it.
            return None
        self._received_bytes += len(part)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            raise _malformed('more bytes than a response may have')
        try:
            for event in self._parser.feed(part):
                self._on_event(event)
        except (sse.EventTooLargeError, DeltaError) as exc:
            raise _malformed(str(exc)) from None
        # The end of a complete response is read so that its connection can be
        # reused.
        return _DRAIN_TIMEOUT_MS if self.is_finished else self._inactivity_ms

    def _on_event(self, event: sse.Event) -> None:
        if event.payload == _DONE:
            self.is_finished = bool(self._finish_reason)
            return
        if event.number is not None:
            if event.number <= self.last_event:
                return
            self.last_event = event.number
        try:
            self._on_chunk(_chunk_decoder.decode(event.payload))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            raise _malformed(str(exc)) from None

    def _on_chunk(self, chunk: Chunk) -> None:
        if chunk.usage is not None:
            self._usage = chunk.usage
        for choice in chunk.choices:
            self._finish_reason = choice.finish_reason or self._finish_reason
            delta = bytes(choice.delta)
            if delta not in _EMPTY_DELTAS:
                self._record_first_token()
                self._assembler.add(_delta_decoder.decode(delta))
                self._sink(delta)

    def _record_first_token(self) -> None:
        if self._started_ms is not None:
            duration_ms = self._clock.now_ms() - self._started_ms
            self._metrics.record_duration(Timer.FIRST_TOKEN, duration_ms)
            self._started_ms = None


def _chat_request(endpoint: Endpoint, call: Call) -> HttpRequest:
    step = call.request
    body: dict[str, Any] = msgspec.json.decode(step.options)
    new_messages = msgspec.json.decode(step.body, type=list[msgspec.Raw])
    body['model'] = step.service
    body['messages'] = [*call.history, *new_messages]
    body['max_tokens'] = call.max_tokens
    body['stream'] = True
    body['stream_options'] = {'include_usage': True}
    return HttpRequest(
        'POST',
        f'{endpoint.address}/v1/chat/completions',
        inactivity_ms=call.inactivity_ms,
        headers=(
            Header('content-type', 'application/json'),
            Header('accept', 'text/event-stream'),
            Header(SESSION_HEADER, call.program),
        ),
        body=msgspec.json.encode(body),
    )


def _resume_request(
    endpoint: Endpoint, call: Call, stream: _StreamReader
) -> HttpRequest:
    return HttpRequest(
        'GET',
        f'{endpoint.address}/v1/streams/{stream.name}',
        inactivity_ms=call.inactivity_ms,
        headers=(
            Header('accept', 'text/event-stream'),
            Header('last-event-id', str(stream.last_event)),
        ),
        dedicated_connection=True,
    )


def _malformed(reason: str) -> EndpointError:
    return EndpointError(
        Failure.MALFORMED,
        Verdict.MAY_HAVE_RUN,
        f'the engine sent a malformed response: {reason}',
    )


def _status_error(status: int, body: bytes) -> EndpointError:
    verdict = Verdict.MAY_HAVE_RUN
    if status in _NOT_RUN_STATUSES:
        verdict = Verdict.NOT_RUN
    failure = Failure.SERVER_ERROR
    if status < _FIRST_SERVER_ERROR_STATUS:
        failure = Failure.REFUSED
    reason = body[:_MAX_REASON_BYTES].decode('utf-8', 'replace')
    return EndpointError(
        failure, verdict, f'the engine answered {status}: {reason}'
    )


_FIRST_SERVER_ERROR_STATUS = 500
_MAX_REASON_BYTES = 200
_EMPTY_DELTAS = frozenset((b'{}', b'null'))
_sessions_decoder = msgspec.json.Decoder(Sessions)
_chunk_decoder = msgspec.json.Decoder(Chunk)
_delta_decoder = msgspec.json.Decoder(Delta)
