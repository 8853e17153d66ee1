"""Who takes part in a replicated log."""

from __future__ import annotations

import msgspec

from acaciaramp.ids import InstanceId


class Member(msgspec.Struct, frozen=True, order=True):
    """One replica that remembers all that it has acknowledged.

    Attributes:
        instance: Where it runs.
        incarnation: Changes whenever the replica has lost its memory.
    """

    instance: InstanceId
    incarnation: str


class Members(msgspec.Struct, frozen=True):
    """The replicas of one log.

    Attributes:
        voters: Replicas whose majority decides.
        learners: Replicas that only receive.
    """

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()

    @property
    def instances(self) -> list[InstanceId]:
        """The instances of all replicas."""
        return [member.instance for member in (*self.voters, *self.learners)]

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    def voter(self, instance: InstanceId) -> Member | None:
        """Return the voter at an instance, if there is one."""
        found = [item for item in self.voters if item.instance == instance]
        return found[0] if found else None

    def without(self, instance: InstanceId) -> Members:
        """Return the members without the replica at an instance."""
        return Members(
            tuple(item for item in self.voters if item.instance != instance),
            tuple(item for item in self.learners if item.instance != instance),
        )

    def with_learner(self, learner: Member) -> Members:
        """Return the members with one more learner."""
        return Members(self.voters, (*self.learners, learner))

    def promoted(self, learner: Member) -> Members:
        """Return the members with a learner made a voter."""
        rest = tuple(item for item in self.learners if item != learner)
        return Members((*self.voters, learner), rest)
