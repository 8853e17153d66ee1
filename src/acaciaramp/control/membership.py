"""Decides the next change of the control group's membership.

Three replicas vote. Every other instance is a learner and receives the
documents that way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.replication.membership import (
    TARGET_VOTERS,
    first_with_lost_state,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.progress import Progress


def next_control_membership(
    members: Members,
    progress: Progress,
    *,
    me: Member,
    commit: int,
    dead_since_ms: int,
    non_members: Collection[Member],
) -> Members | None:
    """Return the members to change to, None if nothing has to change.

    The result differs from ``members`` in one replica.

    Args:
        members: The members now.
        progress: Replication progress, as tracked by the leader.
        me: The leader.
        commit: Index that a learner must have reached to be promoted.
        dead_since_ms: A replica without contact since this time has failed; on
            the leader's clock.
        non_members: Replicas that reply and are not members.
    """
    lost_instance = first_with_lost_state(members, progress)
    if lost_instance is not None:
        return members.without(lost_instance)
    ready = [
        learner
        for learner in members.learners
        if progress.match_index_of(learner) >= commit
        and progress.peers[learner.instance].last_contact_ms >= dead_since_ms
    ]
    if ready and len(members.voters) < TARGET_VOTERS:
        return members.with_promoted(ready[0])
    dead = [
        voter
        for voter in members.voters
        if voter != me
        and progress.peers[voter.instance].last_contact_ms < dead_since_ms
    ]
    if dead and ready:
        return members.without(dead[0].instance)
    newcomer = next(iter(non_members), None)
    return None if newcomer is None else members.with_learner(newcomer)
