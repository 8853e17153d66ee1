"""``POST /v1/chat/completions`` in the format of the OpenAI chat API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from starlette.responses import StreamingResponse

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.documents.model import ServiceKind
from acaciaramp.entry import auth, bodies, calls
from acaciaramp.entry.responses import error_body, json_response
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId, ServiceName, StepNumber, WorkspaceId
from acaciaramp.metrics.names import Counter
from acaciaramp.records import StepKind, StepRequest
from acaciaramp.util import sse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from starlette.requests import Request
    from starlette.responses import Response

    from acaciaramp.documents.model import Service, Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.entry.step_reader import StepReader
    from acaciaramp.records import Answer

PROGRAM_HEADER = 'acaciaramp-program'
STEP_HEADER = 'acaciaramp-step'
IDEMPOTENCY_HEADER = 'idempotency-key'
_DONE = b'[DONE]'
_ROLES = frozenset(
    ('system', 'developer', 'user', 'assistant', 'tool', 'function')
)
_INTERPRETED_MEMBERS = frozenset(
    (
        'model',
        'messages',
        'stream',
        'stream_options',
        'max_tokens',
        'max_completion_tokens',
        'n',
    )
)
_MAX_TOKENS_LIMIT = 1_000_000_000


class MessageHead(msgspec.Struct):
    """The members of a message that are validated; others are passed on.

    Attributes:
        role: Role of the author.
        content: Text or content parts.
    """

    role: str
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a streamed response.

    Attributes:
        include_usage: Whether the last chunk reports the token usage.
    """

    include_usage: bool = False


class ChatBody(msgspec.Struct):
    """The members of a chat request that acaciaramp interprets.

    Attributes:
        model: Name of the engine service.
        messages: Messages that this step adds to the conversation.
        stream: Whether the response is streamed.
        stream_options: Options of a streamed response.
        max_tokens: Output token limit.
        max_completion_tokens: Output token limit under its newer name; takes
            precedence.
        answers: Number of choices ("n"); only 1 is supported.
    """

    model: str
    messages: list[msgspec.Raw]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    answers: int | None = msgspec.field(default=None, name='n')


async def complete_chat(ctx: EntryContext, req: Request) -> Response:
    """Handle a chat request; the response is complete or streamed.

    Raises:
        CallError: The request was refused or failed.
    """
    workspace = auth.authenticate(ctx, req)
    raw = await bodies.read_body(ctx, req)
    body = bodies.decode(raw, ChatBody)
    step = _step_request(ctx, body, raw)
    auth.check_key_not_forwarded(req, step.body + step.options)
    target = _target(ctx, workspace, req)
    reader = await calls.begin_step(ctx, workspace, target, step)
    chat_format = _ChatFormat(ctx, target, body)
    if body.stream:
        return await _stream_response(ctx, chat_format, reader)
    answer = await calls.wait_for_answer(ctx, req, target, reader)
    return json_response(
        chat_format.completion(answer), headers=_program_headers(target)
    )


def format_completion(
    ctx: EntryContext, target: calls.Target, answer: Answer, model: str
) -> Any:
    """Return the answer of a model call as a ``chat.completion`` object."""
    body = ChatBody(model=model, messages=[])
    return _ChatFormat(ctx, target, body).completion(answer)


class _ChatFormat:
    """Formats answers as ``chat.completion`` objects and chunks."""

    def __init__(
        self, ctx: EntryContext, target: calls.Target, body: ChatBody
    ) -> None:
        self.target = target
        self.includes_usage = bool(
            body.stream_options and body.stream_options.include_usage
        )
        self._common_members = {
            'id': f'chatcmpl-{target.program}-{target.number}',
            'created': ctx.clock.wall_ms() // MS_PER_SECOND,
            'model': body.model,
        }

    def completion(self, answer: Answer) -> Any:
        choice = {
            'index': 0,
            'message': msgspec.Raw(answer.body),
            'finish_reason': answer.finish_reason,
            'logprobs': None,
        }
        return {
            **self._common_members,
            'object': 'chat.completion',
            'choices': [choice],
            'usage': _usage(answer),
        }

    def chunk(self, delta: bytes, finish_reason: str | None = None) -> bytes:
        choice = {
            'index': 0,
            'delta': msgspec.Raw(delta),
            'finish_reason': finish_reason,
        }
        return self._chunk(choices=[choice])

    def usage_chunk(self, answer: Answer) -> bytes:
        return self._chunk(choices=[], usage=_usage(answer))

    def _chunk(self, **members: Any) -> bytes:
        return sse.encode(
            msgspec.json.encode(
                {
                    **self._common_members,
                    'object': 'chat.completion.chunk',
                    **members,
                }
            )
        )


async def _stream_response(
    ctx: EntryContext, chat_format: _ChatFormat, reader: StepReader
) -> Response:
    """Return the streamed response once the first delta has arrived.

    A step that fails before its first delta thus gets an error status; later
    failures are reported in the stream.
    """
    deltas = reader.stream_deltas()
    first = await anext(deltas, None)
    return StreamingResponse(
        _stream_events(ctx, chat_format, reader, first, deltas),
        media_type='text/event-stream',
        headers={
            **_program_headers(chat_format.target),
            'cache-control': 'no-store',
        },
    )


async def _stream_events(
    ctx: EntryContext,
    chat_format: _ChatFormat,
    reader: StepReader,
    first: bytes | None,
    deltas: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yield the server-sent events; cancel the step if the caller disconnects.

    Args:
        ctx: Components of the instance.
        chat_format: Formats the chunks.
        reader: Reader of the step.
        first: The first delta, None if the answer is empty.
        deltas: The remaining deltas.
    """
    is_ended = False
    try:
        yield chat_format.chunk(b'{"role":"assistant"}')
        if first is not None:
            yield chat_format.chunk(first)
        async for delta in deltas:
            yield chat_format.chunk(delta)
        is_ended = True
    except CallError as exc:
        is_ended = True
        ctx.metrics.count(Counter.REFUSED, exc.refusal.code)
        yield sse.encode(msgspec.json.encode(error_body(exc.refusal)))
        return
    finally:
        if not is_ended:
            await calls.cancel_step(ctx, chat_format.target)
    answer = await reader.read_answer()
    yield chat_format.chunk(b'{}', answer.finish_reason)
    if chat_format.includes_usage:
        yield chat_format.usage_chunk(answer)
    yield sse.encode(_DONE)


def _target(
    ctx: EntryContext, workspace: Workspace, req: Request
) -> calls.Target:
    program = req.headers.get(PROGRAM_HEADER)
    step = req.headers.get(STEP_HEADER)
    if program is None and step is None:
        return calls.single_call_target(
            ctx, workspace, req.headers.get(IDEMPOTENCY_HEADER)
        )
    if program is None or step is None:
        raise CallError(
            ErrorCode.BAD_REQUEST,
            f'the headers {PROGRAM_HEADER} and {STEP_HEADER} go together',
        )
    return calls.Target(
        WorkspaceId(workspace.name),
        ProgramId(program),
        StepNumber(bodies.parse_step_number(step)),
        is_single=False,
        keep=True,
    )


def _step_request(ctx: EntryContext, body: ChatBody, raw: bytes) -> StepRequest:
    service = _engine_service(ctx, body.model)
    for message in body.messages:
        head = bodies.decode(bytes(message), MessageHead)
        if head.role not in _ROLES:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'there is no role "{head.role}"'
            )
    if not body.messages:
        raise CallError(ErrorCode.BAD_REQUEST, '"messages" is empty')
    if body.answers not in {None, 1}:
        raise CallError(ErrorCode.BAD_REQUEST, 'only one answer is made: "n"')
    members = bodies.decode(raw, dict[str, msgspec.Raw])
    options = {
        name: member
        for name, member in members.items()
        if name not in _INTERPRETED_MEMBERS
    }
    return StepRequest(
        kind=StepKind.CHAT,
        service=ServiceName(service.name),
        repeatable=True,
        body=bodies.encode(body.messages),
        options=bodies.encode(options),
        max_tokens=_max_tokens(body),
    )


def _engine_service(ctx: EntryContext, model: str) -> Service:
    service = ctx.registry.services.get(model)
    if service is None or service.kind is not ServiceKind.ENGINE:
        raise CallError(ErrorCode.UNKNOWN_MODEL, f'there is no model "{model}"')
    return service


def _max_tokens(body: ChatBody) -> int:
    limit = body.max_completion_tokens or body.max_tokens or 0
    if not 0 <= limit <= _MAX_TOKENS_LIMIT:
        raise CallError(ErrorCode.BAD_REQUEST, '"max_tokens" is out of range')
    return limit


def _usage(answer: Answer) -> Any:
    return {
        'prompt_tokens': answer.prompt_tokens,
        'completion_tokens': answer.completion_tokens,
        'total_tokens': answer.prompt_tokens + answer.completion_tokens,
        'prompt_tokens_details': {'cached_tokens': answer.cached_tokens},
    }


def _program_headers(target: calls.Target) -> dict[str, str]:
    return {
        'acaciaramp-program': target.program,
        'acaciaramp-step': str(target.number),
    }
