"""Fake model engine that serves the OpenAI chat format over HTTP."""

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
_MAX_STREAMS = 4_096


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a fake engine.

    Attributes:
        models: Names of the models that are loaded at the start.
        pace: Duration of batch steps.
        batch_size: Maximum number of sequences per step.
        cache_blocks: Capacity of the prefix cache in blocks.
        event_delay_ms: Delay until cache events are published, milliseconds.
        event_drop_every: Every n-th cache event is dropped; 0 for none.
        load_lag_ms: Age from which a load report is renewed, milliseconds;
            the request that finds it this old still gets the old report.
        load_ms: Duration of each control command, such as loading a model,
            milliseconds.
        checks_fencing: Whether a command with a lower fencing token than the
            highest one seen is rejected.
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
    """The members of a chat request that the fake engine reads.

    Attributes:
        model: Name of the model.
        messages: The whole conversation.
        max_tokens: Maximum number of tokens to generate.
        stream: Whether to send the response as server-sent events.
    """

    model: str
    messages: list[PromptMessage]
    max_tokens: int = 256
    stream: bool = False


class ReleaseRequest(msgspec.Struct):
    """Request to free the cache blocks of sessions.

    Attributes:
        sessions: Session IDs.
    """

    sessions: list[str]


class LoadReport(msgspec.Struct):
    """Load of the engine at one time.

    Attributes:
        running: Sequences in the batch.
        waiting: Sequences that wait for room in the batch.
        held_blocks: Cache blocks pinned by sessions.
        busy_ms: Time spent in steps so far, milliseconds.
        at_ms: Time of the report on the engine's clock, milliseconds.
    """

    running: int
    waiting: int
    held_blocks: int
    busy_ms: float
    at_ms: int


class FakeEngine:
    """Fake engine with a prefix cache, batching and control commands.

    Attributes:
        cache: The prefix cache.
        batch: The batch of sequences.
        state: Loaded models and adapters, version and role.
        prompts: Messages of every accepted chat request, oldest first.
        headers: Headers of each of these requests.
    """

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        """Create the engine.

        Args:
            options: Behaviour of the engine.
            clock: Source of time; paces the batch.
        """
        self.cache = PrefixCache(options.cache_blocks, clock)
        self.batch = Batch(options.pace, options.batch_size, clock)
        self.state = EngineState(models=list(options.models))
        self.prompts: list[list[PromptMessage]] = []
        self.headers: list[dict[str, str]] = []
        self._options = options
        self._clock = clock
        self._epoch = secrets.token_hex(4)
        self._streams: dict[str, _Generation] = {}
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
                Route('/v1/load', self._get_load, methods=['GET']),
                Route('/v1/orders', self._apply_order, methods=['POST']),
                Route('/v1/held', self._get_state, methods=['GET']),
            ]
        )

    async def run(self) -> None:
        """Run the batch until cancelled."""
        await self.batch.run()

    async def _chat(self, req: Request) -> Response:
        chat = msgspec.json.decode(await req.body(), type=ChatRequest)
        if chat.model not in self.state.models:
            return _json({'error': 'no such model here'}, _NOT_FOUND)
        self.prompts.append(chat.messages)
        self.headers.append(dict(req.headers))
        generation = self._start_generation(
            chat, req.headers.get(SESSION_HEADER, '')
        )
        if chat.stream:
            return generation.stream_response(-1)
        return await generation.full_response()

    def _start_generation(self, chat: ChatRequest, session: str) -> _Generation:
        tokens = tokenize(chat.messages)
        cached = self.cache.cached_tokens(tokens)
        completion = generate(chat.messages, chat.max_tokens)
        words = [delta.content or '' for delta in completion.deltas]
        self.cache.store(session, [*tokens, '<assistant>', *words])
        sequence = Sequence(
            secrets.token_hex(8), completion, max(0, len(tokens) - cached)
        )
        generation = _Generation(sequence, chat.model, len(tokens), cached)
        self._streams[sequence.name] = generation
        if len(self._streams) > _MAX_STREAMS:
            self._streams.pop(next(iter(self._streams)))
        self.batch.add(sequence)
        return generation

    async def _resume(self, req: Request) -> Response:
        generation = self._streams.get(req.path_params['name'])
        if generation is None:
            return _json({'error': 'no such stream'}, _NOT_FOUND)
        return generation.stream_response(
            int(req.headers.get('last-event-id', '-1'))
        )

    async def _cancel(self, req: Request) -> Response:
        generation = self._streams.pop(req.path_params['name'], None)
        if generation is None:
            return _json({'error': 'no such stream'}, _NOT_FOUND)
        generation.sequence.cancel()
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

    async def _get_load(self, req: Request) -> Response:
        age_ms = self._clock.now_ms() - self._report.at_ms
        if age_ms >= self._options.load_lag_ms:
            stale = self._report
            self._report = self._make_report()
            return _json(stale)
        return _json(self._report)

    async def _apply_order(self, req: Request) -> Response:
        order = msgspec.json.decode(await req.body(), type=Order)
        await self._clock.sleep_ms(self._options.load_ms)
        accepted = apply_order(
            self.state, order, checks_fencing=self._options.checks_fencing
        )
        if not accepted:
            return _json({'error': 'old fencing number'}, _CONFLICT)
        return _json(self.state)

    async def _get_state(self, req: Request) -> Response:
        return _json(self.state)

    def _make_report(self) -> LoadReport:
        return LoadReport(
            running=len(self.batch.running),
            waiting=len(self.batch.waiting),
            held_blocks=self.cache.held_blocks(),
            busy_ms=self.batch.busy_ms,
            at_ms=self._clock.now_ms(),
        )


class _Generation:
    """A running completion, encoded as an event stream or as one body."""

    def __init__(
        self,
        sequence: Sequence,
        model: str,
        prompt_tokens: int,
        cached_tokens: int,
    ) -> None:
        self.sequence = sequence
        self._usage = {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': len(sequence.completion.deltas),
            'total_tokens': prompt_tokens + len(sequence.completion.deltas),
            'prompt_tokens_details': {'cached_tokens': cached_tokens},
        }
        self._common_members = {
            'id': f'cmpl-{sequence.name}',
            'created': 0,
            'model': model,
        }

    def stream_response(self, last_event: int) -> Response:
        """Return the event stream after event number ``last_event``."""
        return StreamingResponse(
            self._frames(last_event + 1),
            media_type='text/event-stream',
            headers={STREAM_HEADER: self.sequence.name},
        )

    async def full_response(self) -> Response:
        """Wait for the last token and return the response as one body."""
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
                **self._common_members,
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
            yield self._final_frames(sent)

    def _chunk(self, number: int, delta: Any) -> bytes:
        choice = {'index': 0, 'delta': delta, 'finish_reason': None}
        return self._encode_chunk(number, choices=[choice])

    def _final_frames(self, number: int) -> bytes:
        choice = {
            'index': 0,
            'delta': {},
            'finish_reason': self.sequence.completion.finish_reason,
        }
        final = self._encode_chunk(number, choices=[choice], usage=self._usage)
        return final + sse.encode(b'[DONE]')

    def _encode_chunk(self, number: int, **members: Any) -> bytes:
        chunk = {
            **self._common_members,
            'object': 'chat.completion.chunk',
            **members,
        }
        return sse.encode(msgspec.json.encode(chunk), number)


def _json(body: Any, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )
