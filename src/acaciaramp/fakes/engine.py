"""The stand-in model engine: OpenAI chat format over HTTP."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from acaciaramp.endpoints.deltas import Assembler
from acaciaramp.endpoints.engine import SESSION_HEADER, STREAM_HEADER
from acaciaramp.fakes.batching import Batch, Sequence, StepTiming
from acaciaramp.fakes.model import PromptMessage, generate, tokenize
from acaciaramp.fakes.orders import EngineState, Order, apply_order
from acaciaramp.fakes.prefix_cache import PrefixCache
from acaciaramp.util import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request

    from acaciaramp.clock import Clock

_CONFLICT = 409
_NOT_FOUND = 404
_MOST_STREAMS = 4_096


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How a stand-in engine behaves.

    Attributes:
        models: The models that it serves.
        pace: How fast it works.
        batch_size: Most sequences in one step.
        cache_blocks: Most blocks in the prefix cache.
        event_delay_ms: How late cache events are published, milliseconds.
        event_drop_every: Every n-th cache event is lost; 0 for none.
        load_lag_ms: How old a load report may be, milliseconds.
        load_ms: How long loading a model takes, milliseconds.
        checks_fencing: Whether an old fencing number is refused.
    """

    models: tuple[str, ...]
    pace: StepTiming = StepTiming()
    batch_size: int = 64
    cache_blocks: int = 4_096
    event_delay_ms: int = 200
    event_drop_every: int = 0
    load_lag_ms: int = 500
    load_ms: int = 0
    checks_fencing: bool = True


class ChatRequest(msgspec.Struct):
    """The members of a chat request that the stand-in reads.

    Attributes:
        model: The model.
        messages: The whole conversation.
        max_tokens: Most tokens of the answer.
        stream: Whether the answer is wanted in pieces.
    """

    model: str
    messages: list[PromptMessage]
    max_tokens: int = 256
    stream: bool = False


class ReleaseRequest(msgspec.Struct):
    """The sessions whose memory is to be freed.

    Attributes:
        sessions: The sessions.
    """

    sessions: list[str]


class LoadReport(msgspec.Struct):
    """What the engine says of its load.

    Attributes:
        running: Sequences in the batch.
        waiting: Sequences that wait for a place.
        held_blocks: Cache blocks that sessions hold.
        busy_ms: Time spent in steps so far, milliseconds.
        at_ms: When the report was made, milliseconds.
    """

    running: int
    waiting: int
    held_blocks: int
    busy_ms: float
    at_ms: int


class FakeEngine:
    """One stand-in engine.

    Attributes:
        cache: Its prefix cache.
        batch: Its sequences.
        state: What it has loaded.
        prompts: Every conversation that it was asked to answer.
        headers: The headers of each of those requests.
    """

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        """Create the engine.

        Args:
            options: How it behaves.
            clock: Its clock.
        """
        self.cache = PrefixCache(options.cache_blocks, clock)
        self.batch = Batch(options.pace, options.batch_size, clock)
        self.state = EngineState(models=list(options.models))
        self.prompts: list[list[PromptMessage]] = []
        self.headers: list[dict[str, str]] = []
        self._options = options
        self._clock = clock
        self._epoch = secrets.token_hex(4)
        self._streams: dict[str, _Answering] = {}
        self._report = self._make_report()

    def app(self) -> Starlette:
        """Return the engine's ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/chat/completions', self._chat, methods=['POST']),
                Route('/v1/streams/{name}', self._resume, methods=['GET']),
                Route('/v1/streams/{name}', self._cancel, methods=['DELETE']),
                Route('/v1/sessions', self._sessions, methods=['GET']),
                Route('/v1/sessions/release', self._release, methods=['POST']),
                Route('/v1/sessions/{name}/kv', self._export, methods=['GET']),
                Route('/v1/sessions/{name}/kv', self._import, methods=['PUT']),
                Route('/v1/cache/events', self._events, methods=['GET']),
                Route('/v1/load', self._load, methods=['GET']),
                Route('/v1/orders', self._order, methods=['POST']),
                Route('/v1/held', self._held, methods=['GET']),
            ]
        )

    async def run(self) -> None:
        """Work until cancelled."""
        await self.batch.run()

    async def _chat(self, req: Request) -> Response:
        chat = msgspec.json.decode(await req.body(), type=ChatRequest)
        if chat.model not in self.state.models:
            return _json({'error': 'no such model here'}, _NOT_FOUND)
        self.prompts.append(chat.messages)
        self.headers.append(dict(req.headers))
        answering = self._begin(chat, req.headers.get(SESSION_HEADER, ''))
        if chat.stream:
            return answering.response(-1)
        return await answering.whole()

    def _begin(self, chat: ChatRequest, session: str) -> _Answering:
        tokens = tokenize(chat.messages)
        cached = self.cache.cached_tokens(tokens)
        completion = generate(chat.messages, chat.max_tokens)
        words = [delta.content or '' for delta in completion.deltas]
        self.cache.store(session, [*tokens, '<assistant>', *words])
        sequence = Sequence(
            secrets.token_hex(8), completion, max(0, len(tokens) - cached)
        )
        answering = _Answering(sequence, chat.model, len(tokens), cached)
        self._streams[sequence.name] = answering
        if len(self._streams) > _MOST_STREAMS:
            self._streams.pop(next(iter(self._streams)))
        self.batch.add(sequence)
        return answering

    async def _resume(self, req: Request) -> Response:
        answering = self._streams.get(req.path_params['name'])
        if answering is None:
            return _json({'error': 'no such stream'}, _NOT_FOUND)
        return answering.response(int(req.headers.get('last-event-id', '-1')))

    async def _cancel(self, req: Request) -> Response:
        answering = self._streams.pop(req.path_params['name'], None)
        if answering is None:
            return _json({'error': 'no such stream'}, _NOT_FOUND)
        answering.sequence.cancel()
        return _json({'cancelled': True})

    async def _sessions(self, req: Request) -> Response:
        return _json(
            {
                'sessions': {
                    name: len(blocks)
                    for name, blocks in self.cache.session_blocks.items()
                }
            }
        )

    async def _release(self, req: Request) -> Response:
        body = msgspec.json.decode(await req.body(), type=ReleaseRequest)
        released = [self.cache.release(name) for name in body.sessions]
        return _json({'released': sum(released)})

    async def _export(self, req: Request) -> Response:
        blocks = self.cache.session_blocks.get(req.path_params['name'])
        if blocks is None:
            return _json({'error': 'no such session'}, _NOT_FOUND)
        return Response(msgspec.msgpack.encode(blocks))

    async def _import(self, req: Request) -> Response:
        blocks = msgspec.msgpack.decode(await req.body(), type=list[str])
        self.cache.store_blocks(req.path_params['name'], blocks)
        return _json({'stored': len(blocks)})

    async def _events(self, req: Request) -> Response:
        events = self.cache.events_after(
            int(req.query_params.get('after', '0')),
            self._options.event_delay_ms,
            self._options.event_drop_every,
        )
        return _json({'epoch': self._epoch, 'events': events})

    async def _load(self, req: Request) -> Response:
        age_ms = self._clock.now_ms() - self._report.at_ms
        if age_ms >= self._options.load_lag_ms:
            stale = self._report
            self._report = self._make_report()
            return _json(stale)
        return _json(self._report)

    async def _order(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=Order)
        await self._clock.sleep_ms(self._options.load_ms)
        accepted = apply_order(
            self.state, order, checks_fencing=self._options.checks_fencing
        )
        if not accepted:
            return _json({'error': 'old fencing number'}, _CONFLICT)
        return _json(self.state)

    async def _held(self, req: Request) -> Response:
        return _json(self.state)

    def _make_report(self) -> LoadReport:
        return LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            held_blocks=self.cache.held_blocks(),
            busy_ms=self.batch.busy_ms,
            at_ms=self._clock.now_ms(),
        )


class _Answering:
    """One answer and its form on the wire."""

    def __init__(
        self, sequence: Sequence, model: str, prompt: int, cached: int
    ) -> None:
        self.sequence = sequence
        self._usage = {
            'prompt_tokens': prompt,
            'completion_tokens': len(sequence.completion.deltas),
            'total_tokens': prompt + len(sequence.completion.deltas),
            'prompt_tokens_details': {'cached_tokens': cached},
        }
        self._head = {
            'id': f'cmpl-{sequence.name}',
            'created': 0,
            'model': model,
        }

    def response(self, last: int) -> Response:
        """Return the stream behind event number ``last``."""
        return StreamingResponse(
            self._frames(last + 1),
            media_type='text/event-stream',
            headers={STREAM_HEADER: self.sequence.name},
        )

    async def whole(self) -> Response:
        """Return the whole answer."""
        sequence = self.sequence
        while not sequence.is_finished:
            await sequence.wait_for_more(sequence.generated)
        assembler = Assembler()
        for delta in sequence.completion.deltas:
            assembler.add(delta)
        choice = {
            'index': 0,
            'message': assembler.assemble(),
            'finish_reason': sequence.completion.finish_reason,
        }
        return _json(
            {
                **self._head,
                'object': 'chat.completion',
                'choices': [choice],
                'usage': self._usage,
            }
        )

    async def _frames(self, start: int) -> AsyncIterator[bytes]:
        sequence = self.sequence
        sent = start
        while True:
            await sequence.wait_for_more(sent)
            new = sequence.completion.deltas[sent : sequence.generated]
            if new:
                yield b''.join(
                    self._chunk(sent + offset, delta)
                    for offset, delta in enumerate(new)
                )
            sent = max(sent, sequence.generated)
            if sequence.is_finished:
                break
        if not sequence.is_cancelled:
            yield self._tail(sent)

    def _chunk(self, number: int, delta: Any) -> bytes:
        choice = {'index': 0, 'delta': delta, 'finish_reason': None}
        return self._encode(number, choices=[choice])

    def _tail(self, number: int) -> bytes:
        choice = {
            'index': 0,
            'delta': {},
            'finish_reason': self.sequence.completion.finish_reason,
        }
        last = self._encode(number, choices=[choice], usage=self._usage)
        return last + sse.encode(b'[DONE]')

    def _encode(self, number: int, **members: Any) -> bytes:
        chunk = {**self._head, 'object': 'chat.completion.chunk', **members}
        return sse.encode(msgspec.json.encode(chunk), number)


def _json(body: Any, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )
