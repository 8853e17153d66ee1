"""JSON responses and error responses for callers."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING, Any

import msgspec
from starlette.responses import Response

from acaciaramp.errors import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.errors import Refusal

JSON_TYPE = 'application/json'
_MS_PER_SECOND = 1000

_STATUSES: Mapping[ErrorCode, int] = types.MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: 400,
        ErrorCode.KEY_IN_REQUEST: 400,
        ErrorCode.KEY_MISSING: 401,
        ErrorCode.KEY_UNKNOWN: 401,
        ErrorCode.FORBIDDEN: 403,
        ErrorCode.NOT_FOUND: 404,
        ErrorCode.UNKNOWN_SERVICE: 404,
        ErrorCode.UNKNOWN_MODEL: 404,
        ErrorCode.UNKNOWN_PROGRAM: 404,
        ErrorCode.UNKNOWN_STEP: 404,
        ErrorCode.METHOD_NOT_ALLOWED: 405,
        ErrorCode.BODY_TIMEOUT: 408,
        ErrorCode.STEP_CONFLICT: 409,
        ErrorCode.STEP_SKIPPED: 409,
        ErrorCode.PROGRAM_ENDED: 409,
        ErrorCode.STREAM_RESTARTED: 409,
        ErrorCode.CANCELLED: 409,
        ErrorCode.BODY_TOO_LARGE: 413,
        ErrorCode.TURN_LIMIT: 429,
        ErrorCode.BUDGET_EXHAUSTED: 429,
        ErrorCode.RATE_LIMITED: 429,
        ErrorCode.INTERNAL: 500,
        ErrorCode.PROGRAM_LIMIT: 503,
        ErrorCode.QUEUE_FULL: 503,
        ErrorCode.QUEUE_TIMEOUT: 503,
        ErrorCode.NO_ENDPOINT: 503,
        ErrorCode.ENDPOINT_FAILED: 503,
        ErrorCode.NOT_LEADER: 503,
        ErrorCode.DOCUMENT_STALE: 503,
        ErrorCode.HOME_UNREACHABLE: 503,
        ErrorCode.SHUTTING_DOWN: 503,
        ErrorCode.OUTCOME_UNKNOWN: 504,
        ErrorCode.DEADLINE_EXCEEDED: 504,
    }
)


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error response.

    Attributes:
        error: Why the call was refused or failed.
    """

    error: ErrorDetail


class ErrorDetail(msgspec.Struct, frozen=True, omit_defaults=True):
    """Why a call was refused or failed.

    Attributes:
        code: The error code.
        message: Description of the error.
        verdict: Whether the request may have run.
        retry_after_ms: How long to wait before a retry, milliseconds.
    """

    code: str
    message: str
    verdict: str
    retry_after_ms: int | None = None


def json_response(
    body: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with ``body`` encoded as JSON."""
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        headers=dict(headers or {}),
        media_type=JSON_TYPE,
    )


def error_body(refusal: Refusal) -> ErrorBody:
    """Return the error body for a refusal."""
    return ErrorBody(
        ErrorDetail(
            code=refusal.code.value,
            message=refusal.message,
            verdict=refusal.verdict.value,
            retry_after_ms=refusal.retry_after_ms,
        )
    )


def error_response(refusal: Refusal) -> Response:
    """Return the error response for a refusal.

    ``Retry-After`` is in whole seconds, rounded up.
    """
    headers = {}
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // _MS_PER_SECOND)
        headers['retry-after'] = str(seconds)
    return json_response(error_body(refusal), _STATUSES[refusal.code], headers)
