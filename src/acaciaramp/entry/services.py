"""Calls to plain services, direct or as tool calls of programs."""

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
from acaciaramp.util.http_protocol import request_target

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.documents.model import Service, Workspace
    from acaciaramp.entry.context import EntryContext
    from acaciaramp.records import Answer

_SERVICES_PREFIX = '/v1/services/'
_IDEMPOTENCY_HEADER = 'idempotency-key'
_METHODS = frozenset(get_args(Method))
_JSON_HEADER = Header('content-type', 'application/json')
_DOT_SEGMENTS = frozenset(('.', '..'))
_MAX_PATH_LENGTH = 4_096


class ToolCallBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a tool call of a program.

    Attributes:
        step: Number of the step.
        service: Name of the plain service.
        path: Path and query.
        method: HTTP method.
        body: JSON body; without it the request to the service has no body.
        repeatable: Whether the call may run more than once; the document
            decides if it is not set.
    """

    step: int
    service: str
    path: str = '/'
    method: str = 'POST'
    body: msgspec.Raw = msgspec.Raw(b'')
    repeatable: bool | None = None


async def call_service(ctx: EntryContext, req: Request) -> Response:
    """Forward a request under ``/v1/services/`` to a plain service.

    Raises:
        CallError: The request was refused or failed.
    """
    name, path = _split_path(req)
    workspace = _authenticate(ctx, req, name, path)
    body = await bodies.read_body(ctx, req)
    auth.check_key_not_forwarded(req, body)
    step = StepRequest(
        kind=StepKind.TOOL,
        service=ServiceName(name),
        repeatable=_is_repeatable(_plain_service(ctx, name), req.method, path),
        body=body,
        method=req.method,
        path=_with_query(path, req),
        headers=_forwarded_headers(req),
    )
    key = req.headers.get(_IDEMPOTENCY_HEADER)
    target = calls.single_call_target(ctx, workspace, key)
    reader = await calls.begin_step(ctx, workspace, target, step)
    answer = await calls.wait_for_answer(ctx, req, target, reader)
    return tool_response(answer)


async def call_tool(ctx: EntryContext, req: Request) -> Response:
    """Run a tool call as a step of a program.

    Raises:
        CallError: The request was refused or failed.
    """
    workspace = auth.authenticate(ctx, req)
    raw = await bodies.read_body(ctx, req)
    body = bodies.decode(raw, ToolCallBody)
    step = _step_request(ctx, body, req)
    auth.check_key_not_forwarded(req, raw)
    target = calls.Target(
        WorkspaceId(workspace.name),
        ProgramId(req.path_params['program']),
        StepNumber(bodies.parse_step_number(str(body.step))),
        is_single=False,
        keep=True,
    )
    reader = await calls.begin_step(ctx, workspace, target, step)
    answer = await calls.wait_for_answer(ctx, req, target, reader)
    return tool_response(answer)


def tool_response(answer: Answer) -> Response:
    """Return the response of a plain service to the caller."""
    response = Response(answer.body, status_code=answer.status)
    for header in answer.headers:
        response.headers[header.name] = header.text
    return response


def _step_request(
    ctx: EntryContext, body: ToolCallBody, req: Request
) -> StepRequest:
    service = _plain_service(ctx, body.service)
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
    key = req.headers.get(_IDEMPOTENCY_HEADER)
    if key:
        headers.append(Header(_IDEMPOTENCY_HEADER, key))
    return StepRequest(
        kind=StepKind.TOOL,
        service=ServiceName(service.name),
        repeatable=repeatable,
        body=content,
        method=body.method,
        path=body.path,
        headers=tuple(headers),
    )


def _split_path(req: Request) -> tuple[str, str]:
    raw: Any = req.scope['raw_path']
    name, _, path = (
        raw.decode('ascii').removeprefix(_SERVICES_PREFIX).partition('/')
    )
    path = f'/{path}'
    _check_path(path)
    return name, path


def _with_query(path: str, req: Request) -> str:
    _, mark, query = request_target(req.scope).decode('ascii').partition('?')
    return f'{path}{mark}{query}'


def _check_path(path: str) -> None:
    """Refuse a path that the service might resolve to a different one.

    The rules of the document match prefixes of the path; dot segments, also
    percent-encoded or with backslashes, would evade them.
    """
    try:
        decoded = unquote(path, errors='strict')
    except UnicodeDecodeError:
        raise CallError(
            ErrorCode.BAD_REQUEST, 'the path is not UTF-8'
        ) from None
    segments = decoded.partition('?')[0].replace('\\', '/').split('/')
    is_unsafe = bool(_DOT_SEGMENTS.intersection(segments))
    is_unsafe = is_unsafe or not path.startswith('/')
    is_unsafe = is_unsafe or len(path) > _MAX_PATH_LENGTH
    is_unsafe = is_unsafe or not decoded.isprintable() or not path.isascii()
    if is_unsafe or ' ' in path or '#' in path:
        raise CallError(ErrorCode.BAD_REQUEST, 'the path is not allowed')


def _authenticate(
    ctx: EntryContext, req: Request, name: str, path: str
) -> Workspace:
    """Return the workspace of a caller; public routes need no key."""
    decoded = unquote(path)
    workspace = ctx.registry.public_route_workspace(name, req.method, decoded)
    if workspace is not None and auth.bearer_key(req) is None:
        return workspace
    return auth.authenticate(ctx, req)


def _plain_service(ctx: EntryContext, name: str) -> Service:
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


def _forwarded_headers(req: Request) -> tuple[Header, ...]:
    return tuple(
        Header(name, text) for name, text in auth.forwarded_headers(req)
    )
