"""Quarantine of requests that crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import CrashReport

logger = get_logger('coordination')

# Two endpoints may crash by coincidence while they run equal requests; a third
# crash is taken as caused by the request.
_CRASH_THRESHOLD = 3
# Callers repeat such a request within seconds; later the engines may have been
# fixed.
_QUARANTINE_MS = 60_000
_MAX_TRACKED_DIGESTS = 1_000


class Quarantine:
    """Counts the endpoints that crashed while they ran a request.

    Requests are identified by their digest.
    """

    def __init__(self, clock: Clock) -> None:
        """Create it without recorded crashes.

        Args:
            clock: Measures the age of crashes.
        """
        self._clock = clock
        self._crashes: dict[str, dict[str, int]] = {}

    def record_crash(self, report: CrashReport) -> None:
        """Record that an endpoint crashed while it ran a request."""
        crashes = self._crashes.setdefault(report.digest, {})
        crashes[report.endpoint] = self._clock.now_ms()
        if len(crashes) == _CRASH_THRESHOLD:
            logger.warning(
                'Quarantined a request that crashed endpoints; refusing it.',
                digest=report.digest,
                endpoints=sorted(crashes),
            )
        if len(self._crashes) > _MAX_TRACKED_DIGESTS:
            self._crashes.pop(next(iter(self._crashes)))

    def active_digests(self) -> tuple[str, ...]:
        """Return the digests of the requests in quarantine now."""
        oldest_ms = self._clock.now_ms() - _QUARANTINE_MS
        return tuple(
            digest
            for digest, crashes in self._crashes.items()
            if len(crashes) >= _CRASH_THRESHOLD
            and max(crashes.values()) >= oldest_ms
        )
