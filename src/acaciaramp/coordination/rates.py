"""Owner of the shared rates: grants tokens and stores rate checkpoints."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import anyio

from acaciaramp.coordination.codec import unpack_table
from acaciaramp.coordination.grants import RatePools
from acaciaramp.coordination.messages import (
    GrantReply,
    GrantRequest,
    ReturnToken,
    StoreRates,
)
from acaciaramp.errors import CallError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.state_machine import ControlState
    from acaciaramp.routing.model import RoutingTable

    Propose = Callable[[StoreRates], Awaitable[object]]

logger = get_logger('coordination')

# Checkpoints are stored at this period while tokens are granted, and at once when
# the owner is about to use up an allowance.
_CHECKPOINT_PERIOD_MS = 500
_TICK_MS = 100


class RateOwner:
    """Grants tokens of the shared rates while this instance leads.

    Attributes:
        entries: Number of entry instances that share the rates.
        home_regions: Home regions that the newest routing table names.
    """

    def __init__(
        self,
        state: Callable[[], ControlState],
        clock: Clock,
        decode_table: Callable[[bytes], RoutingTable],
        propose: Propose,
        window_ms: int,
    ) -> None:
        """Create the owner; it owns nothing until ``start`` is called.

        Args:
            state: Returns the replicated state of the control group.
            clock: Source of time.
            decode_table: Decodes a routing table as operators send it.
            propose: Commits a command; raises ``CallError``.
            window_ms: Window over which rates are limited, milliseconds.
        """
        self.entries = 0
        self.home_regions: tuple[str, ...] = ()
        self._state = state
        self._clock = clock
        self._decode_table = decode_table
        self._propose = propose
        self._pools = RatePools(clock, window_ms)
        self._applied_ms: dict[str, int] = {}
        self._is_owner = False
        self._configured_for = (0, 0)
        self._allowance_low = anyio.Event()

    def on_checkpoints_applied(self, workspaces: Iterable[str]) -> None:
        """Record the current time as that of the workspaces' checkpoints.

        Called when the state machine has applied them.
        """
        now_ms = self._clock.now_ms()
        self._applied_ms.update(dict.fromkeys(workspaces, now_ms))

    def start(self) -> None:
        """Become the owner and continue from the stored checkpoints."""
        self._pools.start(self._state().rates, self._applied_ms)
        self._configured_for = (0, 0)
        self._is_owner = True

    def stop(self) -> None:
        """Stop being the owner."""
        self._is_owner = False

    def grant(self, req: GrantRequest) -> GrantReply:
        """Grant or refuse a token; the caller must check the leadership."""
        self._configure()
        reply = self._pools.grant(req)
        if self._pools.is_allowance_low(req.workspace):
            self._allowance_low.set()
        return reply

    def take_back(self, req: ReturnToken) -> None:
        """Take back a granted token that is not used."""
        self._pools.take_back(req.workspace)

    async def run(self) -> None:
        """Store checkpoints while this instance is the owner."""
        stored_ms = 0
        while True:
            await self._wait_tick()
            if not self._is_owner:
                continue
            self._configure()
            is_due = self._clock.now_ms() - stored_ms >= _CHECKPOINT_PERIOD_MS
            if self._pools.needs_checkpoint() or (
                is_due and self._pools.has_granted
            ):
                stored_ms = self._clock.now_ms()
                await self._store_checkpoints()

    async def _wait_tick(self) -> None:
        """Return after a tick, or earlier if an allowance is low."""
        timeout = self._clock.timeout(_TICK_MS)
        with contextlib.suppress(TimeoutError), timeout:
            await self._allowance_low.wait()
        self._allowance_low = anyio.Event()

    async def _store_checkpoints(self) -> None:
        checkpoints = self._pools.make_checkpoints()
        try:
            await self._propose(StoreRates(checkpoints))
        except CallError as exc:
            logger.warning(
                'Could not store rate checkpoints; granting only what the '
                'last stored ones allow.',
                reason=exc,
            )
        else:
            self._pools.on_checkpoints_stored(checkpoints)

    def _configure(self) -> None:
        """Apply the routing table or the number of entries if it changed."""
        state = self._state()
        wanted = state.version, self.entries
        if state.version and wanted != self._configured_for:
            self._configured_for = wanted
            table = self._decode_table(unpack_table(state.body))
            self._pools.configure(table.workspaces, self.entries)
            self.home_regions = table.home_regions
