"""From the key of a request to its workspace."""

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
_NOT_HANDED_ON = frozenset(
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


def key_of(req: Request) -> str | None:
    """Return the key that came with a request, None if none did."""
    scheme, _, key = req.headers.get('authorization', '').partition(' ')
    if scheme.lower() == _SCHEME and key.strip():
        return key.strip()
    return None


def workspace_of(ctx: EntryContext, req: Request) -> Workspace:
    """Return the workspace whose key came with a request.

    Raises:
        CallError: No key came, or it acts for no workspace.
    """
    key = key_of(req)
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


def check_key_stays_here(req: Request, body: bytes) -> None:
    """Refuse a request that repeats its key where endpoints would see it.

    Raises:
        CallError: The key stands in the address, another header or the body.
    """
    key = key_of(req)
    if key is None:
        return
    address = unquote(f'{req.url.path}?{req.url.query}')
    handed_on = [text for _, text in headers_to_hand_on(req)]
    if (
        key in address
        or key.encode() in body
        or any(key in text for text in handed_on)
    ):
        raise CallError(
            ErrorCode.KEY_IN_REQUEST,
            'the key stands in the request itself, where an endpoint would see it',
        )


def headers_to_hand_on(req: Request) -> list[tuple[str, str]]:
    """Return the headers that a plain service gets to see."""
    return [
        (name, text)
        for name, text in req.headers.items()
        if name not in _NOT_HANDED_ON and not name.startswith('acaciaramp-')
    ]
