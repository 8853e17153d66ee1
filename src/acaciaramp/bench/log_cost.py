"""Measures the processor time and network traffic of replicated logs."""

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
_SMALL_MESSAGE_BYTES = 200
_MESSAGE_SIZES = (200, 1_000, 4_000)
_TURN_COUNTS = (100, 200, 400)
_GROUP_COUNTS = (4, 8, 16)
_PROGRAM = 'p.entry-1.0'
_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(CellRequest)


class ReplicaGroup:
    """Three replicas in one process.

    Requests are encoded and decoded as for a link between instances.

    Attributes:
        bytes_sent: Total size of the encoded requests sent so far; replies are
            not counted.
        leader: The replica that ``start`` makes the leader.
    """

    def __init__(self, timing: Timing) -> None:
        """Create the replicas; ``start`` runs them."""
        self.bytes_sent = 0
        self._replicas: dict[InstanceId, Replica] = {}
        names = [InstanceId(f'entry-{number}') for number in (1, 2, 3)]
        initial = Members(tuple(Member(name, '0') for name in names))
        for member in initial.voters:
            self._replicas[member.instance] = Replica(
                me=member,
                initial_members=initial,
                store=NullStore(),
                state_machine=ProgramStateMachine(),
                send=self._send,
                clock=SystemClock(),
                rng=random.Random(member.instance),
                timing=timing,
            )
        self.leader = self._replicas[names[0]]

    async def start(self, tasks: TaskGroup) -> None:
        """Run the replicas and return once the first one leads and is ready."""
        for replica in self._replicas.values():
            tasks.start_soon(replica.run)
        await self.leader.handle(msgs.HandoverRequest(0))
        while not self.leader.is_ready:
            await self.leader.wait_change()

    async def _send(self, target: InstanceId, req: msgs.Request) -> msgs.Reply:
        encoded = _encode(CellRequest(target, req))
        self.bytes_sent += len(encoded)
        body = _request_decoder.decode(encoded).body
        if isinstance(body, StatusRequest):
            raise TypeError('expected a replication request, got StatusRequest')
        return await self._replicas[target].handle(body)


def measure_logs() -> list[LinearFit]:
    """Measure turns and idle groups and return a line fitted to each series.

    The series are: processor time by number of turns, bytes per turn by
    message size, and processor time and bytes per second by number of idle
    groups.
    """
    turns = {
        count: anyio.run(_measure_turns, count, _SMALL_MESSAGE_BYTES)
        for count in _TURN_COUNTS
    }
    sizes = {
        size: anyio.run(_measure_turns, _TURN_COUNTS[0], size)
        for size in _MESSAGE_SIZES
    }
    idle = {count: anyio.run(_measure_idle, count) for count in _GROUP_COUNTS}
    return [
        fit_line(
            'processor time of a turn, three replicas together',
            's',
            {count: cost.cpu_s for count, cost in turns.items()},
        ),
        fit_line(
            'bytes on the wire of a turn by bytes of a message',
            'bytes',
            {
                size: cost.bytes_sent / _TURN_COUNTS[0]
                for size, cost in sizes.items()
            },
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
    """Cost of replication over a measured period.

    Attributes:
        cpu_s: Processor time, seconds.
        bytes_sent: Size of the requests between replicas, bytes.
    """

    cpu_s: float
    bytes_sent: int


async def _measure_turns(count: int, size: int) -> ReplicationCost:
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


async def _measure_idle(count: int) -> ReplicationCost:
    groups = [ReplicaGroup(Timing()) for _ in range(count)]
    async with anyio.create_task_group() as tasks:
        for group in groups:
            await group.start(tasks)
        before = _total_bytes_sent(groups)
        started = time.process_time()
        await anyio.sleep(_IDLE_S)
        cpu_s = time.process_time() - started
        sent = _total_bytes_sent(groups) - before
        tasks.cancel_scope.cancel()
    return ReplicationCost(cpu_s, sent)


def _total_bytes_sent(groups: list[ReplicaGroup]) -> int:
    return sum(group.bytes_sent for group in groups)
