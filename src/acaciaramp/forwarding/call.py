"""One request on its way to an endpoint."""

from __future__ import annotations

import hashlib

import msgspec

from acaciaramp.conversations.turns import OpenedTurn
from acaciaramp.forwarding.messages import InboundRequest
from acaciaramp.ids import ServiceName, WorkspaceId
from acaciaramp.routing.model import Route

_DIGEST_BYTES = 12


class Call(msgspec.Struct, kw_only=True):
    """A request that has been admitted.

    Attributes:
        inbound: The caller's request.
        route: Its route.
        service: The service that takes it.
        workspace: For whom it runs; None on a public route.
        give_up_ms: When its answer is due.
        turn: The turn that it is, if it is one.
        runs: How many endpoints may have run it.
    """

    inbound: InboundRequest
    route: Route
    service: ServiceName
    workspace: WorkspaceId | None
    give_up_ms: int
    turn: OpenedTurn | None = None
    runs: int = 0

    @property
    def body(self) -> bytes:
        """What the endpoint gets."""
        return self.inbound.body if self.turn is None else self.turn.body

    @property
    def begins_program(self) -> bool:
        """Whether it is the first request of a program, or of none."""
        if self.turn is not None:
            return self.turn.is_new
        return self.inbound.turn.program is None

    @property
    def line(self) -> str:
        """What later requests share with it; empty for nothing."""
        return self.inbound.turn.session_id or self.inbound.object_key

    @property
    def may_run_again(self) -> bool:
        """Whether another endpoint may run it after one that perhaps did."""
        return self.route.is_repeatable and self.runs < self.route.attempts

    def digest(self) -> str:
        """Return what equal requests of one caller have in common."""
        text = b'\0'.join(
            (
                (self.workspace or '').encode(),
                self.inbound.target,
                self.inbound.body,
            )
        )
        return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()
