"""HTTP statuses of refused and failed requests.

On the platform, 408, 421, 429 and 503 guarantee that the request has not run and
will not run.
"""

from __future__ import annotations

import types
from typing import TYPE_CHECKING

from acaciaramp.errors import ErrorCode
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from acaciaramp.errors import Refusal

_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504

_NOT_RUN_STATUSES: Mapping[ErrorCode, int] = types.MappingProxyType(
    {
        ErrorCode.BAD_REQUEST: 400,
        ErrorCode.KEY_MISSING: 401,
        ErrorCode.KEY_UNKNOWN: 401,
        ErrorCode.BUDGET_EXHAUSTED: 402,
        ErrorCode.NOT_FOUND: 404,
        ErrorCode.UNKNOWN_STEP: 404,
        ErrorCode.BODY_TIMEOUT: 408,
        ErrorCode.BODY_TOO_LARGE: 413,
        ErrorCode.RATE_LIMITED: 429,
        ErrorCode.OVERLOADED: _UNAVAILABLE,
    }
)


def http_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    502 and 504 are used for requests that may have run, other statuses only for
    requests that have not run and will not run.
    """
    if refusal.verdict is Verdict.NOT_RUN:
        return _NOT_RUN_STATUSES.get(refusal.code, _UNAVAILABLE)
    if refusal.code is ErrorCode.DEADLINE_EXCEEDED:
        return _GATEWAY_TIMEOUT
    return _BAD_GATEWAY
