"""Storage instance: keeps a replica of the ledger."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.replica import LedgerReplica, make_sender
from acaciaramp.conversations.room import LedgerRoom, RoomLimits
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.roles.home_storage import HomeStorage
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import anyio

    from acaciaramp.coordination.messages import View
    from acaciaramp.roles.common import RoleContext

logger = get_logger('storage')


class StorageRole:
    """Composition root of a storage instance."""

    def __init__(self, context: RoleContext) -> None:
        """Create the components; ``run`` starts them.

        Args:
            context: Dependencies that every role shares.
        """
        cfg = context.cfg
        self._context = context
        store = DiskStore(pathlib.Path(cfg.data_folder or '') / 'ledger')
        ledger = Ledger()
        room = LedgerRoom(RoomLimits.of_machine(cfg.memory_mb), context.clock)
        self._group = Group(
            me=Member(context.node.instance, store.incarnation),
            store=store,
            state_machine=ledger,
            send=make_sender(context.links),
            clock=context.clock,
            timing=context.log_timing(room.may_compact),
            tolerated_disk_losses=cfg.tolerated_faults,
            eligible=lambda: self._follower.view.storages,
            retiring=lambda: self._follower.view.retiring,
        )
        self._home = HomeStorage(context, room)
        self._replica = LedgerReplica(
            self._group,
            ledger,
            room,
            context.clock,
            context.metrics,
            self._home.handle,
        )
        self._follower = context.make_follower(
            None, self._on_view, self._replica.status, self._home.status
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then transfer leadership."""
        context = self._context
        context.tasks.start_soon(
            context.serve_peers, {Channel.LEDGER: self._replica.handle_encoded}
        )
        context.tasks.start_soon(self._group.run)
        context.tasks.start_soon(self._group.maintain_membership)
        context.tasks.start_soon(self._replica.run)
        context.tasks.start_soon(self._follower.run)
        await stop.wait()
        logger.info(
            'Stopping; transferring leadership if this replica leads.',
            leads=self._group.replica.is_ready,
        )
        await self._home.transfer_leadership()
        await self._group.replica.transfer_leadership()

    def _on_view(self, view: View) -> None:
        """Bootstrap the ledger if the view names the replica here as its seed.

        A replica that has any entry is left as it is.
        """
        is_seed = view.ledger_seed == self._group.me
        if is_seed and self._group.replica.log.last_index == 0:
            self._group.bootstrap()
        self._home.on_view(view)
