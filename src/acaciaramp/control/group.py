"""The control group as one instance takes part in it."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio

from acaciaramp.control import messages as ctl
from acaciaramp.control.changes import next_control_change
from acaciaramp.control.state_machine import (
    DocumentsMachine,
    Judgement,
    encode_document,
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

_PERIOD_MS = 200
_DEAD_AFTER_MS = 5_000
_PROPOSE_WAIT_MS = 10_000


class ControlGroup:
    """One instance's part in the agreement on documents.

    Attributes:
        replica: Its replica.
        machine: The accepted documents.
        document_ready: Set once a document is in force here.
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
        """Create the part.

        Args:
            me: The replica here.
            instances: Every instance of the deployment.
            store: Keeps what must not be forgotten.
            exchange: Sends a request; raises ``PeerError`` without a reply.
            initial_document: The document of a deployment that never had one.
            registry: Takes each document that comes into force.
            timing: Times of the replicated log.
            clock: Source of time.
        """
        self.document_ready = anyio.Event()
        self._instances = instances
        self._exchange = exchange
        self._first = initial_document
        self._registry = registry
        self._clock = clock
        self._since_ms = 0
        self._is_caught_up = False
        self.machine = DocumentsMachine(self._take)
        self.replica = Replica(
            me=me,
            initial_members=Members(()),
            store=store,
            state_machine=self.machine,
            send=self._send,
            clock=clock,
            rng=random.Random(),
            timing=timing,
        )

    async def run(self) -> None:
        """Take part until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.replica.run)
            tasks.start_soon(self._mind_members)
            tasks.start_soon(self._await_document)
            await self._form()

    async def handle(self, req: ctl.Request) -> ctl.Reply:
        """Answer a request of another instance.

        Raises:
            CallError: Another instance leads.
        """
        match req:
            case ctl.StandingRequest():
                return self.status()
            case ctl.ProposeRequest():
                return ctl.ProposeReply(await self._propose(req.command))
            case _:
                return await self.replica.handle(req)

    def status(self) -> ctl.StandingReply:
        """Return the status of this instance: the document in force here."""
        current = self.machine.current
        return ctl.StandingReply(
            has_memory=self.replica.log.last_index > 0,
            revision=0 if current is None else current.revision,
            since_ms=self._since_ms,
            is_leader=self.replica.has_lease(),
        )

    async def statuses(self) -> dict[str, ctl.StandingReply]:
        """Return the status of every instance that replies."""
        found: dict[str, ctl.StandingReply] = {}

        async def ask(instance: InstanceId) -> None:
            with contextlib.suppress(PeerError):
                reply = await self._exchange(instance, ctl.StandingRequest())
                if isinstance(reply, ctl.StandingReply):
                    found[instance] = reply

        async with anyio.create_task_group() as tasks:
            for instance in self._others():
                tasks.start_soon(ask, instance)
        found[self.replica.me.instance] = self.status()
        return dict(sorted(found.items()))

    async def apply(self, document: Document) -> Judgement:
        """Propose a document through whichever instance leads.

        A proposal may be sent more than once: the same revision with the same
        content is the same success.

        Raises:
            CallError: Nobody leads the control group.
        """
        command = encode_document(document, self._clock.wall_ms())
        give_up_ms = self._clock.now_ms() + _PROPOSE_WAIT_MS
        while self._clock.now_ms() < give_up_ms:
            for instance in self._instances:
                judgement = await self._propose_at(instance, command)
                if judgement is not None:
                    return judgement
            await self._clock.sleep_ms(_PERIOD_MS)
        raise CallError(
            ErrorCode.HOME_UNREACHABLE,
            'nobody leads the control group now; apply the document again',
            Verdict.MAY_HAVE_RUN,
            retry_after_ms=_PROPOSE_WAIT_MS,
        )

    async def transfer_leadership(self) -> None:
        """Let another instance lead the control group."""
        await self.replica.transfer_leadership()

    def silence_ms(self) -> int:
        """Return how long the control group has not been heard."""
        if self.replica.has_lease():
            return 0
        return self._clock.now_ms() - self.replica.leader_contact_ms

    async def _propose_at(
        self, instance: InstanceId, command: bytes
    ) -> Judgement | None:
        try:
            if instance == self.replica.me.instance:
                return await self._propose(command)
            reply = await self._exchange(instance, ctl.ProposeRequest(command))
        except (PeerError, CallError):
            return None
        return reply.judgement if isinstance(reply, ctl.ProposeReply) else None

    async def _propose(self, command: bytes) -> Judgement:
        try:
            judgement = await self.replica.propose(command)
        except (NotLeaderError, LeadershipLostError) as exc:
            raise CallError(ErrorCode.NOT_LEADER, str(exc)) from None
        if not isinstance(judgement, Judgement):
            raise CallError(ErrorCode.INTERNAL, 'no judgement was given')
        return judgement

    def _take(self, document: Document) -> None:
        self._since_ms = self._clock.wall_ms()
        self._registry.replace(document)
        logger.info('A document is in force.', revision=document.revision)

    async def _form(self) -> None:
        """Form the group if it has never existed; the first instance does."""
        is_first = self.replica.me.instance == min(self._instances)
        while is_first and self.replica.log.last_index == 0:
            statuses = await self.statuses()
            is_whole = len(statuses) == len(self._instances)
            if is_whole and not any(
                status.has_memory for status in statuses.values()
            ):
                self.replica.bootstrap(Members((self.replica.me,)))
                while not self.replica.is_ready:
                    await self.replica.wait_change()
                await self.apply(self._first)
                return
            await self._clock.sleep_ms(_PERIOD_MS)

    async def _await_document(self) -> None:
        """Tell when a document is in force that is not older than the group's.

        An instance without a disk must not serve by what its file says: keys
        may have been withdrawn since.
        """
        had_memory = self.machine.current is not None
        while self.machine.current is None or not (
            had_memory or self.replica.is_caught_up
        ):
            await self.replica.wait_change()
        self.document_ready.set()

    async def _mind_members(self) -> None:
        while True:
            await self._clock.sleep_ms(_PERIOD_MS)
            if not self.replica.is_ready:
                continue
            change = next_control_change(
                self.replica.members,
                self.replica.progress,
                me=self.replica.me,
                commit=self.replica.commit,
                dead_since_ms=self._clock.now_ms() - _DEAD_AFTER_MS,
                outside=await self._outside(),
            )
            if change is not None:
                with contextlib.suppress(NotLeaderError, LeadershipLostError):
                    await self.replica.change_members(change)

    async def _outside(self) -> list[Member]:
        members = self.replica.members.instances
        found = [
            await self.replica.probe_member(instance)
            for instance in self._others()
            if instance not in members
        ]
        return [member for member in found if member is not None]

    def _others(self) -> list[InstanceId]:
        me = self.replica.me.instance
        return [instance for instance in self._instances if instance != me]

    async def _send(self, target: InstanceId, req: msgs.Request) -> msgs.Reply:
        reply = await self._exchange(target, req)
        if isinstance(reply, (ctl.StandingReply, ctl.ProposeReply)):
            raise PeerError(f'{target} gave a reply of another kind')
        return reply
