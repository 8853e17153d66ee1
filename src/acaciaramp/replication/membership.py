"""Chooses the next change towards the target number of voters.

Each change adds, promotes or removes one replica. A replica that has failed or
has lost its state is removed before another one is added; a retiring one is
removed only after its replacement votes. A new replica is a learner until it
has caught up.
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
    failed_since_ms: int,
    spares: Collection[Member],
    target_voters: int = TARGET_VOTERS,
    retiring: Collection[InstanceId] = (),
) -> Members | None:
    """Return the membership to change to, or None if no change is due.

    Args:
        members: The current membership.
        progress: Replication progress, as tracked by the leader.
        me: The leader.
        commit: Index that a learner must have reached to be promoted.
        failed_since_ms: A replica without contact since this time has failed;
            on the leader's clock.
        spares: Replicas that are reachable and not members, in order of
            preference.
        target_voters: Number of voters to have once no member is retiring.
        retiring: Instances whose replicas are to be replaced.
    """
    lost_instance = first_with_lost_state(members, progress)
    if lost_instance is not None:
        return members.without(lost_instance)
    caught_up = _first_caught_up(members, progress, commit)
    if caught_up is not None:
        return members.with_promoted(caught_up)
    to_replace = [item for item in members.instances if item in retiring]
    if len(members.voters) > target_voters and to_replace:
        return members.without(to_replace[0])
    failed = _first_failed(members, progress, me, failed_since_ms)
    if failed is not None and spares:
        return members.without(failed)
    if len(members.instances) < target_voters + len(to_replace):
        addable = [
            spare for spare in spares if spare.instance not in members.instances
        ]
        if addable:
            return members.with_learner(addable[0])
    return None


def first_with_lost_state(
    members: Members, progress: Progress
) -> InstanceId | None:
    """Return the instance of a member that has lost its state, if any."""
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


def _first_failed(
    members: Members, progress: Progress, me: Member, since_ms: int
) -> InstanceId | None:
    for member in (*members.learners, *members.voters):
        peer = progress.peers.get(member.instance)
        if member == me or peer is None:
            continue
        if peer.last_contact_ms < since_ms:
            return member.instance
    return None
