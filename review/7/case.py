"""Turns that share their input with turns whose connections were reset."""

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
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'guide',
            'host': HOST,
            'pathPrefix': '/guide/',
            'routeKind': 'streaming',
            'timeoutMs': 3000,
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
                'kvCapacity': 160755,
                'chunkTokens': 11,
                'models': [{'name': 'm'}],
            },
        }
    ],
    'limits': {},
    'tenants': [{'name': 'one', 'apiKeys': [KEY]}],
}
SHORT_INPUT = b'Yes, please.'
# The largest dose of reset_conns on the sheets: share 0.484 of the machines, 0.635
# of their connections. Here: one of three machines, three of its five connections.
RESET = 3
IN_FLIGHT = 5
PROGRAMS = 6
EVENTS = 6
# A turn that has failed is sent again twice; each time a client retries once after
# a promise that it has not run.
SENDS = 3
TRIES_PER_SEND = 2
NOT_RUN_STATUSES = (408, 421, 429, 503)
AIM_MS = 8000


class Program:
    """A conversation of a client."""

    def __init__(self, name):
        self.id = name
        self.line = f'line-{name}'
        self.previous = None


async def case(record):
    """Play the case; return its exit status."""
    deployment = Deployment(record)
    workers = [
        Worker(deployment, number, SERVICE, slots=12) for number in range(5)
    ]
    gate = asyncio.Event()
    gate.set()
    counter = iter(range(1, 10_000))
    sent = {}

    async def try_turn(program, entry, text):
        """Send one turn once; return the status and whether it is whole."""
        attempt = f'{next(counter):016x}'
        sent.setdefault(program.id, []).append(attempt)
        headers = {
            'Host': HOST,
            'Authorization': f'Bearer {KEY}',
            'X-Attempt-Id': attempt,
            'X-Deadline-Ms': '3000',
            'X-Model': 'm',
            'X-Token-Counts': '40,66',
            'X-Token-Budget': '2000',
            'X-Program-Id': program.id,
            'X-Session-Id': program.line,
            'X-Program-Deadline-Ms': str(AIM_MS),
        }
        if program.previous is not None:
            headers['X-Previous-Turn'] = program.previous
        retry_after = 0.0
        try:
            status, answered, body = await http_request(
                entry.address,
                deployment.ports['frontend'],
                'POST',
                PATH,
                headers,
                text,
            )
            retry_after = float(answered.get('retry-after', 0))
            if status == 200 and not body.endswith(b'0\r\n\r\n'):
                status = 'cut'
        except (OSError, TimeoutError) as exc:
            status = type(exc).__name__
        record.write(
            f'{attempt} of {program.id} after {program.previous} at '
            f'{entry.name}: {status}'
        )
        if status == 200:
            program.previous = attempt
        return status, retry_after

    async def send_turn(program, first_entry, text):
        """Send a turn as a client does; return whether it was answered."""
        number = first_entry
        for _ in range(SENDS):
            for _ in range(TRIES_PER_SEND):
                entry = deployment.entries[number % 3]
                number += 1
                status, retry_after = await try_turn(program, entry, text)
                if status == 200:
                    return True
                if status not in NOT_RUN_STATUSES:
                    break
                await asyncio.sleep(min(retry_after, 0.5))
            await asyncio.sleep(0.25)
        return False

    def reached(program):
        """Return how many tries of a program have begun at a worker."""
        begun = {attempt for item in workers for _, attempt, _ in item.runs}
        return len(begun & set(sent[program.id]))

    try:
        for worker in workers:
            worker.stream = (EVENTS, 0.02, gate)
            await worker.start()
        await deployment.start(CONFIG)
        await asyncio.sleep(CONTACT_S)
        programs = [Program(f'early-{number}') for number in range(IN_FLIGHT)]
        entry = deployment.entries[0]
        gate.clear()
        async with asyncio.TaskGroup() as tasks:
            for program in programs:
                text = f'The drawer of till {program.id} jams.'.encode()
                tasks.create_task(try_turn(program, entry, text))
            await asyncio.sleep(0.6)
            gate.set()
        if any(program.previous is None for program in programs):
            raise CannotRunError('a first turn is not answered')
        record.write('every early program has its first turn')
        gate.clear()
        async with asyncio.TaskGroup() as tasks:
            for program in programs:
                tasks.create_task(try_turn(program, entry, SHORT_INPUT))
            await asyncio.sleep(0.5)
            if TROUBLE:
                opened = sum(worker.open_connections for worker in workers)
                reset = 0
                for worker in workers:
                    if reset < RESET:
                        reset += worker.reset_busy_connection()
                record.write(
                    f'{reset} of {opened} connections of {entry.name} to '
                    'workers are reset'
                )
                if reset < RESET:
                    raise CannotRunError('too few workers are busy')
            gate.set()
        await asyncio.sleep(CONTACT_S + 1)
        record.write('all machines are in touch, and no worker is busy')
        lost = 0
        firsts = 0
        for number in range(PROGRAMS):
            program = Program(f'later-{number}')
            started_s = record.now_s()
            text = f'The drawer of till {number} jams again.'.encode()
            firsts += await send_turn(program, number, text)
            before = len(sent[program.id])
            begun = reached(program)
            is_answered = await send_turn(program, number, SHORT_INPUT)
            tries = len(sent[program.id]) - before
            took_s = record.now_s() - started_s
            if (
                not is_answered
                and tries >= 5
                and reached(program) == begun
                and took_s < AIM_MS / 1000
            ):
                lost += 1
                record.write(
                    f'{program.id}: {tries} tries of its second turn reached no '
                    f'worker; {took_s:.1f} s since its start'
                )
        record.write(
            f'{firsts} of {PROGRAMS} first turns were answered; {lost} second '
            'turns reached no worker'
        )
        return BROKEN if lost and firsts >= 0.9 * PROGRAMS else HELD
    finally:
        gate.set()
        for worker in workers:
            worker.end()
        await deployment.stop()


run_case(FOLDER, case)
