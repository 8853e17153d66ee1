"""A control instance: keeps the routing table and the list of instances."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

from acaciaramp.coordination.codec import (
    decode_reply,
    decode_request,
    encode,
)
from acaciaramp.coordination.directory import Directory
from acaciaramp.coordination.leader import Coordinator
from acaciaramp.coordination.messages import (
    ReplicaMessage,
    ReplicaMessageReply,
)
from acaciaramp.coordination.state_machine import ControlMachine
from acaciaramp.errors import CallError
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.roles.common import LOG_TIMING, ignore
from acaciaramp.settings.node import RoleName, split_address
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import bind_socket, serving

if TYPE_CHECKING:
    import anyio

    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.links import Links
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.requests import Send
    from acaciaramp.roles.adapter import PlatformAdapter
    from acaciaramp.roles.common import RoleContext

logger = get_logger('control')

_PEER_WAIT_MS = 1_000


class ControlRole:
    """All parts of a control instance."""

    def __init__(self, base: RoleContext, adapter: PlatformAdapter) -> None:
        """Create the parts; ``run`` starts them.

        Args:
            base: Parts that every role has.
            adapter: Translates for the platform.
        """
        cfg = base.cfg
        self._base = base
        self._adapter = adapter
        self._machine = ControlMachine(self._on_change, self._on_rates)
        self._directory = Directory(base.clock)
        store = DiskStore(pathlib.Path(cfg.data_folder or '') / 'control')
        self._group = Group(
            me=Member(base.node.instance, store.incarnation),
            store=store,
            state_machine=self._machine,
            send=_send_over(base.links),
            clock=base.clock,
            timing=LOG_TIMING,
            tolerated_disk_losses=cfg.tolerated_faults,
            eligible=self._candidates,
            retiring=list,
        )
        self._coordinator = Coordinator(
            group=self._group,
            machine=self._machine,
            directory=self._directory,
            clock=base.clock,
            read_endpoints=adapter.make_reader(
                cfg.instance_list.address, base.clock, base.metrics
            ),
            decode_table=adapter.decode_table,
            strength=2 * cfg.tolerated_faults + 1,
            metrics=base.metrics,
        )
        self._follower = base.make_follower(ignore, ignore, lambda: None)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then hand over."""
        base = self._base
        base.tasks.start_soon(
            base.serve_peers, {Channel.COORDINATION: self._answer_wire}
        )
        base.tasks.start_soon(self._group.run)
        base.tasks.start_soon(self._group.maintain_membership)
        base.tasks.start_soon(self._coordinator.run)
        base.tasks.start_soon(self._follower.run)
        if base.cfg.first_start and base.node.instance == min(base.seeds()):
            self._group.bootstrap()
        app = self._adapter.make_operator_app(self._follower, base.metrics)
        port = bind_socket(*split_address(base.cfg.operators or ''))
        async with serving(app, [port]):
            await stop.wait()
            logger.info('Stopping.', leads=self._group.replica.is_ready)
            await self._group.replica.transfer_leadership()

    async def _answer_wire(self, wire: bytes) -> bytes:
        return encode(await self._coordinator.answer(decode_request(wire)))

    def _candidates(self) -> list[InstanceId]:
        nodes = self._directory.nodes(RoleName.CONTROL)
        return [node.instance for node in nodes]

    def _on_change(self) -> None:
        self._coordinator.notify()

    def _on_rates(self) -> None:
        self._coordinator.note_rates()


def _send_over(links: Links) -> Send:
    """Return the function that sends to other replicas."""

    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        body = encode(ReplicaMessage(req))
        try:
            wire = await links.get(target).request(
                Channel.COORDINATION, body, _PEER_WAIT_MS
            )
        except CallError as exc:
            raise PeerError(str(exc)) from None
        reply = decode_reply(wire)
        if not isinstance(reply, ReplicaMessageReply):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply.body

    return send
