"""Messages about shares between instances."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId, WorkspaceId


class BorrowRequest(msgspec.Struct, frozen=True):
    """Asks for a loan.

    Attributes:
        workspace: The workspace.
        borrower: Who asks.
        duration_ms: How long the loan is to last, milliseconds.
    """

    workspace: WorkspaceId
    borrower: InstanceId
    duration_ms: int


class BorrowReply(msgspec.Struct, frozen=True):
    """Gives a loan, which may be nothing.

    Attributes:
        share: The part lent, of 1 for the whole workspace.
        tokens: Tokens that go along.
    """

    share: float
    tokens: float
