"""ASGI application with the operators' interface."""

from __future__ import annotations

import functools
import hmac
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from acaciaramp.control.state_machine import ProposalOutcome
from acaciaramp.documents.model import Document
from acaciaramp.documents.registry import key_hash
from acaciaramp.errors import CallError
from acaciaramp.util.validation import TextValidationError, validate

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import ASGIApp

    from acaciaramp.control.group import ControlGroup

_OK = 200
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_UNAVAILABLE = 503
MAX_DOCUMENT_BYTES = 8_388_608


def make_operator_app(group: ControlGroup, operator_key: str) -> ASGIApp:
    """Return the application for operators.

    Args:
        group: This instance's part in the control group.
        operator_key: Hash of the operators' key.
    """

    def route(path: str, method: str, handle: Any) -> Route:
        authorized = functools.partial(_authorize, group, operator_key, handle)
        return Route(path, authorized, methods=[method])

    return Starlette(
        routes=[
            route('/v1/environment', 'GET', _show),
            route('/v1/environment', 'PUT', _apply),
            route('/v1/environment/history', 'GET', _history),
            route('/v1/environment/status', 'GET', _status),
        ]
    )


async def _authorize(
    group: ControlGroup, operator_key: str, handle: Any, req: Request
) -> Response:
    """Call the handler if the request carries the operators' key."""
    key = req.headers.get('authorization', '').removeprefix('Bearer ')
    if not hmac.compare_digest(key_hash(key), operator_key):
        return _json({'error': "the operators' key is wrong"}, _UNAUTHORIZED)
    response: Response = await handle(group, req)
    return response


async def _apply(group: ControlGroup, req: Request) -> Response:
    parts = []
    size = 0
    async for part in req.stream():
        size += len(part)
        if size > MAX_DOCUMENT_BYTES:
            message = f'a document has {MAX_DOCUMENT_BYTES} bytes at most'
            return _json({'error': message}, _TOO_LARGE)
        parts.append(part)
    try:
        text = b''.join(parts).decode('utf-8')
        document = validate(Document, text, 'document')
    except UnicodeDecodeError:
        return _json({'error': 'the document is not UTF-8'}, _BAD_REQUEST)
    except TextValidationError as exc:
        return _json(
            {'error': 'mistakes', 'mistakes': exc.mistakes}, _BAD_REQUEST
        )
    try:
        result = await group.apply(document)
    except CallError as exc:
        return _json({'error': str(exc)}, _UNAVAILABLE)
    is_conflict = result.outcome is ProposalOutcome.CONFLICT
    return _json(result, _CONFLICT if is_conflict else _OK)


async def _show(group: ControlGroup, req: Request) -> Response:
    current = group.state_machine.current
    if current is None:
        return _json({'error': 'no document is in force'}, _NOT_FOUND)
    return Response(current.text, media_type='application/json')


async def _history(group: ControlGroup, req: Request) -> Response:
    rows = [
        {
            'revision': item.revision,
            'at_ms': item.at_ms,
            'digest': item.digest,
        }
        for item in group.state_machine.history
    ]
    return _json({'history': rows})


async def _status(group: ControlGroup, req: Request) -> Response:
    return _json({'instances': await group.statuses()})


def _json(body: Any, status: int = _OK) -> Response:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )
