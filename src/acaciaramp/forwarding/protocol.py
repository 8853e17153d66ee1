"""HTTP connections of callers with the limits of the routing table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.metrics.names import BadInput, Counter
from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.router import Router

logger = get_logger('gateway')


class TrafficLimitProtocol(HeaderLimitProtocol):
    """A connection that enforces the traffic limits of the routing table.

    A new table applies to open connections as well.
    """

    def __init__(self, router: Router, metrics: Metrics, **kwargs: Any) -> None:
        """Create the connection.

        Args:
            router: Active routing table with the traffic limits.
            metrics: Counts rejected headers.
            **kwargs: Passed on to the protocol of the web server.
        """
        super().__init__(
            header_limits=lambda: HeaderLimits(
                router.limits.header_bytes, router.limits.header_ms
            ),
            **kwargs,
        )
        self._router = router
        self._metrics = metrics

    def on_response_complete(self) -> None:
        """Set the idle timeout from the active routing table."""
        self.timeout_keep_alive = self._router.limits.idle_ms // MS_PER_SECOND
        super().on_response_complete()

    def record_rejection(self, message: str) -> None:
        """Count and log a request with invalid headers."""
        self._metrics.count(Counter.BAD_INPUT, BadInput.HEADERS)
        logger.warning(
            'Rejected the headers of a request; closing the connection.',
            reason=message,
        )
