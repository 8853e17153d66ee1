"""Names of all metrics; docs/operators/metrics.md documents them."""

from __future__ import annotations

import enum


class Counter(enum.Enum):
    """Counters; a dot and a reason may be appended to the name."""

    REFUSED = 'refused'
    RETRIED = 'retried'
    RETRY_DENIED = 'retry_denied'
    STEP_STARTED = 'step.started'
    STEP_FINISHED = 'step.finished'
    STEP_FAILED = 'step.failed'
    STREAM_RESUMED = 'stream.resumed'
    STEP_CANCELLED = 'step.cancelled'
    PROGRAM_CREATED = 'program.created'
    PROGRAM_ENDED = 'program.ended'
    ENDPOINT_DOWN = 'endpoint.down'
    ENGINE_RELEASED = 'engine.released'
    LINK_OPENED = 'link.opened'
    LINK_LOST = 'link.lost'
    LINK_REJECTED = 'link.rejected'
    ANSWERED = 'answered'
    BAD_INPUT = 'bad_input'
    LEADER_LOST = 'leader.lost'
    LEDGER_OPENED = 'ledger.opened'
    RATE_REQUESTED = 'rate.asked'


class GrantOutcome(enum.Enum):
    """Reasons of ``Counter.RATE_REQUESTED``: whether tokens were granted."""

    GRANTED = 'granted'
    NONE = 'none'


class BadInput(enum.Enum):
    """Reasons of ``Counter.BAD_INPUT``: kinds of external input rejected."""

    FORGED_HEADER = 'forged_header'
    LIST_ENTRY = 'list_entry'
    STRAY_ANSWER = 'stray_answer'
    STRAY_BYTES = 'stray_bytes'
    TABLE = 'table'
    HEADERS = 'headers'


class Timer(enum.Enum):
    """Timers; their durations are in milliseconds."""

    ADMISSION = 'stage.admission'
    QUEUE = 'stage.queue'
    FIRST_TOKEN = 'stage.first_token'
    ENDPOINT = 'stage.endpoint'
    STEP = 'stage.step'
    PEER = 'stage.peer'
    REQUEST = 'stage.request'
    LEDGER = 'stage.ledger'
