"""Reads and checks what callers send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from acaciaramp.errors import CallError, ErrorCode

if TYPE_CHECKING:
    from starlette.requests import Request

    from acaciaramp.entry.context import EntryContext

_Shape = TypeVar('_Shape')


async def read_body(ctx: EntryContext, req: Request) -> bytes:
    """Return the whole body of a request.

    Raises:
        CallError: The body is too large or too slow.
        ClientDisconnect: The caller went away before its end.
    """
    limits = ctx.settings.limits
    announced = req.headers.get('content-length', '')
    if announced.isdigit() and int(announced) > limits.body_bytes:
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


def decode(body: bytes, shape: type[_Shape]) -> _Shape:
    """Return the JSON in ``body`` as an object of ``shape``.

    Raises:
        CallError: The body is not UTF-8, not JSON or of another shape.
    """
    try:
        body.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise _bad(f'the body is not UTF-8: {exc.reason}') from None
    try:
        return msgspec.json.decode(body, type=shape)
    except RecursionError:
        raise _bad('the body is nested too deeply') from None
    except (msgspec.DecodeError, ValueError) as exc:
        raise _bad(f'the body is not as it should be: {exc}') from None


def encode(tree: Any) -> bytes:
    """Return ``tree`` as JSON."""
    return msgspec.json.encode(tree)


def step_number(text: str) -> int:
    """Return the step number that a caller wrote.

    Raises:
        CallError: It is not a whole number from 1.
    """
    if text.isascii() and text.isdigit() and len(text) <= _LONGEST_NUMBER:
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


_LONGEST_NUMBER = 9
