"""Replica of the ledger of this region on a storage instance."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from acaciaramp.conversations.ledger import Ledger
from acaciaramp.conversations.replica import LedgerReplica, make_sender
from acaciaramp.coordination.messages import LedgerReplicaStatus
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Sequence

    from acaciaramp.conversations.messages import HomeRequest
    from acaciaramp.conversations.room import LedgerRoom
    from acaciaramp.coordination.homes import HomeLedger, HomeSeed
    from acaciaramp.coordination.messages import View
    from acaciaramp.ids import InstanceId
    from acaciaramp.roles.common import RoleContext

logger = get_logger('storage')


class HomeStorage:
    """Starts a replica of the region's ledger once the view names it.

    Without home regions in the routing table nothing is created on the disk.
    """

    def __init__(self, context: RoleContext, room: LedgerRoom) -> None:
        """Create it without a replica.

        Args:
            context: Dependencies that every role shares.
            room: Room for the turns of all ledgers here.
        """
        self._context = context
        self._room = room
        self._region = context.cfg.region
        self._home: HomeLedger | None = None
        self._retiring: tuple[InstanceId, ...] = ()
        self._store: DiskStore | None = None
        self._replica: LedgerReplica | None = None

    def on_view(self, view: View) -> None:
        """Start or bootstrap the replica as the view says."""
        self._retiring = view.retiring
        found = [
            item for item in view.home_ledgers if item.region == self._region
        ]
        if not found:
            return
        self._home = found[0]
        if self._store is None:
            folder = pathlib.Path(self._context.cfg.data_folder or '')
            self._store = DiskStore(folder / 'home-ledger')
        if self._home.seed is not None and self._replica is None:
            self._replica = self._start(self._store, self._home.seed)

    def status(self) -> LedgerReplicaStatus | None:
        """Return the status for the control instances; None without a store."""
        if self._store is None:
            return None
        if self._replica is None:
            return LedgerReplicaStatus(replica=self._me(self._store))
        return self._replica.status()

    async def handle(self, req: HomeRequest) -> bytes:
        """Handle a request to the ledger of a region.

        Raises:
            CallError: It is the ledger of another region, or there is no replica
                here yet, or the replica does not lead.
        """
        if req.region != self._region:
            raise CallError(
                ErrorCode.BAD_REQUEST, f'this is not region "{req.region}"'
            )
        if self._replica is None:
            raise CallError(
                ErrorCode.NOT_LEADER, 'no replica of the ledger of the region'
            )
        return await self._replica.handle_encoded(req.body)

    async def transfer_leadership(self) -> None:
        """Transfer the leadership if this replica leads."""
        if self._replica is not None:
            await self._replica.group.replica.transfer_leadership()

    def _start(self, store: DiskStore, seed: HomeSeed) -> LedgerReplica:
        context = self._context
        ledger = Ledger()
        group = Group(
            me=self._me(store),
            store=store,
            state_machine=ledger,
            send=make_sender(context.links, self._region),
            clock=context.clock,
            timing=context.log_timing(self._room.may_compact),
            tolerated_disk_losses=seed.tolerated_losses,
            eligible=self._eligible,
            retiring=lambda: self._retiring,
            target_voters=2 * context.cfg.tolerated_faults + 1,
        )
        logger.info(
            'Starting a replica of the ledger of this region.',
            region=self._region,
            is_seed=seed.member == group.me,
            tolerated_losses=seed.tolerated_losses,
        )
        if seed.member == group.me and group.replica.log.last_index == 0:
            group.bootstrap()
        context.tasks.start_soon(group.run)
        context.tasks.start_soon(group.maintain_membership)
        replica = LedgerReplica(
            group, ledger, self._room, context.clock, context.metrics
        )
        context.tasks.start_soon(replica.run)
        return replica

    def _eligible(self) -> Sequence[InstanceId]:
        return () if self._home is None else self._home.storages

    def _me(self, store: DiskStore) -> Member:
        return Member(self._context.node.instance, store.incarnation)
