"""Composition of the admission control of an entry instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.forwarding.overload import OverloadControl
from acaciaramp.forwarding.service_load import SelectorLoad

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.ids import WorkspaceId
    from acaciaramp.roles.common import RoleContext


def make_overload_control(
    context: RoleContext,
    selector: EndpointSelector,
    priority_of: Callable[[WorkspaceId], int | None],
    rng: random.Random,
) -> OverloadControl | None:
    """Return the admission control; None if the settings ask for none.

    Args:
        context: Dependencies that every role shares.
        selector: Knows the endpoints and their load.
        priority_of: Returns the priority of a workspace, if it has its own.
        rng: Spreads the time at which refused callers come back.
    """
    if not context.cfg.has_admission_control:
        return None
    return OverloadControl(
        SelectorLoad(selector, context.clock),
        priority_of,
        context.clock,
        context.metrics,
        rng,
    )
