"""A storage instance: keeps a replica of the ledger."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.replica import LedgerReplica, make_sender
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.roles.common import LOG_TIMING, ignore
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import anyio

    from acaciaramp.coordination.messages import View
    from acaciaramp.roles.common import RoleContext

logger = get_logger('storage')


class StorageRole:
    """All parts of a storage instance."""

    def __init__(self, base: RoleContext) -> None:
        """Create the parts; ``run`` starts them.

        Args:
            base: Parts that every role has.
        """
        cfg = base.cfg
        self._base = base
        store = DiskStore(pathlib.Path(cfg.data_folder or '') / 'ledger')
        self._group = Group(
            me=Member(base.node.instance, store.incarnation),
            store=store,
            state_machine=Ledger(),
            send=make_sender(base.links),
            clock=base.clock,
            timing=LOG_TIMING,
            tolerated_disk_losses=cfg.tolerated_faults,
            eligible=lambda: self._follower.view.storages,
            retiring=lambda: self._follower.view.retiring,
        )
        self._replica = LedgerReplica(self._group, base.metrics)
        self._follower = base.make_follower(
            ignore, self._take_view, self._replica.status
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then hand over."""
        base = self._base
        base.tasks.start_soon(
            base.serve_peers, {Channel.LEDGER: self._replica.handle_encoded}
        )
        base.tasks.start_soon(self._group.run)
        base.tasks.start_soon(self._group.maintain_membership)
        base.tasks.start_soon(self._follower.run)
        await stop.wait()
        logger.info('Stopping.', leads=self._group.replica.is_ready)
        await self._group.replica.transfer_leadership()

    def _take_view(self, view: View) -> None:
        """Begin the ledger if it is to begin here and never has."""
        is_seed = view.ledger_seed == self._group.me
        if is_seed and self._group.replica.log.last_index == 0:
            self._group.bootstrap()
