"""Processor time and bytes of replicated logs."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import anyio
import msgspec

from acaciaramp.bench.fits import LinearFit, fit_line
from acaciaramp.bench.state_size import create_program_command, turn_commands
from acaciaramp.cells.messages import CellRequest, StatusRequest
from acaciaramp.clock import SystemClock
from acaciaramp.ids import InstanceId, ProgramId
from acaciaramp.programs.log import ProgramStateMachine
from acaciaramp.replication import messages as msgs
from acaciaramp.replication.members import Member, Members
from acaciaramp.replication.replica import Replica
from acaciaramp.replication.store import NullStore
from acaciaramp.replication.timing import Timing

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

_IDLE_S = 2.0
_SMALL = 200
_SIZES = (200, 1_000, 4_000)
_TURNS = (100, 200, 400)
_GROUPS = (4, 8, 16)
_PROGRAM = 'p.entry-1.0'
_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(CellRequest)


class ReplicaGroup:
    """Three replicas in one process; messages are encoded as on the wire.

    Attributes:
        bytes_sent: Size of all requests sent so far.
        leader: The replica that was told to lead.
    """

    def __init__(self, timing: Timing) -> None:
        """Create the group; ``start`` runs it."""
        self.bytes_sent = 0
        self._replicas: dict[InstanceId, Replica] = {}
        names = [InstanceId(f'entry-{number}') for number in (1, 2, 3)]
        first = Members(tuple(Member(name, '0') for name in names))
        for member in first.voters:
            self._replicas[member.instance] = Replica(
                me=member,
                initial_members=first,
                store=NullStore(),
                state_machine=ProgramStateMachine(),
                send=self._send,
                clock=SystemClock(),
                rng=random.Random(member.instance),
                timing=timing,
            )
        self.leader = self._replicas[names[0]]

    async def start(self, tasks: TaskGroup) -> None:
        """Run the replicas and return once the first one leads."""
        for replica in self._replicas.values():
            tasks.start_soon(replica.run)
        await self.leader.handle(msgs.HandoverRequest(0))
        while not self.leader.is_ready:
            await self.leader.wait_change()

    async def _send(self, target: InstanceId, req: msgs.Request) -> msgs.Reply:
        wire = _encode(CellRequest(target, req))
        self.bytes_sent += len(wire)
        body = _request_decoder.decode(wire).body
        if isinstance(body, StatusRequest):
            raise TypeError('not a request between replicas')
        return await self._replicas[target].handle(body)


def measure_logs() -> list[LinearFit]:
    """Return what turns and idle groups cost."""
    turns = {count: anyio.run(_turns, count, _SMALL) for count in _TURNS}
    sizes = {size: anyio.run(_turns, _TURNS[0], size) for size in _SIZES}
    idle = {count: anyio.run(_idle, count) for count in _GROUPS}
    return [
        fit_line(
            'processor time of a turn, three replicas together',
            's',
            {count: cost.cpu_s for count, cost in turns.items()},
        ),
        fit_line(
            'bytes on the wire of a turn by bytes of a message',
            'bytes',
            {size: cost.bytes_sent / _TURNS[0] for size, cost in sizes.items()},
        ),
        fit_line(
            'processor time of an idle group in a second, three replicas',
            's',
            {count: cost.cpu_s / _IDLE_S for count, cost in idle.items()},
        ),
        fit_line(
            'bytes on the wire of an idle group in a second',
            'bytes',
            {count: cost.bytes_sent / _IDLE_S for count, cost in idle.items()},
        ),
    ]


class ReplicationCost(msgspec.Struct, frozen=True):
    """What something cost.

    Attributes:
        cpu_s: Processor time, seconds.
        bytes_sent: Bytes of requests between replicas.
    """

    cpu_s: float
    bytes_sent: int


async def _turns(count: int, size: int) -> ReplicationCost:
    group = ReplicaGroup(Timing())
    async with anyio.create_task_group() as tasks:
        await group.start(tasks)
        await group.leader.propose(_encode(create_program_command(_PROGRAM)))
        before = group.bytes_sent
        started = time.process_time()
        for number in range(1, count + 1):
            for command in turn_commands(ProgramId(_PROGRAM), number, size):
                await group.leader.propose(_encode(command))
        cost = ReplicationCost(
            time.process_time() - started, group.bytes_sent - before
        )
        tasks.cancel_scope.cancel()
    return cost


async def _idle(count: int) -> ReplicationCost:
    groups = [ReplicaGroup(Timing()) for _ in range(count)]
    async with anyio.create_task_group() as tasks:
        for group in groups:
            await group.start(tasks)
        before = _bytes_sent(groups)
        started = time.process_time()
        await anyio.sleep(_IDLE_S)
        cpu_s = time.process_time() - started
        sent = _bytes_sent(groups) - before
        tasks.cancel_scope.cancel()
    return ReplicationCost(cpu_s, sent)


def _bytes_sent(groups: list[ReplicaGroup]) -> int:
    return sum(group.bytes_sent for group in groups)
