"""The owner of the common rates: grants tokens, stores what it promises."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.coordination.grants import Grants
from acaciaramp.coordination.messages import (
    GrantReply,
    GrantRequest,
    StoreRates,
)
from acaciaramp.errors import CallError
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.state_machine import ControlState
    from acaciaramp.routing.model import RoutingTable

    Propose = Callable[[StoreRates], Awaitable[object]]

logger = get_logger('coordination')

# Levels are stored so often while tokens are granted, and at the next tick
# where the owner may soon grant no more.
_PERIOD_MS = 500
_TICK_MS = 40


class RateOwner:
    """The common rates while this instance leads.

    Attributes:
        entries: How many entries share the rates.
    """

    def __init__(
        self,
        state: Callable[[], ControlState],
        clock: Clock,
        decode_table: Callable[[bytes], RoutingTable],
        propose: Propose,
    ) -> None:
        """Create the owner; it owns nothing before ``start``.

        Args:
            state: Returns what the control instances agree on.
            clock: Source of time.
            decode_table: Reads a routing table as operators send it.
            propose: Commits a command; raises ``CallError``.
        """
        self.entries = 0
        self._state = state
        self._clock = clock
        self._decode_table = decode_table
        self._propose = propose
        self._grants = Grants(clock)
        self._learned_ms = clock.now_ms()
        self._is_owner = False
        self._configured_for = (0, 0)

    def note_levels(self) -> None:
        """Take note that levels have just been learned of."""
        self._learned_ms = self._clock.now_ms()

    def start(self) -> None:
        """Own the rates, from what the owner before has stored."""
        self._grants.start(self._state().rates, self._learned_ms)
        self._configured_for = (0, 0)
        self._is_owner = True

    def stop(self) -> None:
        """Own the rates no more."""
        self._is_owner = False

    def grant(self, req: GrantRequest) -> GrantReply:
        """Answer a request for a token."""
        self._configure()
        return self._grants.grant(req.workspace, is_new=req.is_new)

    async def run(self) -> None:
        """Store levels while this instance owns the rates."""
        stored_ms = 0
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            if not self._is_owner:
                continue
            self._configure()
            is_due = self._clock.now_ms() - stored_ms >= _PERIOD_MS
            if self._grants.is_short() or (is_due and self._grants.has_granted):
                stored_ms = self._clock.now_ms()
                await self._store()

    async def _store(self) -> None:
        levels = self._grants.take_levels()
        try:
            await self._propose(StoreRates(levels))
        except CallError as exc:
            logger.warning('Levels of rates are not stored.', reason=exc)
        else:
            self._grants.take_stored(levels)

    def _configure(self) -> None:
        """Take over a newer table or another number of entries."""
        state = self._state()
        wanted = state.version, self.entries
        if state.version and wanted != self._configured_for:
            self._configured_for = wanted
            table = self._decode_table(state.body)
            self._grants.configure(table.workspaces, self.entries)
