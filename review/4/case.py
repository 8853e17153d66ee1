"""Budgets of programs while all storage machines are down for 5 s.

Programs without an end run turns in parallel sub-agents until they are told
that their budget is spent. The tokens that the clients got must not exceed the
budget by more than the most of one turn.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

from harness import deployment as dep
from harness import turns
from harness.standins import Pace

_PROGRAMS = 3
_SUB_AGENTS = 6
_BUDGET = 2288
_DOWN_AFTER_S = 1.5
_DOWN_S = 5.0
_LONGEST_S = 40.0
_PACE = Pace(first_s=0.1, event_s=0.1)


async def _lose_power(cluster: dep.Deployment) -> None:
    """Kill all storage machines and start them again later."""
    await asyncio.sleep(_DOWN_AFTER_S)
    for machine in cluster.with_role('storage'):
        cluster.kill(machine)
    await asyncio.sleep(_DOWN_S)
    for machine in cluster.with_role('storage'):
        cluster.start_process(machine)


async def _play(cluster: dep.Deployment, has_trouble: bool) -> bool:
    cluster.add_machines(entries=2)
    for number in range(5):
        worker = cluster.add_worker(
            f'i-llm{number}', 'huvo11a', is_streaming=True
        )
        worker.pace = lambda _: _PACE
    route = dep.streaming_route('r-1', '/lohu930/', 'huvo11a')
    services = [dep.engine_service('huvo11a', turns.CHUNK_TOKENS)]
    await cluster.start(dep.make_config(1, [route], services))
    await asyncio.sleep(2.0)
    programs = [
        turns.EndlessProgram(f'program-{number}', cluster, _BUDGET)
        for number in range(_PROGRAMS)
    ]
    tasks = [
        asyncio.create_task(program.run_sub_agent(number))
        for program in programs
        for number in range(_SUB_AGENTS)
    ]
    if has_trouble:
        await _lose_power(cluster)
    await dep.wait_for(tasks, _LONGEST_S)
    return turns.report_tokens(programs)


if __name__ == '__main__':
    sys.exit(dep.play(pathlib.Path(__file__).resolve().parent, _play))
