"""Messages of the control group between instances."""

from __future__ import annotations

import msgspec

from acaciaramp.control.state_machine import ProposalResult
from acaciaramp.replication import messages as msgs


class ProposeRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader to propose a document.

    Attributes:
        command: The encoded ``ProposedDocument``.
    """

    command: bytes


class ProposeReply(msgspec.Struct, frozen=True, tag=True):
    """Carries the result of a proposal.

    Attributes:
        judgement: The result.
    """

    judgement: ProposalResult


class DocumentStatusRequest(msgspec.Struct, frozen=True, tag='StandingRequest'):
    """Asks an instance for the status of its document."""


class DocumentStatusReply(msgspec.Struct, frozen=True, tag='StandingReply'):
    """Status of the document at one instance.

    The operators' status page shows it as JSON.

    Attributes:
        has_memory: Whether the instance has any entry of the group's log.
        revision: The revision in force there; 0 for none.
        since_ms: Wall-clock time in milliseconds since which it is in force
            there.
        is_leader: Whether the instance leads the control group.
    """

    has_memory: bool
    revision: int
    since_ms: int
    is_leader: bool


Request = msgs.Request | ProposeRequest | DocumentStatusRequest
Reply = msgs.Reply | ProposeReply | DocumentStatusReply
