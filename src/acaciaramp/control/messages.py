"""Messages of the control group between instances."""

from __future__ import annotations

import msgspec

from acaciaramp.control.state_machine import Judgement
from acaciaramp.replication import messages as msgs


class ProposeRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader to propose a document.

    Attributes:
        command: The encoded proposed document.
    """

    command: bytes


class ProposeReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a proposal.

    Attributes:
        judgement: What became of it.
    """

    judgement: Judgement


class StandingRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks which document is in force at an instance."""


class StandingReply(msgspec.Struct, frozen=True, tag=True):
    """Tells which document is in force at an instance.

    Attributes:
        has_memory: Whether the instance has entries of the control group.
        revision: The revision in force; 0 for none.
        since_ms: Wall time since when it is in force here.
        is_leader: Whether the instance leads the control group.
    """

    has_memory: bool
    revision: int
    since_ms: int
    is_leader: bool


Request = msgs.Request | ProposeRequest | StandingRequest
Reply = msgs.Reply | ProposeReply | StandingReply
