"""Errors raised by replicated logs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.errors import AcaciarampError

if TYPE_CHECKING:
    from acaciaramp.ids import InstanceId


class NotLeaderError(AcaciarampError):
    """The replica is not the leader; the command was not proposed.

    Attributes:
        leader: The current leader, or None if it is unknown.
    """

    def __init__(self, leader: InstanceId | None) -> None:
        """Create the error with the leader to try instead."""
        super().__init__(f'not the leader; the leader is {leader}')
        self.leader = leader


class LeadershipLostError(AcaciarampError):
    """Leadership was lost during a proposal, which may still be committed."""


class PeerError(AcaciarampError):
    """No usable reply came from another replica."""
