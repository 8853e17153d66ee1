"""Retirement of storage instances: admission and progress of orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.coordination.homes import is_needed_at_home
from acaciaramp.coordination.messages import OrderOutcome, Retire
from acaciaramp.settings.node import RoleName

if TYPE_CHECKING:
    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.state_machine import ControlState


def decide_retirement(
    name: str, state: ControlState, directory: Directory, target_voters: int
) -> tuple[OrderOutcome, Retire | None]:
    """Decide on an order to retire a storage instance.

    An order for an instance that is already being retired is DONE.

    Args:
        name: Name of the instance.
        state: Replicated state of the control group.
        directory: Instances that have reported.
        target_voters: Storage instances that must remain.

    Returns:
        The outcome, and the command to commit if the order needs one.
    """
    if name in state.retiring:
        return OrderOutcome.DONE, None
    node = directory.find_by_name(name)
    if node is None or node.role is not RoleName.STORAGE:
        return OrderOutcome.UNKNOWN, None
    retiring = {*state.retiring, name}
    remaining = [
        other
        for other in directory.nodes_with_role(RoleName.STORAGE)
        if other.name not in retiring
    ]
    if len(remaining) < target_voters or is_needed_at_home(
        node, state.home_seeds, directory, state.retiring
    ):
        return OrderOutcome.REFUSED, None
    return OrderOutcome.DONE, Retire(node)


def retirement_progress(
    name: str, state: ControlState, directory: Directory, target_voters: int
) -> OrderOutcome:
    """Return the progress of the retirement of a storage instance.

    It is complete once the ledger's leader reports the full number of voters
    and the instance is not among them.

    Args:
        name: Name of the instance.
        state: Replicated state of the control group.
        directory: Instances that have reported.
        target_voters: Number of voters that the ledger needs.
    """
    node = state.retiring.get(name)
    if node is None:
        return OrderOutcome.UNKNOWN
    voters = directory.ledger_voters()
    if voters is None or len(voters) < target_voters:
        return OrderOutcome.RUNNING
    home_voters = directory.home_voters(node.region)
    is_removed = node.instance not in {*voters, *home_voters}
    return OrderOutcome.DONE if is_removed else OrderOutcome.RUNNING
