"""Decides the next change of the control group's members.

Three replicas vote. Every other instance is a learner, which is how documents
reach it.
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


def next_control_change(
    members: Members,
    progress: Progress,
    *,
    me: Member,
    commit: int,
    dead_since_ms: int,
    outside: Collection[Member],
) -> Members | None:
    """Return the members to change to, None if nothing has to change.

    Args:
        members: The members now.
        progress: What the leader knows of the others.
        me: The leader.
        commit: Index up to which entries are committed.
        dead_since_ms: A replica not heard since then has failed.
        outside: Replicas that answer and take no part.
    """
    forgotten = first_with_lost_state(members, progress)
    if forgotten is not None:
        return members.without(forgotten)
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
    newcomer = next(iter(outside), None)
    return None if newcomer is None else members.with_learner(newcomer)
