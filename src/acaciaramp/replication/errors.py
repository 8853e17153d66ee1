"""Errors of replicated logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from acaciaramp.ids import InstanceId


class NotLeaderError(AcaciarampError):
    """The replica does not lead, so nothing was proposed.

    Attributes:
        leader: The leader, as far as it is known.
    """

    def __init__(self, leader: InstanceId | None) -> None:
        """Create the error."""
        super().__init__(f'not the leader; the leader is {leader}')
        self.leader = leader


class LeadershipLostError(AcaciarampError):
    """The replica lost its leadership; the proposal may yet be committed."""


class PeerError(AcaciarampError):
    """Another replica did not answer."""
