"""Authenticates callers by API key; keeps their keys out of forwarded requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.errors import CallError, ErrorCode

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.documents.model import Workspace
    from acaciaramp.entry.context import EntryContext

_SCHEME = 'bearer'
_STRIPPED_HEADERS = frozenset(
    (
        'accept-encoding',
        'authorization',
        'connection',
        'content-length',
        'cookie',
        'expect',
        'forwarded',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-api-key',
    )
)


def bearer_key(req: Request) -> str | None:
    """Return the bearer token of a request, None if it has none."""
    scheme, _, key = req.headers.get('authorization', '').partition(' ')
    if scheme.lower() == _SCHEME and key.strip():
        return key.strip()
    return None


def authenticate(ctx: EntryContext, req: Request) -> Workspace:
    """Return the workspace that the key of a request belongs to.

    An instance that has been out of contact with the control group for longer
    than ``staleness_s`` of the document refuses all keys: some of them may
    have been revoked since.

    Raises:
        CallError: The request has no key, the key belongs to no workspace, or
            the document may be stale.
    """
    key = bearer_key(req)
    if key is None:
        raise CallError(
            ErrorCode.KEY_MISSING,
            'the header "Authorization: Bearer KEY" is missing',
        )
    staleness_ms = ctx.registry.document.staleness_s * MS_PER_SECOND
    if ctx.silence_ms() > staleness_ms:
        raise CallError(
            ErrorCode.DOCUMENT_STALE,
            'this instance has been cut off for too long to know withdrawn keys',
            retry_after_ms=MS_PER_SECOND,
        )
    workspace = ctx.registry.workspace_for_key(key)
    if workspace is None:
        raise CallError(
            ErrorCode.KEY_UNKNOWN, 'the key is not known or was withdrawn'
        )
    return workspace


def check_key_not_forwarded(req: Request, body: bytes) -> None:
    """Refuse a request that repeats its key in a part sent to an endpoint.

    Args:
        req: The request.
        body: The part of its body that the endpoint gets.

    Raises:
        CallError: The key occurs in the URL, a forwarded header or the body.
    """
    key = bearer_key(req)
    if key is None:
        return
    address = unquote(f'{req.url.path}?{req.url.query}')
    forwarded_values = [text for _, text in forwarded_headers(req)]
    if (
        key in address
        or key.encode() in body
        or any(key in text for text in forwarded_values)
    ):
        raise CallError(
            ErrorCode.KEY_IN_REQUEST,
            'the key stands in the request itself, where an endpoint would see it',
        )


def forwarded_headers(req: Request) -> list[tuple[str, str]]:
    """Return the headers of a request that are sent to a plain service."""
    return [
        (name, text)
        for name, text in req.headers.items()
        if name not in _STRIPPED_HEADERS and not name.startswith('acaciaramp-')
    ]
