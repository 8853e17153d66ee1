"""Reads and decodes request bodies of callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.util.numbers import parse_count

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.entry.context import EntryContext

_Decoded = TypeVar('_Decoded')


async def read_body(ctx: EntryContext, req: Request) -> bytes:
    """Return the complete body of a request.

    Raises:
        CallError: The body exceeds ``limits.body_bytes``, or did not arrive
            within ``limits.body_ms``.
        ClientDisconnect: The caller disconnected before the end of the body.
    """
    limits = ctx.settings.limits
    declared_bytes = parse_count(req.headers.get('content-length', ''))
    if declared_bytes is not None and declared_bytes > limits.body_bytes:
        raise _too_large(limits.body_bytes)
    parts = []
    size = 0
    try:
        with ctx.clock.timeout(limits.body_ms):
            async for part in req.stream():
                size += len(part)
                if size > limits.body_bytes:
                    raise _too_large(limits.body_bytes)
                parts.append(part)
    except TimeoutError:
        raise CallError(
            ErrorCode.BODY_TIMEOUT, 'the body did not come in time'
        ) from None
    return b''.join(parts)


def decode(body: bytes, into: type[_Decoded]) -> _Decoded:
    """Decode a JSON body into a type.

    Raises:
        CallError: The body is not UTF-8, not JSON, or does not match the type.
    """
    try:
        body.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise _bad(f'the body is not UTF-8: {exc.reason}') from None
    try:
        return msgspec.json.decode(body, type=into)
    except RecursionError:
        raise _bad('the body is nested too deeply') from None
    except (msgspec.DecodeError, ValueError) as exc:
        raise _bad(f'the body is not as it should be: {exc}') from None


def encode(tree: Any) -> bytes:
    """Encode ``tree`` as JSON."""
    return msgspec.json.encode(tree)


def parse_step_number(text: str) -> int:
    """Parse a step number sent by a caller.

    Raises:
        CallError: It is not an integer from 1 to 999 999 999.
    """
    if text.isascii() and text.isdigit() and len(text) <= _MAX_STEP_DIGITS:
        number = int(text)
        if number >= 1:
            return number
    raise _bad('a step is a whole number from 1')


def _bad(message: str) -> CallError:
    return CallError(ErrorCode.BAD_REQUEST, message)


def _too_large(limit: int) -> CallError:
    return CallError(
        ErrorCode.BODY_TOO_LARGE, f'a body may have {limit} bytes at most'
    )


_MAX_STEP_DIGITS = 9
