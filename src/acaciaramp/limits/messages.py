"""Messages by which instances lend each other shares of a rate limit."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId, WorkspaceId


class BorrowRequest(msgspec.Struct, frozen=True):
    """Requests a loan.

    Attributes:
        workspace: The workspace whose share is requested.
        borrower: The instance that requests it.
        duration_ms: Duration of the loan, milliseconds.
    """

    workspace: WorkspaceId
    borrower: InstanceId
    duration_ms: int


class LoanPart(msgspec.Struct, frozen=True):
    """A lent part of a workspace's rate and burst.

    Attributes:
        share: Fraction of the whole rate and burst, 0 to 1.
        duration_ms: Duration of the loan, milliseconds.
    """

    share: float
    duration_ms: int


class BorrowReply(msgspec.Struct, frozen=True):
    """Grants a loan, which may be empty.

    Attributes:
        parts: The lent parts, which end at different times.
        tokens: Tokens moved from the lender's bucket to the borrower's.
    """

    parts: list[LoanPart]
    tokens: float
