"""Timeouts and intervals of a replicated log."""

from __future__ import annotations

from collections.abc import Callable

import msgspec


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts of a replicated log, in milliseconds, and when it is compacted.

    Attributes:
        heartbeat_ms: Interval of the leader's heartbeats.
        election_ms: Shortest time without contact to a leader after which a
            voter campaigns.
        spread_ms: Longest random addition to ``election_ms``.
        request_ms: Timeout of a request to another replica.
        full_wait_ms: Longest time that a proposal, once committed, waits for
            the voters that do not have it yet.
        compact_entries: Number of applied entries after the snapshot at which
            the log is compacted.
        compact_bytes: Bytes of applied entries after the snapshot at which it is
            compacted though they are fewer; they are in memory and on the disk.
        retained_entries: Number of entries that are retained at that point, so
            that members which are a little behind need no snapshot.
        may_compact: Returns whether there is memory for a snapshot; None if there
            always is.
    """

    heartbeat_ms: int = 150
    election_ms: int = 1_000
    spread_ms: int = 1_000
    request_ms: int = 1_000
    full_wait_ms: int = 50
    compact_entries: int = 2_000
    compact_bytes: int = 8_388_608
    retained_entries: int = 1_000
    may_compact: Callable[[], bool] | None = None
