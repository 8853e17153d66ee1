"""Times of a replicated log."""

from __future__ import annotations

import msgspec


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a replicated log, in milliseconds.

    Attributes:
        heartbeat_ms: Between two messages of a leader.
        election_ms: Silence after which a follower may stand.
        spread_ms: The longest additional silence, drawn by lot.
        request_ms: Longest wait for an answer.
        full_wait_ms: How long a commit waits for the last replica.
        compact_entries: Entries behind the snapshot that make a new one due.
    """

    heartbeat_ms: int = 150
    election_ms: int = 1_000
    spread_ms: int = 1_000
    request_ms: int = 1_000
    full_wait_ms: int = 50
    compact_entries: int = 2_000
