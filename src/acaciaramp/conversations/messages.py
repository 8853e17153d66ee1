"""Requests to the ledger and its replies."""

from __future__ import annotations

import enum

import msgspec

from acaciaramp.ids import ProgramId, WorkspaceId
from acaciaramp.replication import messages as msgs


class TurnKey(msgspec.Struct, frozen=True):
    """Names a turn.

    Attributes:
        workspace: Whose it is.
        attempt: Id of the request that it came with.
    """

    workspace: WorkspaceId
    attempt: str


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a turn may generate.

    Attributes:
        program: The program that it belongs to.
        most_tokens: The most tokens that it may generate.
        budget: Tokens that all turns of the program may generate.
    """

    program: ProgramId
    most_tokens: int
    budget: int


class OpenTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks to begin a turn.

    Attributes:
        turn: The turn.
        reservation: The tokens that it needs; None for a turn without budget.
        previous: The request id of the kept turn that it continues.
        has_chain: Whether the caller already holds that turn's chain.
        at_ms: Wall time at the caller.
    """

    turn: TurnKey
    reservation: Reservation | None = None
    previous: str | None = None
    has_chain: bool = False
    at_ms: int = 0


class KeptTurn(msgspec.Struct, frozen=True, kw_only=True):
    """What is kept of a turn.

    Attributes:
        previous: The request id of the turn before it, if any.
        content: Its input, then the data of its events, each with a line feed.
        until_ms: Wall time up to which it is kept.
    """

    previous: str | None
    content: bytes
    until_ms: int


class CloseTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Ends a turn.

    Attributes:
        turn: The turn.
        program: The program whose budget it used, if any.
        tokens: What it generated.
        kept: What is to be kept of it, if anything.
        at_ms: Wall time at the caller.
    """

    turn: TurnKey
    program: ProgramId | None = None
    tokens: int = 0
    kept: KeptTurn | None = None
    at_ms: int = 0


LedgerCommand = OpenTurn | CloseTurn


class OpenOutcome(enum.Enum):
    """What became of a turn that was to begin.

    Attributes:
        OPENED: It may be sent.
        EXHAUSTED: The budget does not hold its most tokens.
        UNKNOWN_TURN: The workspace has no such turn to continue.
        ENDED: It has ended before; this beginning of it comes too late.
    """

    OPENED = 'opened'
    EXHAUSTED = 'exhausted'
    UNKNOWN_TURN = 'unknown_turn'
    ENDED = 'ended'


class OpenReply(msgspec.Struct, frozen=True, tag=True):
    """Answers the beginning of a turn.

    Attributes:
        outcome: What became of it.
        chain: Contents of the turns that it continues, oldest first.
        spent: Tokens that the program has used or reserved.
        is_new: Whether this is the first turn of its program.
        under_way: Turns of the program that count at their most.
    """

    outcome: OpenOutcome
    chain: bytes = b''
    spent: int = 0
    is_new: bool = False
    under_way: int = 0


class CloseReply(msgspec.Struct, frozen=True, tag=True):
    """Answers the end of a turn: what was to be kept is kept."""


class LedgerMessage(msgspec.Struct, frozen=True, tag=True):
    """Carries a message between the replicas of the ledger.

    Attributes:
        body: The message.
    """

    body: msgs.Request


class LedgerMessageReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a message between replicas.

    Attributes:
        body: The reply.
    """

    body: msgs.Reply


LedgerRequest = OpenTurn | CloseTurn | LedgerMessage
LedgerReply = OpenReply | CloseReply | LedgerMessageReply
