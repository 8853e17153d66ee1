"""One instance's part in the control group: documents and membership."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio

from acaciaramp.control import messages as ctl
from acaciaramp.control.membership import next_control_membership
from acaciaramp.control.state_machine import (
    DocumentStateMachine,
    ProposalResult,
    encode_proposal,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.replication.errors import (
    LeadershipLostError,
    NotLeaderError,
    PeerError,
)
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.replica import Replica
from acaciaramp.util.logs import get_logger
from acaciaramp.verdicts import Verdict

if TYPE_CHECKING:
    from acaciaramp.clock import Clock
    from acaciaramp.documents.model import Document
    from acaciaramp.documents.registry import Registry
    from acaciaramp.ids import InstanceId
    from acaciaramp.replication import messages as msgs
    from acaciaramp.replication.store import Store
    from acaciaramp.replication.timing import Timing

logger = get_logger('control')

Exchange = Callable[['InstanceId', ctl.Request], Awaitable[ctl.Reply]]

_POLL_PERIOD_MS = 200
_DEAD_AFTER_MS = 5_000
_PROPOSE_TIMEOUT_MS = 10_000


class ControlGroup:
    """One instance's part in the replication of documents.

    Attributes:
        replica: The replica here.
        state_machine: The accepted documents.
        document_ready: Set once a document is in force here: at once if the
            store holds one, else once the replica has caught up.
    """

    def __init__(
        self,
        *,
        me: Member,
        instances: list[InstanceId],
        store: Store,
        exchange: Exchange,
        initial_document: Document,
        registry: Registry,
        timing: Timing,
        clock: Clock,
    ) -> None:
        """Load the replica from its store.

        Args:
            me: The replica here.
            instances: Every instance of the deployment.
            store: Durable storage of the replica.
            exchange: Sends a request to another instance; raises
                ``PeerError`` if no reply comes.
            initial_document: Proposed first in a new deployment.
            registry: Gets each document that comes into force.
            timing: Timeouts and intervals of the replicated log.
            clock: Source of time.
        """
        self.document_ready = anyio.Event()
        self._instances = instances
        self._exchange = exchange
        self._initial_document = initial_document
        self._registry = registry
        self._clock = clock
        self._in_force_since_ms = 0
        self.state_machine = DocumentStateMachine(self._on_document)
        self.replica = Replica(
            me=me,
            initial_members=Members(()),
            store=store,
            state_machine=self.state_machine,
            send=self._send,
            clock=clock,
            rng=random.Random(),
            timing=timing,
        )

    async def run(self) -> None:
        """Take part in the group until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            tasks.start_soon(self._maintain_membership)
            tasks.start_soon(self._wait_for_document)
            await self._bootstrap()

    async def handle(self, req: ctl.Request) -> ctl.Reply:
        """Handle a request of another instance.

        Raises:
            CallError: A document was proposed, and this instance does not lead
                or lost its leadership meanwhile.
        """
        match req:
            case ctl.DocumentStatusRequest():
                return self.status()
            case ctl.ProposeRequest():
                return ctl.ProposeReply(await self._propose(req.command))
            case _:
                return await self.replica.handle(req)

    def status(self) -> ctl.DocumentStatusReply:
        """Return the status of the document here."""
        current = self.state_machine.current
        return ctl.DocumentStatusReply(
            has_memory=self.replica.log.last_index > 0,
            revision=0 if current is None else current.revision,
            since_ms=self._in_force_since_ms,
            is_leader=self.replica.has_lease(),
        )

    async def statuses(self) -> dict[str, ctl.DocumentStatusReply]:
        """Return the status of every instance that replies, by instance."""
        found: dict[str, ctl.DocumentStatusReply] = {}

        async def request_status(instance: InstanceId) -> None:
            with contextlib.suppress(PeerError):
                reply = await self._exchange(
                    instance, ctl.DocumentStatusRequest()
                )
                if isinstance(reply, ctl.DocumentStatusReply):
                    found[instance] = reply

        async with anyio.create_task_group() as tasks:
            for instance in self._other_instances():
                tasks.start_soon(request_status, instance)
        found[self.replica.me.instance] = self.status()
        return dict(sorted(found.items()))

    async def apply(self, document: Document) -> ProposalResult:
        """Propose a document through whichever instance leads.

        Retries are safe: proposing a revision again with the same content
        gives the outcome SAME.

        Raises:
            CallError: No leader replied within ``_PROPOSE_TIMEOUT_MS``; the
                document may come into force later.
        """
        command = encode_proposal(document, self._clock.wall_ms())
        until_ms = self._clock.now_ms() + _PROPOSE_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            for instance in self._instances:
                result = await self._propose_at(instance, command)
                if result is not None:
                    return result
            await self._clock.sleep_ms(_POLL_PERIOD_MS)
        raise CallError(
            ErrorCode.HOME_UNREACHABLE,
            'nobody leads the control group now; apply the document again',
            Verdict.MAY_HAVE_RUN,
            retry_after_ms=_PROPOSE_TIMEOUT_MS,
        )

    async def transfer_leadership(self) -> None:
        """Transfer the group's leadership, if this instance has it."""
        await self.replica.transfer_leadership()

    def silence_ms(self) -> int:
        """Return the milliseconds since the last contact with a leader.

        It is 0 while this instance leads and holds a lease.
        """
        if self.replica.has_lease():
            return 0
        return self._clock.now_ms() - self.replica.leader_contact_ms

    async def _propose_at(
        self, instance: InstanceId, command: bytes
    ) -> ProposalResult | None:
        """Propose a document at one instance; None if that fails."""
        try:
            if instance == self.replica.me.instance:
                return await self._propose(command)
            reply = await self._exchange(instance, ctl.ProposeRequest(command))
        except (PeerError, CallError):
            return None
        return reply.judgement if isinstance(reply, ctl.ProposeReply) else None

    async def _propose(self, command: bytes) -> ProposalResult:
        try:
            result = await self.replica.propose(command)
        except NotLeaderError as exc:
            raise CallError(ErrorCode.NOT_LEADER, str(exc)) from None
        except LeadershipLostError as exc:
            raise CallError(
                ErrorCode.NOT_LEADER, str(exc), Verdict.MAY_HAVE_RUN
            ) from None
        if not isinstance(result, ProposalResult):
            raise CallError(ErrorCode.INTERNAL, 'no judgement was given')
        return result

    def _on_document(self, document: Document) -> None:
        self._in_force_since_ms = self._clock.wall_ms()
        self._registry.replace(document)
        logger.info('A document is in force.', revision=document.revision)

    async def _bootstrap(self) -> None:
        """Bootstrap the group if it has never existed.

        Only the instance with the lowest id does so, once all instances reply
        and none of them has an entry of the log.
        """
        is_first = self.replica.me.instance == min(self._instances)
        while is_first and self.replica.log.last_index == 0:
            statuses = await self.statuses()
            have_all_replied = len(statuses) == len(self._instances)
            if have_all_replied and not any(
                status.has_memory for status in statuses.values()
            ):
                self.replica.bootstrap(Members((self.replica.me,)))
                while not self.replica.is_ready:
                    await self.replica.wait_change()
                await self.apply(self._initial_document)
                return
            await self._clock.sleep_ms(_POLL_PERIOD_MS)

    async def _wait_for_document(self) -> None:
        """Set ``document_ready`` once a document is in force here.

        An instance whose store holds no document must catch up with the group
        first: its document file may list keys that have been revoked since.
        """
        has_stored_document = self.state_machine.current is not None
        while self.state_machine.current is None or not (
            has_stored_document or self.replica.is_caught_up
        ):
            await self.replica.wait_change()
        self.document_ready.set()

    async def _maintain_membership(self) -> None:
        """Change the membership where necessary while this replica leads."""
        while True:
            await self._clock.sleep_ms(_POLL_PERIOD_MS)
            if not self.replica.is_ready:
                continue
            change = next_control_membership(
                self.replica.members,
                self.replica.progress,
                me=self.replica.me,
                commit=self.replica.commit,
                dead_since_ms=self._clock.now_ms() - _DEAD_AFTER_MS,
                non_members=await self._probe_non_members(),
            )
            if change is not None:
                with contextlib.suppress(NotLeaderError, LeadershipLostError):
                    await self.replica.change_members(change)

    async def _probe_non_members(self) -> list[Member]:
        """Return the replicas that reply and are not members."""
        members = self.replica.members.instances
        found = [
            await self.replica.probe_member(instance)
            for instance in self._other_instances()
            if instance not in members
        ]
        return [member for member in found if member is not None]

    def _other_instances(self) -> list[InstanceId]:
        me = self.replica.me.instance
        return [instance for instance in self._instances if instance != me]

    async def _send(self, target: InstanceId, req: msgs.Request) -> msgs.Reply:
        reply = await self._exchange(target, req)
        if isinstance(reply, (ctl.DocumentStatusReply, ctl.ProposeReply)):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply
