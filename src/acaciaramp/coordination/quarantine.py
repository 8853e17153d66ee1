"""Quarantine of requests that crash endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import CrashReport
    from acaciaramp.ids import EndpointId

    # Id of the endpoint and wall-clock time of its start, milliseconds.
    _Lifetime = tuple[EndpointId, int]

logger = get_logger('coordination')

# Two endpoints may crash by coincidence while they run equal requests; a third
# crash is taken as caused by the request.
_CRASH_THRESHOLD = 3
# Callers repeat such a request within seconds; later the engines may have been
# fixed.
_QUARANTINE_MS = 60_000
_MAX_TRACKED_DIGESTS = 1_000


class Quarantine:
    """Counts the lifetimes of endpoints that crashed while they ran a request.

    Requests are identified by their digest. An endpoint that starts again under
    its id may crash once more.
    """

    def __init__(self, clock: Clock) -> None:
        """Create it without recorded crashes.

        Args:
            clock: Measures the age of crashes.
        """
        self._clock = clock
        self._crashes: dict[str, dict[_Lifetime, int]] = {}

    def record_crash(self, report: CrashReport) -> None:
        """Record that an endpoint crashed while it ran a request."""
        crashes = self._recent_crashes(report.digest)
        was_active = len(crashes) >= _CRASH_THRESHOLD
        lifetime = (report.endpoint, report.born_ms)
        crashes[lifetime] = self._clock.now_ms()
        # The digest with the newest crash is the last one to be dropped.
        self._crashes.pop(report.digest, None)
        self._crashes[report.digest] = crashes
        if len(crashes) >= _CRASH_THRESHOLD and not was_active:
            logger.warning(
                'Quarantined a request that crashed endpoints; refusing it.',
                digest=report.digest,
                endpoints=sorted(endpoint for endpoint, _ in crashes),
            )
        if len(self._crashes) > _MAX_TRACKED_DIGESTS:
            self._drop_one()

    def active_digests(self) -> tuple[str, ...]:
        """Return the digests of the requests in quarantine now."""
        return tuple(filter(self._is_active, self._crashes))

    def _is_active(self, digest: str) -> bool:
        return len(self._recent_crashes(digest)) >= _CRASH_THRESHOLD

    def _recent_crashes(self, digest: str) -> dict[_Lifetime, int]:
        """Return the times of the crashes that still count, by lifetime.

        All of them count as long as the newest one does.
        """
        crashes = self._crashes.get(digest, {})
        oldest_ms = self._clock.now_ms() - _QUARANTINE_MS
        if max(crashes.values(), default=oldest_ms) < oldest_ms:
            return {}
        return dict(crashes)

    def _drop_one(self) -> None:
        """Drop the digest without quarantine whose last crash is the oldest.

        If all are in quarantine, the oldest of them is dropped.
        """
        inactive = (
            digest for digest in self._crashes if not self._is_active(digest)
        )
        oldest = next(iter(self._crashes))
        self._crashes.pop(next(inactive, oldest))
