"""Messages between the cell hosts of different instances."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId
from acaciaramp.replication import messages as msgs


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks whether an instance has any log entries of a cell."""


class StatusReply(msgspec.Struct, frozen=True, tag=True):
    """Reply to a status request.

    Attributes:
        has_memory: Whether the instance has log entries of the cell.
    """

    has_memory: bool


class CellRequest(msgspec.Struct, frozen=True):
    """A request to the receiver's replica of one cell.

    Attributes:
        cell: Name of the cell.
        body: The request.
    """

    cell: InstanceId
    body: msgs.Request | StatusRequest


CellReply = msgs.Reply | StatusReply
