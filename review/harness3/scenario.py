"""What every script has in common: a deployment, its stand-ins, the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback

from standins import InstanceList, Operator, Worker, wait_ready

from deployment import ZONES, Deployment, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
_TIME_LIMIT_S = 115
ENGINE = {'engine': {'slots': 12, 'kvCapacity': 160755, 'chunkTokens': 11}}


class Case:
    """A running deployment with workers and a first config."""

    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.operator = Operator(deployment, record)
        self.workers = []
        self.is_troubled = os.environ.get('TROUBLE', '1') != '0'

    def entry(self, number):
        """Return where an entry listens for clients."""
        return self.deployment.caller_address(
            self.deployment.of('entry')[number]
        )

    async def add_workers(
        self, service, count, behave, zones=tuple(ZONES), **fields
    ):
        """Start the workers of a service, in all zones in turn."""
        for number in range(count):
            worker = Worker(
                self.deployment.new_host(),
                service,
                zones[number % len(zones)],
                self.record,
                behave,
                **fields,
            )
            await worker.start()
            self.record(f'worker {worker.id} of {service} starts')
            self.workers.append(worker)

    async def begin(self, config, settle_s=8):
        """Start the list and all processes, confirm a config, wait for service.

        Rates begin with empty buckets, and the pages let traffic start 12 s after the
        machines; without tenants a shorter wait does.
        """
        await InstanceList(self.workers).start(self.deployment.list_address)
        await self.deployment.start_all()
        await self.replace_config(config)
        await wait_ready(self.deployment)
        await asyncio.sleep(settle_s)

    async def replace_config(self, config):
        """Send a config until it is confirmed."""
        status, _ = await self.operator.call(
            'POST', '/v1/config/replace', config
        )
        if status != 200:
            raise RuntimeError(f'the config was answered {status}')


def run(folder, play, **settings):
    """Play a case and exit with its status.

    ``play(case)`` returns None if the rule held, else what broke it.
    """
    # As SIGINT: the processes that were started are ended first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(os.path.join(folder, 'record.txt'))
    sys.exit(asyncio.run(_run(record, play, settings)))


async def _run(record, play, settings):
    deployment = Deployment(**settings)
    case = Case(record, deployment)
    record(f'TROUBLE={int(case.is_troubled)}')
    try:
        broken = await asyncio.wait_for(play(case), _TIME_LIMIT_S)
        ended = deployment.own_ends()
        if ended:
            record(f'processes that ended by themselves: {ended}')
    except Exception:
        record(f'the case could not run: {traceback.format_exc()}')
        return NOT_RUN
    finally:
        await deployment.close(keep=bool(os.environ.get('KEEP')))
        if os.environ.get('KEEP'):
            record(f'logs: {deployment.folder}')
    record(f'BROKEN: {broken}' if broken else 'the rule held')
    return BROKEN if broken else HELD
