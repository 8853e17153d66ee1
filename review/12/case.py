"""A non-idempotent request on a route that has `resumable` runs twice."""

import asyncio
import collections
import pathlib

from scenario import run
from standins import Client, config, route

FOLDER = pathlib.Path(__file__).resolve().parent

ORDERS = 160
# Two of the four workers lose each 20th answer.
LOSING = 2
LOSE_EACH = 20


async def play(case):
    """Play the case; return what broke the rule, None if it held."""
    runs = {}
    begun = collections.Counter()

    async def behave(worker, req, channel):
        attempt = req.get('x-attempt-id')
        runs.setdefault(attempt, []).append(worker.id)
        first = len(runs[attempt]) == 1
        if case.is_troubled and first and worker in case.workers[:LOSING]:
            begun[worker.id] += 1
            if not begun[worker.id] % LOSE_EACH:
                case.record(f'the answer to {attempt} is lost')
                return False
        await worker.answer(channel, req, 200, b'booked')
        return True

    await case.add_workers('app', 4, behave)
    tenant = {
        'name': 't1',
        'apiKeys': ['k1'],
        'priority': 1,
        'ratePerS': 138,
        'burst': 138,
    }
    order = route(
        'order',
        'non_idempotent',
        'app',
        sloMs=400,
        maxAttempts=2,
        resumable=True,
    )
    await case.begin(config(1, [order], {'app': {}}, [tenant]))
    client = Client(case.record, 'k1')
    for number in range(ORDERS):
        await client.send(
            case.entry(number % 2),
            'POST',
            'shop.example',
            '/order/1',
            body=b'one',
        )
        await asyncio.sleep(0.1)
    twice = {attempt: at for attempt, at in runs.items() if len(at) > 1}
    case.record(f'{len(runs)} orders ran; more than once: {twice}')
    return f'TWICE: {len(twice)} orders ran more than once' if twice else None


run(FOLDER, play, entries=2)
