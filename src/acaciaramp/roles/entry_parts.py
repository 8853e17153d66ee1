"""Composition of parts of an entry instance that need several dependencies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.conversations.cache import ChainCache
from acaciaramp.conversations.client import LedgerClient
from acaciaramp.conversations.homes import HomeLedgers
from acaciaramp.conversations.turns import TurnManager
from acaciaramp.forwarding.load_exchange import LoadExchange
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.peering.framing import FrameRoom
from acaciaramp.scheduling.load_board import (
    USUAL_DURATION_PERCENT,
    LoadBoard,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import View
    from acaciaramp.ids import InstanceId
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.roles.common import RoleContext
    from acaciaramp.settings.node import NodeSettings

# Share of the time in which a leaving endpoint must stop being sent requests; the
# rest passes until this instance learns that it is leaving.
_LEAVING_GRACE_SHARE = 0.3
# Part of the bytes for callers that the contents of large turns take, each of which
# is held several times, while they are being committed.
_COMMITS_FRACTION = 0.125


def make_selector(
    cfg: NodeSettings,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> EndpointSelector:
    """Create the endpoint selector for the location in the settings.

    Args:
        cfg: Settings of the instance.
        clock: Source of time.
        rng: Chooses among equal endpoints.
        metrics: Counts implausible load reports.
    """
    return EndpointSelector(
        cfg.availability_zone,
        cfg.region,
        cfg.regions,
        clock,
        rng,
        leaving_grace_ms=int(_LEAVING_GRACE_SHARE * cfg.bounds.drain_ms),
        board=LoadBoard(
            clock,
            metrics,
            # Admission needs the load of all endpoints, also of those that do
            # not state how long work takes.
            USUAL_DURATION_PERCENT
            if cfg.exchange_loads and cfg.has_admission_control
            else None,
        ),
    )


def make_load_exchange(
    context: RoleContext, selector: EndpointSelector, rng: random.Random
) -> LoadExchange:
    """Create the exchange of load reports with other entry instances.

    Args:
        context: Dependencies that every role shares.
        selector: Holds the load of the endpoints.
        rng: Chooses the peers.
    """
    return LoadExchange(
        context.node,
        selector,
        context.links,
        context.clock,
        rng,
        context.metrics,
        context.tasks,
    )


def make_turn_manager(
    context: RoleContext,
    ledger_instances: Callable[[], Sequence[InstanceId]],
    view: Callable[[], View],
) -> TurnManager:
    """Create the manager of turns with its clients of the ledgers.

    Args:
        context: Dependencies that every role shares.
        ledger_instances: Returns the instances of which one leads the ledger.
        view: Returns the newest view, which names the ledgers of regions.
    """
    cfg = context.cfg
    return TurnManager(
        LedgerClient(context.links, ledger_instances, context.clock),
        ChainCache(),
        context.clock,
        context.tasks,
        HomeLedgers(
            context.links,
            lambda: view().home_ledgers,
            context.clock,
            cfg.region,
            cfg.regions.values(),
        ),
        FrameRoom(int(_COMMITS_FRACTION * context.callers.limits.most_bytes)),
    )
