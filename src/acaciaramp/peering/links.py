"""Links to other instances, opened on first use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.peering.link import DEFAULT_TIMING, Link, LinkTiming
from acaciaramp.peering.server import Address

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics


class Links:
    """One link to each instance, by the instance's address."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
        timing: LinkTiming = DEFAULT_TIMING,
    ) -> None:
        """Create the collection; it opens no link yet.

        Args:
            clock: Clock for heartbeats and timeouts.
            metrics: Counts opened and lost links, times requests.
            tasks: Task group that runs the links.
            timing: Heartbeat interval and timeouts of every link.
        """
        self._clock = clock
        self.metrics = metrics
        self._tasks = tasks
        self._timing = timing
        self._links: dict[InstanceId, Link] = {}

    def get(self, instance: InstanceId) -> Link:
        """Return the link to an instance; the first call opens it.

        Args:
            instance: Id of the instance, which is its address ``HOST:PORT``.
        """
        link = self._links.get(instance)
        if link is None:
            host, _, port = instance.rpartition(':')
            link = Link(
                instance,
                Address(host, int(port)),
                self._clock,
                self.metrics,
                self._timing,
            )
            self._links[instance] = link
            self._tasks.start_soon(link.run)
        return link
