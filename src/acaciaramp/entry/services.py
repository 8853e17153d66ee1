"""Plain services: calls of their own and tool calls of programs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, get_args
from urllib.parse import unquote

import msgspec
from starlette.responses import Response

from acaciaramp.documents.model import Method, ServiceKind
from acaciaramp.entry import auth, bodies, calls
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import ProgramId, ServiceName, StepNumber, WorkspaceId
from acaciaramp.records import Header, StepKind, StepRequest

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.documents.model import Service, Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.records import Answer

_PREFIX = '/v1/services/'
_KEY_HEADER = 'idempotency-key'
_METHODS = frozenset(get_args(Method))
_JSON_HEADER = Header('content-type', 'application/json')
_DOT_SEGMENTS = frozenset(('.', '..'))
_LONGEST_PATH = 4_096


class ToolCallBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a tool call of a program.

    Attributes:
        step: The step's number.
        service: The plain service.
        path: Path and query.
        method: HTTP method.
        body: JSON for the service; nothing is sent without it.
        repeatable: Whether the call may run more than once; without it the
            document decides.
    """

    step: int
    service: str
    path: str = '/'
    method: str = 'POST'
    body: msgspec.Raw = msgspec.Raw(b'')
    repeatable: bool | None = None


async def call_service(ctx: EntryContext, req: Request) -> Response:
    """Answer any call under ``/v1/services/``.

    Raises:
        CallError: The request was refused or failed.
    """
    name, path = _split(req)
    workspace = _open_or_key(ctx, req, name, path)
    body = await bodies.read_body(ctx, req)
    auth.check_key_stays_here(req, body)
    step = StepRequest(
        kind=StepKind.TOOL,
        service=ServiceName(name),
        repeatable=_is_repeatable(_plain(ctx, name), req.method, path),
        body=body,
        method=req.method,
        path=_with_query(path, req),
        headers=_handed_on(req),
    )
    key = req.headers.get(_KEY_HEADER)
    target = calls.single_target(ctx, workspace, key)
    reader = await calls.begin(ctx, workspace, target, step)
    answer = await calls.whole_answer(ctx, req, target, reader)
    return tool_response(answer)


async def call_tool(ctx: EntryContext, req: Request) -> Response:
    """Run a tool call as a step of a program.

    Raises:
        CallError: The request was refused or failed.
    """
    workspace = auth.workspace_of(ctx, req)
    raw = await bodies.read_body(ctx, req)
    body = bodies.decode(raw, ToolCallBody)
    step = _step_request(ctx, body, req)
    auth.check_key_stays_here(req, raw)
    target = calls.Target(
        WorkspaceId(workspace.name),
        ProgramId(req.path_params['program']),
        StepNumber(bodies.step_number(str(body.step))),
        is_single=False,
        keep=True,
    )
    reader = await calls.begin(ctx, workspace, target, step)
    answer = await calls.whole_answer(ctx, req, target, reader)
    return tool_response(answer)


def tool_response(answer: Answer) -> Response:
    """Return a plain service's answer as it came."""
    response = Response(answer.body, status_code=answer.status)
    for header in answer.headers:
        response.headers[header.name] = header.text
    return response


def _step_request(
    ctx: EntryContext, body: ToolCallBody, req: Request
) -> StepRequest:
    service = _plain(ctx, body.service)
    _check_path(body.path)
    if body.method not in _METHODS:
        raise CallError(
            ErrorCode.BAD_REQUEST, f'there is no method "{body.method}"'
        )
    repeatable = body.repeatable
    if repeatable is None:
        repeatable = _is_repeatable(service, body.method, body.path)
    content = bytes(body.body)
    headers = [_JSON_HEADER] if content else []
    key = req.headers.get(_KEY_HEADER)
    if key:
        headers.append(Header(_KEY_HEADER, key))
    return StepRequest(
        kind=StepKind.TOOL,
        service=ServiceName(service.name),
        repeatable=repeatable,
        body=content,
        method=body.method,
        path=body.path,
        headers=tuple(headers),
    )


def _split(req: Request) -> tuple[str, str]:
    raw: Any = req.scope['raw_path']
    name, _, path = raw.decode('ascii').removeprefix(_PREFIX).partition('/')
    path = f'/{path}'
    _check_path(path)
    return name, path


def _with_query(path: str, req: Request) -> str:
    query = req.url.query
    return f'{path}?{query}' if query else path


def _check_path(path: str) -> None:
    """Refuse paths that could mean another one to the service."""
    try:
        decoded = unquote(path, errors='strict')
    except UnicodeDecodeError:
        raise CallError(
            ErrorCode.BAD_REQUEST, 'the path is not UTF-8'
        ) from None
    segments = decoded.partition('?')[0].replace('\\', '/').split('/')
    is_hostile = bool(_DOT_SEGMENTS.intersection(segments))
    is_hostile = is_hostile or not path.startswith('/')
    is_hostile = is_hostile or len(path) > _LONGEST_PATH
    is_hostile = is_hostile or not decoded.isprintable() or not path.isascii()
    if is_hostile or ' ' in path or '#' in path:
        raise CallError(ErrorCode.BAD_REQUEST, 'the path is not allowed')


def _open_or_key(
    ctx: EntryContext, req: Request, name: str, path: str
) -> Workspace:
    decoded = unquote(path)
    workspace = ctx.registry.public_route_workspace(name, req.method, decoded)
    if workspace is not None and auth.key_of(req) is None:
        return workspace
    return auth.workspace_of(ctx, req)


def _plain(ctx: EntryContext, name: str) -> Service:
    service = ctx.registry.service(name)
    if service.kind is not ServiceKind.PLAIN:
        raise CallError(
            ErrorCode.UNKNOWN_SERVICE, f'there is no plain service "{name}"'
        )
    return service


def _is_repeatable(service: Service, method: str, path: str) -> bool:
    return any(
        method == rule.method and path.startswith(rule.prefix)
        for rule in service.repeatable
    )


def _handed_on(req: Request) -> tuple[Header, ...]:
    return tuple(
        Header(name, text) for name, text in auth.headers_to_hand_on(req)
    )
