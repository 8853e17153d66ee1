"""Orders to empty a storage instance, and how far they are."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.coordination.messages import OrderOutcome, Retire
from acaciaramp.settings.node import RoleName

if TYPE_CHECKING:
    from acaciaramp.coordination.directory import Directory
    from acaciaramp.coordination.state_machine import ControlState


def judge(
    name: str, state: ControlState, directory: Directory, strength: int
) -> tuple[OrderOutcome, Retire | None]:
    """Return what becomes of an order, and the command that it needs.

    Args:
        name: The instance, as operators know it.
        state: What the control instances agree on.
        directory: Instances that reported.
        strength: Storage instances that have to be left.
    """
    if name in state.retiring:
        return OrderOutcome.DONE, None
    node = directory.named(name)
    if node is None or node.role is not RoleName.STORAGE:
        return OrderOutcome.UNKNOWN, None
    retiring = {*state.retiring, name}
    left = [
        other
        for other in directory.nodes(RoleName.STORAGE)
        if other.name not in retiring
    ]
    if len(left) < strength:
        return OrderOutcome.REFUSED, None
    return OrderOutcome.DONE, Retire(node)


def progress_of(
    name: str, state: ControlState, directory: Directory, strength: int
) -> OrderOutcome:
    """Return how far an order is.

    It is done once the ledger has all its voters elsewhere, on the word of
    their leader.

    Args:
        name: The instance, as operators know it.
        state: What the control instances agree on.
        directory: Instances that reported.
        strength: Voters that the ledger needs.
    """
    node = state.retiring.get(name)
    if node is None:
        return OrderOutcome.UNKNOWN
    voters = directory.ledger_voters()
    if voters is None or len(voters) < strength:
        return OrderOutcome.RUNNING
    is_out = node.instance not in voters
    return OrderOutcome.DONE if is_out else OrderOutcome.RUNNING
