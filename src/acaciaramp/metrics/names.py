"""The name of every metric; docs/metrics.md lists them for operators."""

from __future__ import annotations

import enum


class Counter(enum.Enum):
    """Counters; a dot and a reason may follow the name."""

    REFUSED = 'refused'
    RETRIED = 'retried'
    RETRY_DENIED = 'retry_denied'
    STARTED = 'step.started'
    FINISHED = 'step.finished'
    FAILED = 'step.failed'
    RESUMED = 'stream.resumed'
    RESTARTED = 'stream.restarted'
    CANCELLED = 'step.cancelled'
    PROGRAM_CREATED = 'program.created'
    PROGRAM_ENDED = 'program.ended'
    ENDPOINT_DOWN = 'endpoint.down'
    ENDPOINT_UP = 'endpoint.up'
    RELEASED = 'engine.released'
    LINK_OPENED = 'link.opened'
    LINK_LOST = 'link.lost'
    LINK_REJECTED = 'link.rejected'


class Timer(enum.Enum):
    """Durations in milliseconds."""

    ADMISSION = 'stage.admission'
    QUEUE = 'stage.queue'
    FIRST_TOKEN = 'stage.first_token'
    ENDPOINT = 'stage.endpoint'
    STEP = 'stage.step'
    PEER = 'stage.peer'
