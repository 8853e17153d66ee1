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


class LoanPart(msgspec.Struct, frozen=True):
    """Part of a workspace's rate and burst.

    Attributes:
        share: The part, of 1 for the whole workspace.
        duration_ms: How long it is lent, milliseconds.
    """

    share: float
    duration_ms: int


class BorrowReply(msgspec.Struct, frozen=True):
    """Gives a loan, which may be nothing.

    Attributes:
        parts: The parts lent.
        tokens: Tokens that go along.
    """

    parts: list[LoanPart]
    tokens: float
