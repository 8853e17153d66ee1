"""Runs agent programs against the instances of ``make demo``."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import httpcore
import openai

KEY = 'demo-key-medina'
OTHER_KEY = 'demo-key-sahel'
ENTRIES = tuple(f'http://127.0.0.1:700{number}' for number in (1, 2, 3))
OPERATORS = 'http://127.0.0.1:7204'
OPERATOR_KEY = 'demo-operators'
WITHDRAWN_WITHIN_S = 10
HTTP_UNAUTHORIZED = 401
ATELIER = 'http://127.0.0.1:7301'
READY_WITHIN_S = 20
TOOL_PAUSE_S = 0.3
HTTP_OK = 200
READ = 'GET'
HTTP_REDIRECT = 300
HTTP_NOT_FOUND = 404


class DemoError(Exception):
    """Something did not come out as it should."""


def main() -> None:
    """Run every program and show what came of it."""
    for entry in ENTRIES:
        wait_ready(entry)
    program = create_program(
        {'service': 'conseil-lm', 'budget': {'tokens': 9000}}
    )
    show('program', program)
    run_turns(program)
    run_reservation(program)
    run_sub_agent(program)
    run_open_route()
    run_wrong_key(program)
    state = call('GET', ENTRIES[1], f'/v1/programs/{program}?history=1')
    check('history is whole', len(state['history']) == 5)
    show('tokens left', state['left']['tokens'])
    ended = call('DELETE', ENTRIES[2], f'/v1/programs/{program}')
    check('the program has ended', ended['state'] == 'ended')
    check_service()
    withdraw_key()
    print('All answers were whole.')


def run_turns(program: str) -> None:
    """Two turns and a stream, each through another instance."""
    first = chat(ENTRIES[0], program, 1, 'My felt shrinks on the form.')
    show('turn 1', first)
    check('turn 1', first.startswith('I have read 1 messages'))
    time.sleep(TOOL_PAUSE_S)
    second = chat(ENTRIES[1], program, 2, 'It is wool from the spring.')
    show('turn 2', second)
    check('turn 2 knows turn 1', second.startswith('I have read 3 messages'))
    client = openai.OpenAI(base_url=f'{ENTRIES[2]}/v1', api_key=KEY)
    stream = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': 'Stream it to me.'}],
        stream=True,
        extra_headers=step_headers(program, 3),
    )
    pieces = [chunk.choices[0].delta.content or '' for chunk in stream]
    show('stream', ''.join(pieces))
    check('the stream is whole', ''.join(pieces).strip().endswith('to me.'))


def run_reservation(program: str) -> None:
    """A reservation, sent twice through two instances, runs once."""
    body = {
        'step': 4,
        'service': 'atelier-app',
        'path': '/reservations',
        'body': {'form': 'cone-17'},
        'repeatable': False,
    }
    path = f'/v1/programs/{program}/calls'
    first = call('POST', ENTRIES[0], path, body)
    again = call('POST', ENTRIES[1], path, body)
    show('reservation', first)
    check('the resend got the same answer', first == again)


def run_sub_agent(program: str) -> None:
    """A sub-agent with a budget of its own, taken out of its parent's."""
    before = call('GET', ENTRIES[0], f'/v1/programs/{program}')['left'][
        'tokens'
    ]
    child = create_program(
        {
            'service': 'conseil-lm',
            'budget': {'tokens': 1000, 'calls': 3},
            'parent': program,
        }
    )
    after = call('GET', ENTRIES[0], f'/v1/programs/{program}')['left']['tokens']
    check('the budget was moved', before - after == 1000)
    show('sub-agent', chat(ENTRIES[2], child, 1, 'Read the catalogue notes.'))
    show('turn 5', chat(ENTRIES[0], program, 5, 'Sum it up.'))


def run_open_route() -> None:
    """A route that is open to all needs no key."""
    hours = call(
        'GET', ENTRIES[0], '/v1/services/atelier-app/opening-hours', key=''
    )
    check('the open route answers', hours['path'] == '/opening-hours')


def run_wrong_key(program: str) -> None:
    """Another workspace's program looks like one that does not exist."""
    status, body = request(
        'GET', ENTRIES[0], f'/v1/programs/{program}', key=OTHER_KEY
    )
    check('another workspace sees nothing', status == HTTP_NOT_FOUND)
    check(
        'the refusal names its verdict', body['error']['verdict'] == 'not_run'
    )


def check_service() -> None:
    """Nothing ran twice, and no endpoint saw a key."""
    status, body = request('GET', ATELIER, '/executions', key='')
    check('the service lists its executions', status == HTTP_OK)
    check('nothing ran twice', not body['doubles'])
    check('no endpoint saw a key', KEY not in json.dumps(body))


def withdraw_key() -> None:
    """A key that an operator withdraws stops working at every instance."""
    url = f'{OPERATORS}/v1/environment'
    document = request(READ, url, '', key=OPERATOR_KEY)[1]
    document['revision'] += 1
    document['workspaces'][1]['keys'] = []
    status, answer = request('PUT', url, '', document, key=OPERATOR_KEY)
    check(f'the document was accepted: {answer}', status == HTTP_OK)
    give_up = time.monotonic() + WITHDRAWN_WITHIN_S
    while not all(is_refused(entry) for entry in ENTRIES):
        check('the key was withdrawn in time', time.monotonic() < give_up)
        time.sleep(TOOL_PAUSE_S)
    show('withdrawn', f'revision {answer["revision"]} is in force everywhere')


def is_refused(entry: str) -> bool:
    """Return whether an instance refuses the other workspace's key."""
    path = '/v1/programs/p.entry-1.x'
    return request(READ, entry, path, key=OTHER_KEY)[0] == HTTP_UNAUTHORIZED


def chat(entry: str, program: str, step: int, text: str) -> str:
    """Return the answer of one turn, asked with the openai library."""
    client = openai.OpenAI(base_url=f'{entry}/v1', api_key=KEY)
    answer = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': text}],
        extra_headers=step_headers(program, step),
    )
    return answer.choices[0].message.content or ''


def step_headers(program: str, step: int) -> dict[str, str]:
    """Return the two extra headers of a step."""
    return {'Acaciaramp-Program': program, 'Acaciaramp-Step': str(step)}


def create_program(body: dict[str, Any]) -> str:
    """Return the id of a new program."""
    return str(call('POST', ENTRIES[0], '/v1/programs', body)['program'])


def call(
    method: str, entry: str, path: str, body: Any = None, key: str = KEY
) -> Any:
    """Return the JSON of an answer that must be a success."""
    status, answer = request(method, entry, path, body, key)
    check(f'{method} {path} gave {status}: {answer}', status < HTTP_REDIRECT)
    return answer


def request(
    method: str, entry: str, path: str, body: Any = None, key: str = KEY
) -> tuple[int, Any]:
    """Return status and JSON of an answer."""
    headers = [('Authorization', f'Bearer {key}')] if key else []
    content = None if body is None else json.dumps(body).encode()
    resp = httpcore.request(
        method, entry + path, headers=headers, content=content
    )
    return resp.status, json.loads(resp.content)


def wait_ready(entry: str) -> None:
    """Return once the instance is ready."""
    give_up = time.monotonic() + READY_WITHIN_S
    while time.monotonic() < give_up:
        try:
            if httpcore.request('GET', f'{entry}/readyz').status == HTTP_OK:
                return
        except httpcore.ConnectError:
            time.sleep(0.1)
    raise DemoError(f'{entry} did not become ready')


def check(what: str, is_true: bool) -> None:
    """Fail the demo unless something is as it should be."""
    if not is_true:
        raise DemoError(what)


def show(name: str, text: object) -> None:
    """Print one line of the demo."""
    print(f'{name}: {text}')


if __name__ == '__main__':
    try:
        main()
    except (DemoError, openai.OpenAIError) as exc:
        sys.exit(f'The demo failed: {exc}')
