"""Membership of a replicated log: its voters and learners."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId


class Member(msgspec.Struct, frozen=True, order=True):
    """Identity of a replica, which changes when it loses its stored state.

    Attributes:
        instance: The instance that runs the replica.
        incarnation: Differs after each loss of the stored state, so that
            earlier acknowledgements of the replica no longer count.
    """

    instance: InstanceId
    incarnation: str


class Members(msgspec.Struct, frozen=True):
    """The replicas of one log.

    Attributes:
        voters: Replicas that vote and whose majority commits entries.
        learners: Replicas that receive entries but neither vote nor count.
    """

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def instances(self) -> list[InstanceId]:
        """Instances of all voters and learners."""
        return [member.instance for member in (*self.voters, *self.learners)]

    @property
    def majority(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def voter(self, instance: InstanceId) -> Member | None:
        """Return the voter on an instance, or None if there is none."""
        found = [voter for voter in self.voters if voter.instance == instance]
        return found[0] if found else None

    def without(self, instance: InstanceId) -> Members:
        """Return the membership without the replica on an instance."""
        return Members(
            tuple(voter for voter in self.voters if voter.instance != instance),
            tuple(item for item in self.learners if item.instance != instance),
        )

    def with_learner(self, learner: Member) -> Members:
        """Return the membership with one more learner."""
        return Members(self.voters, (*self.learners, learner))

    def with_promoted(self, learner: Member) -> Members:
        """Return the membership with a learner promoted to voter."""
        learners = tuple(item for item in self.learners if item != learner)
        return Members((*self.voters, learner), learners)
