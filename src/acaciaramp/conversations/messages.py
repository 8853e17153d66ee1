"""Requests and replies of the ledger."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.ids import ProgramId, ServiceName, WorkspaceId
from acaciaramp.replication import messages as msgs

if TYPE_CHECKING:
    Content = bytes | memoryview
else:
    # Decoded without a copy: the log entry or snapshot that holds it is in memory
    # anyway.
    Content = memoryview


class TurnKey(msgspec.Struct, frozen=True):
    """Identifies a turn.

    Attributes:
        workspace: Workspace that the turn belongs to.
        attempt: Id of the request that started the turn.
    """

    workspace: WorkspaceId
    attempt: str


class Reservation(msgspec.Struct, frozen=True, kw_only=True):
    """Reserves the tokens of a turn from a program's budget.

    Attributes:
        program: Program that the turn belongs to.
        most_tokens: Maximum number of tokens that the turn may generate.
        budget: Maximum number of tokens of all turns of the program.
    """

    program: ProgramId
    most_tokens: int
    budget: int


class StreamOrigin(msgspec.Struct, frozen=True):
    """Which endpoints write what fits together with the events of a stream.

    Attributes:
        service: Service of the endpoint that began the stream.
        version: Version of that endpoint's software.
    """

    service: ServiceName
    version: str


class BegunStream(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of a stream that another request may resume.

    Attributes:
        origin: The origin.
        number: Counts the origins that were recorded for the same request. The
            highest one holds, whatever the order in which they arrive.
        until_ms: Time after which nobody resumes the stream, milliseconds;
            on the same clock as ``at_ms`` of the command that carries it.
    """

    origin: StreamOrigin
    number: int
    until_ms: int


class OpenTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Command that opens a turn.

    Attributes:
        turn: Key of the turn.
        reservation: Tokens to reserve; None for a turn without a budget.
        previous: Request id of the retained turn that it continues, if any.
        has_chain: Whether the sender has cached the chain of that turn, so
            that the reply can leave it out.
        at_ms: Wall-clock time at the sender, milliseconds; the leader
            replaces it by the ledger's time.
        begins: Stream that the turn begins; None if it cannot be resumed.
        resumes: Request id of the turn whose stream it resumes, if any.
        lasts_ms: Longest time until the turn is closed, milliseconds; 0 if it
            is not known.
        keeps_bytes: Expected size of the content that is going to be stored; 0
            if the turn is not retained.
    """

    turn: TurnKey
    reservation: Reservation | None = None
    previous: str | None = None
    has_chain: bool = False
    at_ms: int = 0
    begins: BegunStream | None = None
    resumes: str | None = None
    lasts_ms: int = 0
    keeps_bytes: int = 0


class RetainedTurn(msgspec.Struct, frozen=True, kw_only=True):
    """Stored input and output of a turn.

    Attributes:
        previous: Request id of the turn that it continues, if any.
        content: Input, then the data of each output event, each followed by a
            line feed.
        until_ms: Time at which the turn expires, milliseconds; on the same
            clock as ``at_ms`` of the command that carries it.
    """

    previous: str | None
    content: Content
    until_ms: int


class CloseTurn(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Command that closes a turn.

    Attributes:
        turn: Key of the turn.
        program: Program whose budget the turn used, if any.
        tokens: Number of tokens that the turn generated.
        kept: The turn to store; None if it is not retained.
        at_ms: Wall-clock time at the sender, milliseconds; the leader
            replaces it by the ledger's time.
        endpoint: Endpoint that ran the turn; empty if none did.
    """

    turn: TurnKey
    program: ProgramId | None = None
    tokens: int = 0
    kept: RetainedTurn | None = None
    at_ms: int = 0
    endpoint: str = ''


LedgerCommand = OpenTurn | CloseTurn


class OpenOutcome(enum.Enum):
    """Result of opening a turn.

    Attributes:
        OPENED: The turn may be sent to an endpoint.
        EXHAUSTED: The remaining budget is less than the turn may generate.
        UNKNOWN_TURN: The workspace has no stored turn with the previous id.
        ENDED: The turn was closed before; this command is a late duplicate.
        UNKNOWN_STREAM: No origin is stored of the stream to be resumed.
        NO_ROOM: There is no memory for another turn.
        TOO_LONG: The chain that it continues is too long to be sent.
    """

    OPENED = 'opened'
    EXHAUSTED = 'exhausted'
    UNKNOWN_TURN = 'unknown_turn'
    ENDED = 'ended'
    UNKNOWN_STREAM = 'unknown_stream'
    NO_ROOM = 'no_room'
    TOO_LONG = 'too_long'


class OpenReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to :class:`OpenTurn`.

    Attributes:
        outcome: Result of the command.
        chain: Contents of the turns that it continues, oldest first.
        spent: Tokens that the program has used or reserved.
        is_new: Whether this is the first turn of its program.
        under_way: Number of open turns of the program, each of which counts
            with its maximum; set for ``EXHAUSTED`` only.
        endpoint: Endpoint that ran the program's last turn, whose cache may
            hold the beginning of the prompt; empty if unknown.
        origin: Origin of the stream that the turn resumes, if it resumes one.
        is_unused: Whether no turn of its program has used or reserved tokens;
            earlier ones may have been refused. A leader of an earlier build
            never says so.
    """

    outcome: OpenOutcome
    chain: bytes = b''
    spent: int = 0
    is_new: bool = False
    under_way: int = 0
    endpoint: str = ''
    origin: StreamOrigin | None = None
    is_unused: bool = False


class CloseReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to :class:`CloseTurn`: the turn is settled.

    Attributes:
        is_stored: Whether a retained turn is stored; it is not if the turn that
            it continues has expired, or if there is no room.
        has_room: Whether there was room for the turn.
    """

    is_stored: bool = True
    has_room: bool = True


class LedgerMessage(msgspec.Struct, frozen=True, tag=True):
    """Envelope of a replication request between replicas of the ledger.

    Attributes:
        body: The request.
    """

    body: msgs.Request


class LedgerMessageReply(msgspec.Struct, frozen=True, tag=True):
    """Envelope of a replication reply between replicas of the ledger.

    Attributes:
        body: The reply.
    """

    body: msgs.Reply


class HomeRequest(msgspec.Struct, frozen=True, tag=True):
    """Envelope of a request to the ledger of one region.

    Attributes:
        region: The region; an instance of another one refuses the request.
        body: The encoded request.
    """

    region: str
    body: bytes


LedgerRequest = OpenTurn | CloseTurn | LedgerMessage | HomeRequest
LedgerReply = OpenReply | CloseReply | LedgerMessageReply
