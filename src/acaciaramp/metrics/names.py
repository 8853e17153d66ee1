"""Names of all metrics; docs/operators/metrics.md documents them."""

from __future__ import annotations

import enum


class Counter(enum.Enum):
    """Counters of events, some of which have a reason.

    Attributes:
        REFUSED: Requests of callers refused, by error code.
        RETRIED: Failed attempts at an endpoint, by failure. ``acaciaramp serve``
            counts those that it retries, the entry role counts all.
        RETRY_DENIED: Retries that the retry budget did not allow, by failure.
        STEP_STARTED: Steps started, by kind of step.
        STEP_FINISHED: Steps that ended with an answer, by kind of step.
        STEP_FAILED: Steps that ended with an error, by error code.
        STREAM_RESUMED: Response streams of engines resumed after a failure.
        STEP_CANCELLED: Running steps that were cancelled.
        PROGRAM_CREATED: Programs created.
        PROGRAM_ENDED: Programs ended, by reason of the end.
        ENDPOINT_DOWN: Available endpoints paused after a failure, by failure.
        ENGINE_RELEASED: Requests to release sessions that engines confirmed.
        LINK_OPENED: Links to peers opened.
        LINK_LOST: Links to peers lost.
        LINK_REJECTED: Invalid or oversized frames and failed TLS handshakes of
            peers.
        ANSWERED: Requests of callers answered, by kind of route.
        BAD_INPUT: Invalid external input, by ``BadInput``.
        LEADER_LOST: Losses of contact to the leader of the control group.
        LEDGER_OPENED: Attempts to open a turn on a ledger, by outcome.
        RATE_REQUESTED: Requests for rate tokens, by ``GrantOutcome``.
        SLOT_REQUESTED: Requests for slots at limited endpoints, by
            ``GrantOutcome``.
        REACH_LOST: Times at which this instance found that it cannot reach
            endpoints.
        TUNNEL_OPENED: Tunnels through peers opened.
        TUNNEL_FAILED: Peers that opened no tunnel when they were asked.
        TUNNEL_REQUESTED: Tunnels that peers asked for, by ``TunnelOutcome``.
        LEAVING_PROBED: Health probes of endpoints that have said that they are
            leaving, by ``ProbeOutcome``.
        LEVEL_CHANGED: Changes of the admission level of a service, by
            ``LevelMove``.
        CALLER_CLOSED: Connections of callers that were closed, or refused a
            request, to bound memory and descriptors, by ``CloseReason``.
        MEMORY_SCARCE: Times that the resident memory came near its limit, so
            that less is held for callers.
        LOADS_SENT: Messages with news of endpoints' loads that peers took.
        LOADS_FAILED: Such messages that did not arrive or were refused.
        LOADS_RECEIVED: Such messages from peers.
    """

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
    SLOT_REQUESTED = 'slot.requested'
    REACH_LOST = 'reach.lost'
    TUNNEL_OPENED = 'tunnel.opened'
    TUNNEL_FAILED = 'tunnel.failed'
    TUNNEL_REQUESTED = 'tunnel.requested'
    LEAVING_PROBED = 'leaving.probed'
    LEVEL_CHANGED = 'admission.level'
    CALLER_CLOSED = 'caller.closed'
    MEMORY_SCARCE = 'memory.scarce'
    LOADS_SENT = 'loads.sent'
    LOADS_FAILED = 'loads.failed'
    LOADS_RECEIVED = 'loads.received'


class GrantOutcome(enum.Enum):
    """Reasons of ``RATE_REQUESTED`` and ``SLOT_REQUESTED``: what was granted."""

    GRANTED = 'granted'
    NONE = 'none'


class ProbeOutcome(enum.Enum):
    """Reasons of ``LEAVING_PROBED``: what a probe has shown of an endpoint.

    Attributes:
        SERVING: It serves requests again.
        LEAVING: It is still leaving, or cannot be probed and is not used yet.
        FAILED: It has not responded.
        UNPROBED: It cannot be probed and is used again after a time.
    """

    SERVING = 'serving'
    LEAVING = 'leaving'
    FAILED = 'failed'
    UNPROBED = 'unprobed'


class LevelMove(enum.Enum):
    """Reasons of ``LEVEL_CHANGED``: whether more or fewer programs are admitted."""

    LOWERED = 'lowered'
    RAISED = 'raised'


class BadInput(enum.Enum):
    """Reasons of ``Counter.BAD_INPUT``: kinds of invalid external input.

    Attributes:
        FORGED_HEADER: Request with headers that only the system may set; they
            are removed.
        LIST_ENTRY: Entry of the platform's instance list; it is skipped.
        STRAY_ANSWER: Response of an endpoint to another request; the attempt
            fails.
        STRAY_BYTES: Bytes that an endpoint sent after its response.
        TABLE: Routing table from an operator; it is rejected.
        HEADERS: Oversized, late or malformed headers of a request; the
            connection is closed.
        LOAD: Load report with a figure outside its range; it is discarded.
    """

    FORGED_HEADER = 'forged_header'
    LIST_ENTRY = 'list_entry'
    STRAY_ANSWER = 'stray_answer'
    STRAY_BYTES = 'stray_bytes'
    TABLE = 'table'
    HEADERS = 'headers'
    LOAD = 'load'


class Timer(enum.Enum):
    """Timers; their durations are in milliseconds.

    Attributes:
        ADMISSION: Admission of a request, including the wait for a token.
        QUEUE: Wait of a step or request for a free slot at an endpoint.
        FIRST_TOKEN: Time from a request to an engine to its first token.
        ENDPOINT: Successful attempt at an endpoint.
        STEP: Whole step, including queueing and retries.
        PEER: Request to another instance, until its reply.
        REQUEST: Whole request of a caller that was answered.
        LEDGER: Opening of a turn on the ledger.
    """

    ADMISSION = 'stage.admission'
    QUEUE = 'stage.queue'
    FIRST_TOKEN = 'stage.first_token'
    ENDPOINT = 'stage.endpoint'
    STEP = 'stage.step'
    PEER = 'stage.peer'
    REQUEST = 'stage.request'
    LEDGER = 'stage.ledger'
