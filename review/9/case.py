"""Turns with long inputs, which are kept in the memory of the stores."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness2'))

from deployment import (  # noqa: E402
    BROKEN,
    CONTACT_S,
    HELD,
    TROUBLE,
    CannotRunError,
    Deployment,
    Worker,
    http_request,
    run_case,
)

SERVICE = 'agent-llm'
HOST = 'guide.example'
PATH = '/guide/chat'
KEY = 'key-one-0001'
KV_TOKENS = 160755
TIMEOUT_MS = 3000
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'guide',
            'host': HOST,
            'pathPrefix': '/guide/',
            'routeKind': 'streaming',
            'timeoutMs': TIMEOUT_MS,
            'sloMs': 300,
            'priority': 1,
            'service': SERVICE,
            'maxAttempts': 1,
            'retained': True,
            'retentionS': 60.0,
            'sticky': True,
            'resumable': False,
            'gapTargetMs': 150,
        }
    ],
    'services': [
        {
            'name': SERVICE,
            'healthPath': '/healthz',
            'maxConns': 150,
            'engine': {
                'slots': 12,
                'kvCapacity': KV_TOKENS,
                'chunkTokens': 11,
                'models': [{'name': 'm'}],
            },
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {'name': 'one', 'apiKeys': [KEY], 'ratePerS': 138, 'burst': 138}
    ],
}
BYTES_PER_TOKEN = 4
LONG_TOKENS = 150_000
USUAL_TOKENS = 1_075
# The worker reads 123 tokens of a prompt in a millisecond.
LONG_S = 1.22
CLIENTS = 5
LOAD_S = 75.0
RECOVER_S = 12.0
ENDS = 3


async def case(record):
    """Play the case; return its exit status."""
    deployment = Deployment(record)
    workers = [
        Worker(deployment, number, SERVICE, slots=12) for number in range(5)
    ]
    open_gate = asyncio.Event()
    open_gate.set()
    counter = iter(range(1, 100_000))
    statuses = []

    async def send(client, tokens):
        """Send the first turn of a new program; return the status."""
        number = next(counter)
        entry = deployment.entries[client % 3]
        try:
            status, _, _ = await http_request(
                entry.address,
                deployment.ports['frontend'],
                'POST',
                PATH,
                {
                    'Host': HOST,
                    'Authorization': f'Bearer {KEY}',
                    'X-Attempt-Id': f'{number:016x}',
                    'X-Deadline-Ms': str(TIMEOUT_MS),
                    'X-Model': 'm',
                    'X-Token-Counts': f'{tokens},33',
                    'X-Token-Budget': '1000',
                    'X-Program-Id': f'program-{number}',
                    'X-Session-Id': f'line-{number}',
                },
                b'word' * (tokens * BYTES_PER_TOKEN // 4),
            )
        except (OSError, TimeoutError) as exc:
            status = type(exc).__name__
        record.write(f'{number:016x} with {tokens} tokens: {status}')
        return status

    async def run_client(client, until_s):
        tokens = LONG_TOKENS if TROUBLE else USUAL_TOKENS
        while record.now_s() < until_s:
            statuses.append(await send(client, tokens))
            if statuses[-1] != 200:
                await asyncio.sleep(0.5)

    async def run_load():
        until_s = record.now_s() + LOAD_S
        async with asyncio.TaskGroup() as tasks:
            for client in range(CLIENTS):
                tasks.create_task(run_client(client, until_s))

    def ended_often():
        """Return the stores whose processes have ended three times."""
        stores = deployment.storages
        return [item for item in stores if item.memory_kills >= ENDS]

    watchers = []
    try:
        for worker in workers:
            worker.stream = (3, LONG_S / 3 if TROUBLE else 0.4, open_gate)
            await worker.start()
        await deployment.start(CONFIG)
        await asyncio.sleep(CONTACT_S)
        if await send(0, USUAL_TOKENS) != 200:
            raise CannotRunError('an ordinary turn is not answered')
        watchers = [
            asyncio.create_task(machine.watch_memory())
            for machine in deployment.machines
        ]
        load = asyncio.create_task(run_load())
        while not load.done() and len(ended_often()) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.2)
        load.cancel()
        record.write('the clients have stopped')
        await asyncio.sleep(RECOVER_S)
        after = [await send(number, USUAL_TOKENS) for number in range(3)]
        for machine in deployment.machines:
            record.write(
                f'{machine.name}: {machine.peak_bytes >> 20} MB at its peak, '
                f'killed {machine.memory_kills} times'
            )
        record.write(
            f'{statuses.count(200)} of {len(statuses)} turns were answered; of '
            f'3 ordinary ones {RECOVER_S:g} s after the last of them, '
            f'{after.count(200)}'
        )
        return BROKEN if len(ended_often()) >= 2 else HELD
    finally:
        for watcher in watchers:
            watcher.cancel()
        for worker in workers:
            worker.end()
        await deployment.stop()


run_case(FOLDER, case)
