"""History of a conversation whose next turn runs at a slow worker.

A client continues a conversation while its last turn is still kept. The worker
of the new turn is slow, so that the turn ends after the retention time of the one
before. The client continues from the new turn through another entry; the worker
must then get the whole chain.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

from harness import deployment as dep
from harness import turns
from harness.standins import Pace, Run

_RETENTION_S = 60.0
_CONTINUED_AFTER_S = 59.3
_CONVERSATIONS = 10
_APART_S = 0.6
_OTHER_PROGRAMS = 24
_SLOWER = 5.9
_NORMAL = Pace(first_s=0.06, event_s=0.06)
_SLOW = Pace(
    first_s=_SLOWER * _NORMAL.first_s, event_s=_SLOWER * _NORMAL.event_s
)


async def _run_program(
    cluster: dep.Deployment, number: int, until_s: float
) -> None:
    """Run the turns of an ordinary program, one after the other."""
    previous = ''
    while time.monotonic() < until_s:
        turn = await turns.run_turn(
            cluster, number % 2, f'other-{number}', previous
        )
        previous = turn.attempt if turn.is_whole else ''
        await asyncio.sleep(0.05)


async def _run_load(cluster: dep.Deployment) -> None:
    """Run other programs around the time of the late turns."""
    await asyncio.sleep(_CONTINUED_AFTER_S - 1)
    until_s = time.monotonic() + _CONVERSATIONS * _APART_S + 4.0
    async with asyncio.TaskGroup() as tasks:
        for number in range(_OTHER_PROGRAMS):
            tasks.create_task(_run_program(cluster, number, until_s))


async def _converse(
    cluster: dep.Deployment, number: int, slow: set[str]
) -> bool:
    """Run a conversation of four turns; return whether its history held."""
    session = f'talk-{number}'
    await asyncio.sleep(number * _APART_S)
    first = await turns.run_turn(cluster, 0, session)
    second = await turns.run_turn(cluster, 0, session, first.attempt)
    if not (first.is_whole and second.is_whole):
        raise dep.CannotRunError('the conversation did not begin')
    await asyncio.sleep(_CONTINUED_AFTER_S)
    slow.add(session)
    third = await turns.run_turn(cluster, 0, session, second.attempt)
    slow.discard(session)
    if not third.is_whole:
        return True
    fourth = await turns.run_turn(cluster, 1, session, third.attempt)
    expected = b''.join(turn.content for turn in (first, second, third))
    got = [
        run.body
        for worker in cluster.workers.values()
        for run in worker.runs
        if run.attempt == fourth.attempt
    ]
    is_kept = all(body == expected + fourth.text for body in got)
    cluster.record.write(
        'history',
        attempt=fourth.attempt,
        expected=(expected + fourth.text).decode(),
        got=[body.decode() for body in got],
        is_kept=is_kept,
    )
    return is_kept


async def _play(cluster: dep.Deployment, has_trouble: bool) -> bool:
    slow: set[str] = set()

    def pace(run: Run) -> Pace:
        is_slow = has_trouble and run.headers['x-session-id'] in slow
        return _SLOW if is_slow else _NORMAL

    cluster.add_machines(entries=2)
    for number in range(5):
        worker = cluster.add_worker(
            f'i-llm{number}', 'huvo11a', is_streaming=True
        )
        worker.pace = pace
    route = dep.streaming_route(
        'r-1', '/lohu930/', 'huvo11a', retentionS=_RETENTION_S
    )
    await cluster.start(
        dep.make_config(1, [route], [dep.engine_service('huvo11a')])
    )
    await asyncio.sleep(2.0)
    load = asyncio.create_task(_run_load(cluster))
    kept = await asyncio.gather(
        *(_converse(cluster, number, slow) for number in range(_CONVERSATIONS))
    )
    await load
    sys.stdout.write(
        f'{kept.count(False)} of {len(kept)} conversations lost turns\n'
    )
    return all(kept)


if __name__ == '__main__':
    sys.exit(dep.play(pathlib.Path(__file__).resolve().parent, _play))
