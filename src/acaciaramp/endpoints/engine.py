"""Client of model engines that speak the OpenAI chat format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from acaciaramp.endpoints.deltas import Assembler, Delta
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.endpoints.http import HttpRequest, HttpResponse
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
_MOST_RESUMES = 3
_CANCEL_WAIT_MS = 2_000
_DRAIN_MS = 100
_OK = 200
_FIRST_ERROR_STATUS = 400
_NOT_RUN_STATUSES = frozenset((400, 401, 403, 404, 413, 422, 429, 503))


class Usage(msgspec.Struct):
    """Tokens as the engine counted them.

    Attributes:
        prompt_tokens: Tokens read.
        completion_tokens: Tokens written.
        prompt_tokens_details: How many of them were cached.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: dict[str, Any] | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk.

    Attributes:
        delta: Part of the message (JSON object).
        finish_reason: Why the model stopped, in the last chunk.
    """

    delta: msgspec.Raw = msgspec.Raw(b'{}')
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """One chunk of a streamed completion.

    Attributes:
        choices: At most one.
        usage: Tokens, in the last chunk.
    """

    choices: list[Choice] = []
    usage: Usage | None = None


class Sessions(msgspec.Struct):
    """What an engine holds.

    Attributes:
        sessions: Blocks held, by program.
    """

    sessions: dict[ProgramId, int]


class EngineClient:
    """Sends model calls, resumes cut streams, cancels and releases."""

    def __init__(
        self, http: HttpClient, clock: Clock, metrics: Metrics
    ) -> None:
        """Create the client.

        Args:
            http: Connections to the engines.
            clock: Measures the first token.
            metrics: Counts resumed streams.
        """
        self._http = http
        self._clock = clock
        self._metrics = metrics

    async def send(
        self, endpoint: Endpoint, call: Call, sink: DeltaSink
    ) -> Answer:
        """Send a model call and return its whole answer.

        Args:
            endpoint: The engine.
            call: The model call.
            sink: Takes each delta as it comes.

        Raises:
            EndpointError: There is no whole answer.
        """
        stream = _Stream(sink, self._clock, self._metrics)
        try:
            return await self._read_whole(endpoint, call, stream)
        except BaseException:
            await self._cancel(endpoint, stream)
            raise

    async def release_sessions(
        self, endpoint: Endpoint, programs: list[ProgramId]
    ) -> None:
        """Free the memory that an engine holds for programs.

        Raises:
            EndpointError: The engine did not confirm it.
        """
        req = HttpRequest(
            'POST',
            f'{endpoint.address}/v1/sessions/release',
            inactivity_ms=_CANCEL_WAIT_MS,
            headers=(Header('content-type', 'application/json'),),
            body=msgspec.json.encode({'sessions': programs}),
        )
        async with self._http.send(req) as answer:
            body = await answer.read_body()
            if answer.status >= _FIRST_ERROR_STATUS:
                raise _status_error(answer.status, body)
        self._metrics.count(Counter.ENGINE_RELEASED)

    async def list_sessions(self, endpoint: Endpoint) -> list[ProgramId]:
        """Return the programs whose memory an engine holds.

        Raises:
            EndpointError: The engine did not answer as it should.
        """
        req = HttpRequest(
            'GET',
            f'{endpoint.address}/v1/sessions',
            inactivity_ms=_CANCEL_WAIT_MS,
        )
        async with self._http.send(req) as answer:
            body = await answer.read_body()
            if answer.status >= _FIRST_ERROR_STATUS:
                raise _status_error(answer.status, body)
        try:
            return list(_sessions_decoder.decode(body).sessions)
        except msgspec.DecodeError as exc:
            raise EndpointError(
                Failure.MALFORMED, Verdict.RAN, f'not a list of sessions: {exc}'
            ) from None

    async def _read_whole(
        self, endpoint: Endpoint, call: Call, stream: _Stream
    ) -> Answer:
        req = _chat_request(endpoint, call)
        for resumes_left in range(_MOST_RESUMES, -1, -1):
            try:
                async with self._http.send(req) as answer:
                    await stream.read(answer)
                    return stream.answer()
            except EndpointError as exc:
                if not resumes_left or not stream.can_resume(exc):
                    raise stream.error(exc) from None
            self._metrics.count(Counter.STREAM_RESUMED)
            logger.info('The stream is resumed.', endpoint=endpoint.id)
            req = _resume_request(endpoint, call, stream)
        raise AssertionError('the last resume raises')

    async def _cancel(self, endpoint: Endpoint, stream: _Stream) -> None:
        if not stream.name or stream.is_finished:
            return
        req = HttpRequest(
            'DELETE',
            f'{endpoint.address}/v1/streams/{stream.name}',
            inactivity_ms=_CANCEL_WAIT_MS,
        )
        with anyio.CancelScope(shield=True):
            try:
                async with self._http.send(req) as answer:
                    await answer.read_body()
            except EndpointError:
                logger.warning(
                    'The engine did not confirm a cancel.', endpoint=endpoint.id
                )


class _Stream:
    """What came so far of one streamed answer.

    Attributes:
        name: The engine's name for the stream.
        last: Number of the last event that came.
        is_finished: Whether the whole answer has come.
    """

    def __init__(self, sink: DeltaSink, clock: Clock, metrics: Metrics) -> None:
        self.name = ''
        self.last = -1
        self.is_finished = False
        self._sink = sink
        self._clock = clock
        self._metrics = metrics
        self._started_ms: int | None = clock.now_ms()
        self._assembler = Assembler()
        self._splitter = sse.EventParser()
        self._inactivity_ms = 0
        self._finish_reason = ''
        self._usage = Usage()

    async def read(self, answer: HttpResponse) -> None:
        """Read events until the stream says that it is whole."""
        if answer.status != _OK:
            raise _status_error(answer.status, await answer.read_body())
        self.name = answer.header(STREAM_HEADER) or self.name
        self._splitter = sse.EventParser()
        self._inactivity_ms = answer.inactivity_ms
        try:
            await answer.feed(self._take_part)
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
        """Return whether the engine can be asked for the rest."""
        is_broken = error.failure in {Failure.CONNECTION_LOST, Failure.TIMEOUT}
        return is_broken and bool(self.name)

    def error(self, error: EndpointError) -> EndpointError:
        """Return an error with the verdict of all that was sent."""
        if not self.name:
            return error
        return EndpointError(error.failure, Verdict.MAY_HAVE_RUN, str(error))

    def answer(self) -> Answer:
        """Return the whole answer."""
        details = self._usage.prompt_tokens_details or {}
        return Answer(
            status=_OK,
            body=msgspec.json.encode(self._assembler.assemble()),
            finish_reason=self._finish_reason,
            prompt_tokens=self._usage.prompt_tokens,
            completion_tokens=self._usage.completion_tokens,
            cached_tokens=int(details.get('cached_tokens') or 0),
        )

    def _take_part(self, part: bytes) -> int:
        for event in self._splitter.feed(part):
            self._take(event)
        # The rest of a whole answer is read so that its connection is kept.
        return _DRAIN_MS if self.is_finished else self._inactivity_ms

    def _take(self, event: sse.Event) -> None:
        if event.payload == _DONE:
            self.is_finished = bool(self._finish_reason)
            return
        if event.number is not None:
            if event.number <= self.last:
                return
            self.last = event.number
        try:
            self._take_chunk(_chunk_decoder.decode(event.payload))
        except msgspec.DecodeError as exc:
            raise EndpointError(
                Failure.MALFORMED,
                Verdict.MAY_HAVE_RUN,
                f'the engine sent a malformed chunk: {exc}',
            ) from None

    def _take_chunk(self, chunk: Chunk) -> None:
        if chunk.usage is not None:
            self._usage = chunk.usage
        for choice in chunk.choices:
            self._finish_reason = choice.finish_reason or self._finish_reason
            delta = bytes(choice.delta)
            if delta not in _EMPTY_DELTAS:
                self._time_first_token()
                self._assembler.add(_delta_decoder.decode(delta))
                self._sink(delta)

    def _time_first_token(self) -> None:
        if self._started_ms is not None:
            duration_ms = self._clock.now_ms() - self._started_ms
            self._metrics.record_duration(Timer.FIRST_TOKEN, duration_ms)
            self._started_ms = None


def _chat_request(endpoint: Endpoint, call: Call) -> HttpRequest:
    step = call.request
    body: dict[str, Any] = msgspec.json.decode(step.options)
    new = msgspec.json.decode(step.body, type=list[msgspec.Raw])
    body['model'] = step.service
    body['messages'] = [*call.history, *new]
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
    endpoint: Endpoint, call: Call, stream: _Stream
) -> HttpRequest:
    return HttpRequest(
        'GET',
        f'{endpoint.address}/v1/streams/{stream.name}',
        inactivity_ms=call.inactivity_ms,
        headers=(
            Header('accept', 'text/event-stream'),
            Header('last-event-id', str(stream.last)),
        ),
        fresh=True,
    )


def _status_error(status: int, body: bytes) -> EndpointError:
    verdict = Verdict.MAY_HAVE_RUN
    if status in _NOT_RUN_STATUSES:
        verdict = Verdict.NOT_RUN
    failure = Failure.SERVER_ERROR
    if status < _FIRST_SERVER_ERROR_STATUS:
        failure = Failure.REFUSED
    reason = body[:_LONGEST_REASON_BYTES].decode('utf-8', 'replace')
    return EndpointError(
        failure, verdict, f'the engine answered {status}: {reason}'
    )


_FIRST_SERVER_ERROR_STATUS = 500
_LONGEST_REASON_BYTES = 200
_EMPTY_DELTAS = frozenset((b'{}', b'null'))
_sessions_decoder = msgspec.json.Decoder(Sessions)
_chunk_decoder = msgspec.json.Decoder(Chunk)
_delta_decoder = msgspec.json.Decoder(Delta)
