"""The base class of all errors, and the refusal that callers receive."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.verdicts import Verdict


class AcaciarampError(Exception):
    """Base class of the errors that acaciaramp defines."""


class ErrorCode(enum.Enum):
    """Why a call was refused or failed; refusals are counted by code."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_TIMEOUT = 'body_timeout'
    KEY_MISSING = 'key_missing'
    KEY_UNKNOWN = 'key_unknown'
    KEY_IN_REQUEST = 'key_in_request'
    DOCUMENT_STALE = 'document_stale'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not_found'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_PROGRAM = 'unknown_program'
    UNKNOWN_STEP = 'unknown_step'
    UNKNOWN_STREAM = 'unknown_stream'
    STREAM_VERSION_GONE = 'stream_version_gone'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    STEP_CONFLICT = 'step_conflict'
    STEP_SKIPPED = 'step_skipped'
    PROGRAM_ENDED = 'program_ended'
    TURN_LIMIT = 'turn_limit'
    PROGRAM_LIMIT = 'program_limit'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue_full'
    QUEUE_TIMEOUT = 'queue_timeout'
    NO_ENDPOINT = 'no_endpoint'
    ZONE_EVACUATED = 'zone_evacuated'
    HOME_REGION_UNAVAILABLE = 'home_region_unavailable'
    ENDPOINT_FAILED = 'endpoint_failed'
    ENDPOINT_LIMITED = 'endpoint_limited'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    STREAM_RESTARTED = 'stream_restarted'
    NOT_LEADER = 'not_leader'
    LEDGER_FULL = 'ledger_full'
    HOME_UNREACHABLE = 'home_unreachable'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    CANCELLED = 'cancelled'
    SHUTTING_DOWN = 'shutting_down'
    INTERNAL = 'internal'


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a call was refused or failed, as sent to callers and stored.

    Attributes:
        code: The reason, for programs.
        message: The reason, for people.
        verdict: Whether an endpoint may have run the request.
        retry_after_ms: How long to wait before a retry, milliseconds; None
            without advice.
        leader: The instance that should be asked instead, if known; used
            between instances only.
    """

    code: ErrorCode
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_ms: int | None = None
    leader: str | None = None


class CallError(AcaciarampError):
    """A call was refused or failed; carries the refusal for the caller.

    Attributes:
        refusal: The refusal built from the arguments.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_ms: int | None = None,
        leader: str | None = None,
    ) -> None:
        """Create the error from the fields of its refusal; see ``Refusal``."""
        super().__init__(message)
        self.refusal = Refusal(
            code=code,
            message=message,
            verdict=verdict,
            retry_after_ms=retry_after_ms,
            leader=leader,
        )

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> CallError:
        """Return the error for a stored or received refusal."""
        return cls(
            refusal.code,
            refusal.message,
            refusal.verdict,
            refusal.retry_after_ms,
            refusal.leader,
        )
