"""Planned stops of the entries of one zone, one second apart.

The platform stops and starts the three entries of a zone in turn. As fewer than
half of them are in rotation meanwhile, it uses all of them, also those that are
stopping. No answer of a request that was passed on to a worker may be cut.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

from harness import deployment as dep
from harness import turns
from harness.balancer import Balancer
from harness.standins import Pace

_ENTRIES = 3
_GAP_S = 1.0
_GRACE_S = 8.0
_RESTART_S = 0.5
_ROLLS = 3
_PROGRAMS = 30
_PACE = Pace(first_s=0.15, event_s=0.1)
# A request that was sent up to this long after SIGTERM may be cut at the end of
# the grace period, as its worker may then still be at work.
_EXCUSED_S = 3.0


class _Stops:
    """The planned stops.

    Attributes:
        times: Times of SIGTERM of each entry, oldest first.
    """

    def __init__(self, cluster: dep.Deployment) -> None:
        self.times: dict[str, list[float]] = {}
        self._cluster = cluster

    async def roll(self) -> None:
        """Stop and start every entry in turn, each ``_GAP_S`` later."""
        async with asyncio.TaskGroup() as tasks:
            for machine in self._cluster.with_role('entry'):
                tasks.create_task(self._restart(machine))
                await asyncio.sleep(_GAP_S)

    def since(self, machine: dep.Machine, at_s: float) -> float | None:
        """Return the seconds since the last SIGTERM of an entry, if any."""
        before = [
            stop_s
            for stop_s in self.times.get(machine.name, [])
            if stop_s <= at_s
        ]
        return at_s - before[-1] if before else None

    async def _restart(self, machine: dep.Machine) -> None:
        self.times.setdefault(machine.name, []).append(time.monotonic())
        self._cluster.send_signal(machine, signal.SIGTERM)
        until_s = time.monotonic() + _GRACE_S
        process = machine.process
        while process is not None and process.poll() is None:
            if time.monotonic() > until_s:
                break
            await asyncio.sleep(0.02)
        self._cluster.kill(machine)
        await asyncio.sleep(_RESTART_S)
        self._cluster.start_process(machine)


async def _run_program(
    cluster: dep.Deployment,
    balancer: Balancer,
    stops: _Stops,
    number: int,
    until_s: float,
) -> int:
    """Run turns until a time; return how many answers were cut."""
    previous = ''
    cut = 0
    entries = cluster.with_role('entry')
    while time.monotonic() < until_s:
        machine = balancer.choose()
        sent_s = time.monotonic()
        turn = await turns.run_turn(
            cluster,
            entries.index(machine),
            f'program-{number}',
            previous,
        )
        previous = turn.attempt if turn.is_whole else ''
        since_s = stops.since(machine, sent_s)
        is_cut = turn.answer.status == 200 and not turn.answer.is_complete
        if is_cut and since_s is not None and since_s < _GRACE_S + 1:
            is_counted = since_s > _EXCUSED_S
            cut += is_counted
            cluster.record.write(
                'cut',
                attempt=turn.attempt,
                entry=machine.name,
                sent_after_stop_s=round(since_s, 3),
                is_counted=is_counted,
                took_s=round(time.monotonic() - sent_s, 3),
            )
        await asyncio.sleep(0.05)
    return cut


async def _play(cluster: dep.Deployment, has_trouble: bool) -> bool:
    cluster.add_machines(entries=_ENTRIES)
    for number in range(5):
        worker = cluster.add_worker(
            f'i-llm{number}', 'huvo11a', is_streaming=True
        )
        worker.pace = lambda _: _PACE
    route = dep.streaming_route('r-1', '/lohu930/', 'huvo11a')
    await cluster.start(
        dep.make_config(1, [route], [dep.engine_service('huvo11a')])
    )
    balancer = Balancer(cluster)
    asking = asyncio.create_task(balancer.run())
    await asyncio.sleep(2.0)
    stops = _Stops(cluster)
    until_s = time.monotonic() + 6.0 + 16.0 * _ROLLS
    programs = [
        asyncio.create_task(
            _run_program(cluster, balancer, stops, number, until_s)
        )
        for number in range(_PROGRAMS)
    ]
    await asyncio.sleep(4.0)
    for _ in range(_ROLLS if has_trouble else 0):
        next_s = time.monotonic() + 16.0
        await stops.roll()
        await asyncio.sleep(max(0, next_s - time.monotonic()))
    cut = sum([await program for program in programs])
    asking.cancel()
    sys.stdout.write(f'{cut} answers cut\n')
    return not cut


if __name__ == '__main__':
    sys.exit(dep.play(pathlib.Path(__file__).resolve().parent, _play))
