"""Links to other instances, opened on first use."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

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
        self._scopes: dict[InstanceId, anyio.CancelScope] = {}

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
            scope = anyio.CancelScope()
            self._links[instance] = link
            self._scopes[instance] = scope
            self._tasks.start_soon(_run, link, scope)
        return link

    def close(self, instance: InstanceId) -> None:
        """Close the link to an instance that is gone; it connects no more.

        Requests that wait for it end at their timeout.
        """
        if self._links.pop(instance, None) is not None:
            self._scopes.pop(instance).cancel()


async def _run(link: Link, scope: anyio.CancelScope) -> None:
    with scope:
        await link.run()
