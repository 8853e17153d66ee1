"""Messages between the hosts of cells."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks whether an instance remembers anything of a cell."""


class StatusReply(msgspec.Struct, frozen=True, tag=True):
    """Answers a status request.

    Attributes:
        has_memory: Whether the instance has entries of the cell.
    """

    has_memory: bool


class CellRequest(msgspec.Struct, frozen=True):
    """A request for the replica of one cell.

    Attributes:
        cell: The cell.
        body: The request.
    """

    cell: InstanceId
    body: msgs.Request | StatusRequest


CellReply = msgs.Reply | StatusReply
