"""Links to other instances, made when they are first needed."""

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
    """Links by the address of the other instance."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        tasks: TaskGroup,
        timing: LinkTiming = DEFAULT_TIMING,
    ) -> None:
        """Create the collection without links.

        Args:
            clock: Measures silence.
            metrics: Counts opened and lost links.
            tasks: Where the links run.
            timing: Heartbeats and silence.
        """
        self._clock = clock
        self.metrics = metrics
        self._tasks = tasks
        self._timing = timing
        self._links: dict[InstanceId, Link] = {}

    def get(self, instance: InstanceId) -> Link:
        """Return the link to an instance, whose id is its address."""
        found = self._links.get(instance)
        if found is None:
            host, _, port = instance.rpartition(':')
            found = Link(
                instance,
                Address(host, int(port)),
                self._clock,
                self.metrics,
                self._timing,
            )
            self._links[instance] = found
            self._tasks.start_soon(found.run)
        return found
