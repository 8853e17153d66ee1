"""Decides the next change that brings a group to full strength.

One replica changes at a time. A replica that has failed or forgotten is out
before another one comes in, and a new one votes only once it has caught up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from acaciaramp.ids import InstanceId
    from acaciaramp.replication.members import Member, Members
    from acaciaramp.replication.progress import Progress

TARGET_VOTERS = 3


def next_membership_change(
    members: Members,
    progress: Progress,
    *,
    me: Member,
    commit: int,
    dead_since_ms: int,
    spares: Collection[Member],
    target_voters: int = TARGET_VOTERS,
    retiring: Collection[InstanceId] = (),
) -> Members | None:
    """Return the members to change to, None if nothing has to change.

    Args:
        members: The members now.
        progress: What the leader knows of the others.
        me: The leader.
        commit: Index up to which entries are committed.
        dead_since_ms: A voter not heard since then has failed.
        spares: Replicas that answer and take no part, the best first.
        target_voters: How many voters there should be.
        retiring: Instances whose replicas have to be replaced by others.
    """
    forgotten = first_with_lost_state(members, progress)
    if forgotten is not None:
        return members.without(forgotten)
    caught_up = _first_caught_up(members, progress, commit)
    if caught_up is not None:
        return members.promoted(caught_up)
    leaving = [item for item in members.instances if item in retiring]
    if len(members.voters) > target_voters and leaving:
        return members.without(leaving[0])
    dead = _first_dead(members, progress, me, dead_since_ms)
    if dead is not None and spares:
        return members.without(dead)
    if len(members.instances) < target_voters + len(leaving):
        outside = [
            spare for spare in spares if spare.instance not in members.instances
        ]
        if outside:
            return members.with_learner(outside[0])
    return None


def first_with_lost_state(
    members: Members, progress: Progress
) -> InstanceId | None:
    """Return where a member has lost its memory, None if none has."""
    for member in (*members.voters, *members.learners):
        peer = progress.peers.get(member.instance)
        if peer is not None and peer.replica not in {None, member}:
            return member.instance
    return None


def _first_caught_up(
    members: Members, progress: Progress, commit: int
) -> Member | None:
    for learner in members.learners:
        if progress.match_index_of(learner) >= commit:
            return learner
    return None


def _first_dead(
    members: Members, progress: Progress, me: Member, since_ms: int
) -> InstanceId | None:
    for member in (*members.learners, *members.voters):
        peer = progress.peers.get(member.instance)
        if member == me or peer is None:
            continue
        if peer.last_contact_ms < since_ms:
            return member.instance
    return None
