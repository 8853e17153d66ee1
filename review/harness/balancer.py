"""The platform's balancer in front of the entries of one zone.

It asks each entry for its readiness once a second. Two misses take an entry out
of rotation until it answers 200 again. If fewer than half of the entries are in
rotation, it uses all of them. A new channel goes to a random one.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from harness import http1

if TYPE_CHECKING:
    from harness.deployment import Deployment, Machine

_PERIOD_S = 1.0
_MOST_MISSES = 1


class Balancer:
    """Chooses the entry of each new channel."""

    def __init__(self, cluster: Deployment) -> None:
        """Create the balancer; ``run`` keeps it up to date."""
        self._cluster = cluster
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Ask every entry once a second until cancelled."""
        while True:
            async with asyncio.TaskGroup() as tasks:
                for machine in self._cluster.with_role('entry'):
                    tasks.create_task(self._ask(machine))
                tasks.create_task(asyncio.sleep(_PERIOD_S))

    def choose(self) -> Machine:
        """Return the entry of a new channel."""
        entries = self._cluster.with_role('entry')
        rotation = [
            machine
            for machine in entries
            if self._misses.get(machine.name, 0) <= _MOST_MISSES
        ]
        if 2 * len(rotation) < len(entries):
            rotation = entries
        return random.choice(rotation)

    async def _ask(self, machine: Machine) -> None:
        answer = await http1.request(
            (machine.host, 8369),
            'GET',
            '/v1/readyz',
            {'Host': machine.host},
            timeout_s=_PERIOD_S,
        )
        if answer.status == 200:
            self._misses[machine.name] = 0
            return
        misses = self._misses.get(machine.name, 0) + 1
        self._misses[machine.name] = misses
        if misses == _MOST_MISSES + 1:
            self._cluster.record.write('out of rotation', entry=machine.name)
