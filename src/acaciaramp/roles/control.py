"""Control instance: replicates the routing table and publishes the view."""

from __future__ import annotations

import functools
import pathlib
from typing import TYPE_CHECKING

from acaciaramp.clock import MS_PER_SECOND
from acaciaramp.coordination.codec import (
    decode_reply,
    decode_request,
    encode,
)
from acaciaramp.coordination.directory import Directory
from acaciaramp.coordination.leader import Coordinator
from acaciaramp.coordination.locality import order_as_replicas
from acaciaramp.coordination.messages import (
    ReplicaMessage,
    ReplicaMessageReply,
)
from acaciaramp.coordination.state_machine import ControlStateMachine
from acaciaramp.errors import CallError
from acaciaramp.peering.messages import Channel
from acaciaramp.replication.errors import PeerError
from acaciaramp.replication.group import Group
from acaciaramp.replication.members import Member
from acaciaramp.roles.common import noop
from acaciaramp.settings.node import RoleName, split_address
from acaciaramp.storage.store import DiskStore
from acaciaramp.util.header_limits import HeaderLimitProtocol, HeaderLimits
from acaciaramp.util.logs import get_logger
from acaciaramp.util.webserver import bind_socket, running_server

if TYPE_CHECKING:
    import anyio

    from acaciaramp.ids import InstanceId
    from acaciaramp.peering.links import Links
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.requests import Send
    from acaciaramp.roles.adapter import PlatformAdapter
    from acaciaramp.roles.common import RoleContext

logger = get_logger('control')

_REPLICA_TIMEOUT_MS = 1_000
# A leaving endpoint is noticed well within the time after which it must get no
# more requests, even if one read fails.
_LIST_READS_PER_DRAIN = 3
_MAX_HEADER_BYTES = 16_384
_HEADER_TIMEOUT_MS = 5_000
_OPERATOR_LIMITS = HeaderLimits(_MAX_HEADER_BYTES, _HEADER_TIMEOUT_MS)


class ControlRole:
    """Composition root of a control instance."""

    def __init__(self, context: RoleContext, adapter: PlatformAdapter) -> None:
        """Create the components; ``run`` starts them.

        Args:
            context: Dependencies that every role shares.
            adapter: Translates the platform's formats.
        """
        cfg = context.cfg
        self._context = context
        self._adapter = adapter
        state_machine = ControlStateMachine()
        self._directory = Directory(context.clock)
        store = DiskStore(pathlib.Path(cfg.data_folder or '') / 'control')
        self._group = Group(
            me=Member(context.node.instance, store.incarnation),
            store=store,
            state_machine=state_machine,
            send=_make_sender(context.links),
            clock=context.clock,
            timing=context.log_timing(),
            tolerated_disk_losses=cfg.tolerated_faults,
            eligible=self._eligible,
            retiring=list,
        )
        self._coordinator = Coordinator(
            group=self._group,
            state_machine=state_machine,
            directory=self._directory,
            clock=context.clock,
            read_endpoints=adapter.make_reader(
                cfg.instance_list.address, context.clock, context.metrics
            ),
            decode_table=adapter.decode_table,
            target_voters=2 * cfg.tolerated_faults + 1,
            rate_window_ms=int(cfg.bounds.quota_window_s * MS_PER_SECOND),
            list_period_ms=int(cfg.bounds.drain_ms / _LIST_READS_PER_DRAIN),
            metrics=context.metrics,
        )
        state_machine.subscribe(
            self._coordinator.on_state_change,
            self._coordinator.on_rates_applied,
        )
        self._follower = context.make_follower(noop, noop, lambda: None)

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then transfer leadership."""
        context = self._context
        context.tasks.start_soon(
            context.serve_peers, {Channel.COORDINATION: self._handle_encoded}
        )
        context.tasks.start_soon(self._group.run)
        context.tasks.start_soon(self._group.maintain_membership)
        context.tasks.start_soon(self._coordinator.run)
        context.tasks.start_soon(self._follower.run)
        if context.cfg.first_start and context.node.instance == min(
            context.seeds()
        ):
            self._group.bootstrap()
        app = self._adapter.make_operator_app(
            self._follower, context.metrics, context.clock
        )
        sock = bind_socket(*split_address(context.cfg.operators or ''))
        protocol = functools.partial(
            HeaderLimitProtocol,
            lambda: _OPERATOR_LIMITS,
            budget=context.callers,
        )
        backlog = context.callers.limits.backlog
        async with running_server(app, [sock], protocol, backlog):
            await stop.wait()
            logger.info(
                'Stopping; transferring leadership if this replica leads.',
                leads=self._group.replica.is_ready,
            )
            await self._group.replica.transfer_leadership()

    async def _handle_encoded(self, encoded: bytes) -> bytes:
        return encode(await self._coordinator.handle(decode_request(encoded)))

    def _eligible(self) -> list[InstanceId]:
        """Return the instances that may join the control group.

        While this instance leads, its own region is preferred.
        """
        nodes = self._directory.nodes_with_role(RoleName.CONTROL)
        return [
            node.instance
            for node in order_as_replicas(nodes, self._context.cfg.region)
        ]


def _make_sender(links: Links) -> Send:
    """Return a function that sends a request to another replica.

    It raises ``PeerError`` if no reply comes.
    """

    async def send(target: InstanceId, req: msgs.Request) -> msgs.Reply:
        body = encode(ReplicaMessage(req))
        try:
            encoded = await links.get(target).request(
                Channel.COORDINATION, body, _REPLICA_TIMEOUT_MS
            )
            reply = decode_reply(encoded)
        except CallError as exc:
            raise PeerError(str(exc)) from None
        if not isinstance(reply, ReplicaMessageReply):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply.body

    return send
