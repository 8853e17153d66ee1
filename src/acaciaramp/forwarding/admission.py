"""Admits calls within the rates of their workspaces.

Answers programs whose calls need a token each: a running program waits for its
next token, a new one is refused early, so that its caller can retry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.limits.quota import Patience
from acaciaramp.metrics.names import Timer

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.forwarding.call import Call
    from acaciaramp.ids import WorkspaceId
    from acaciaramp.limits.quota import Quota
    from acaciaramp.metrics.client import Metrics

# Longest wait of a call that starts a program for a token of the rate limit. A
# refusal should arrive within a quarter of the latency objective; this is less.
_NEW_PROGRAM_WAIT_MS = 70
# Fraction of its remaining time that a request of a running program may wait for
# such a token: a refusal would end the program.
_RUNNING_PROGRAM_WAIT_FRACTION = 0.6
# Fraction of its remaining time that any request may wait for the next owner of
# the rates.
_OWNER_WAIT_FRACTION = 0.4


class Admission:
    """Admission of the calls of one instance."""

    def __init__(
        self,
        quota: Quota,
        needs_ledger: Callable[[Call], bool],
        return_token: Callable[[WorkspaceId], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the admission.

        Args:
            quota: Rate limiter of the workspaces.
            needs_ledger: Returns whether the ledger opens the turn of a call,
                so that its token can be requested meanwhile.
            return_token: Returns an unused token of a workspace's rate to its
                owner.
            clock: Source of time.
            metrics: Records the time that admission takes.
        """
        self._quota = quota
        self._needs_ledger = needs_ledger
        self._return_token = return_token
        self._clock = clock
        self._metrics = metrics

    def start_prefetch(self, call: Call, tasks: TaskGroup) -> anyio.Event:
        """Request a token while the ledger opens the turn of a call.

        Both are in other instances, which may be in another region.

        Args:
            call: The call.
            tasks: Runs the request.

        Returns:
            An event that is set when the request has ended.
        """
        ended = anyio.Event()
        if call.workspace is None or not self._needs_ledger(call):
            ended.set()
            return ended

        async def prefetch(workspace: WorkspaceId) -> None:
            await self._quota.prefetch(workspace)
            ended.set()

        tasks.start_soon(prefetch, call.workspace)
        return ended

    async def discard_prefetched(
        self, call: Call, prefetched: anyio.Event
    ) -> None:
        """Return the token of a call that is not admitted to its owner.

        Args:
            call: The call.
            prefetched: Set when the token that was requested before has come.
        """
        await prefetched.wait()
        workspace = call.workspace
        if workspace is not None and self._quota.pop_granted(workspace):
            self._return_token(workspace)

    async def admit(self, call: Call, prefetched: anyio.Event) -> None:
        """Wait for a token of the workspace's rate limit.

        Args:
            call: The call.
            prefetched: Set when the token that was requested before has come.

        Raises:
            CallError: The workspace is over its rate limit.
        """
        if call.workspace is None:
            return
        started_ms = self._clock.now_ms()
        await prefetched.wait()
        await self._quota.admit(call.workspace, self._patience(call))
        self._metrics.record_duration(
            Timer.ADMISSION, self._clock.now_ms() - started_ms
        )

    def _patience(self, call: Call) -> Patience:
        """Return how long a call may wait for a token of the rate limit.

        A call that starts a program is refused early if there is no token, so
        that its caller can retry; one of a running program may use most of its
        remaining time. If the owner of the rates is lost, either waits for the
        next one.
        """
        left_ms = call.deadline_ms - self._clock.now_ms()
        owner_ms = int(_OWNER_WAIT_FRACTION * left_ms)
        if call.starts_program:
            return Patience(_NEW_PROGRAM_WAIT_MS, owner_ms)
        token_ms = int(_RUNNING_PROGRAM_WAIT_FRACTION * left_ms)
        return Patience(token_ms, max(token_ms, owner_ms))
