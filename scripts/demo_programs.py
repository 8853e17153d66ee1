"""Runs and checks agent programs against the instances of ``make demo``."""

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
OPERATOR_API = 'http://127.0.0.1:7204'
OPERATOR_KEY = 'demo-operators'
WITHDRAWAL_TIMEOUT_S = 10
HTTP_UNAUTHORIZED = 401
SERVICE = 'http://127.0.0.1:7301'
READY_TIMEOUT_S = 20
PAUSE_S = 0.3
HTTP_OK = 200
HTTP_GET = 'GET'
HTTP_REDIRECT = 300
HTTP_NOT_FOUND = 404


class DemoError(Exception):
    """A check of the demo failed."""


def main() -> None:
    """Wait for the instances, run all programs and print their results."""
    for entry in ENTRIES:
        wait_ready(entry)
    program = create_program(
        {'service': 'conseil-lm', 'budget': {'tokens': 9000}}
    )
    print_value('program', program)
    run_turns(program)
    run_reservation(program)
    run_sub_agent(program)
    run_open_route()
    run_wrong_key(program)
    state = call('GET', ENTRIES[1], f'/v1/programs/{program}?history=1')
    check('the history has 5 steps', len(state['history']) == 5)
    print_value('tokens left', state['left']['tokens'])
    ended = call('DELETE', ENTRIES[2], f'/v1/programs/{program}')
    check('the program has ended', ended['state'] == 'ended')
    check_executions()
    withdraw_key()
    print('All checks passed.')


def run_turns(program: str) -> None:
    """Run two turns and a streamed one, each through another instance."""
    first = chat(ENTRIES[0], program, 1, 'My felt shrinks on the form.')
    print_value('turn 1', first)
    check(
        'turn 1 has the expected text',
        first.startswith('I have read 1 messages'),
    )
    time.sleep(PAUSE_S)
    second = chat(ENTRIES[1], program, 2, 'It is wool from the spring.')
    print_value('turn 2', second)
    check(
        'turn 2 includes the history of turn 1',
        second.startswith('I have read 3 messages'),
    )
    client = openai.OpenAI(base_url=f'{ENTRIES[2]}/v1', api_key=KEY)
    stream = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': 'Stream it to me.'}],
        stream=True,
        extra_headers=step_headers(program, 3),
    )
    deltas = [chunk.choices[0].delta.content or '' for chunk in stream]
    print_value('stream', ''.join(deltas))
    check(
        'the streamed text is complete',
        ''.join(deltas).strip().endswith('to me.'),
    )


def run_reservation(program: str) -> None:
    """Send a reservation twice through two instances; it must run once."""
    body = {
        'step': 4,
        'service': 'atelier-app',
        'path': '/reservations',
        'body': {'form': 'cone-17'},
        'repeatable': False,
    }
    path = f'/v1/programs/{program}/calls'
    first = call('POST', ENTRIES[0], path, body)
    resent = call('POST', ENTRIES[1], path, body)
    print_value('reservation', first)
    check('the resent call got the recorded response', first == resent)


def run_sub_agent(program: str) -> None:
    """Run a sub-agent whose budget is taken out of its parent's budget."""
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
    check('the budget was taken from the parent', before - after == 1000)
    print_value(
        'sub-agent', chat(ENTRIES[2], child, 1, 'Read the catalogue notes.')
    )
    print_value('turn 5', chat(ENTRIES[0], program, 5, 'Sum it up.'))


def run_open_route() -> None:
    """Call an open route without a key."""
    hours = call(
        'GET', ENTRIES[0], '/v1/services/atelier-app/opening-hours', key=''
    )
    check(
        'the open route reaches the service', hours['path'] == '/opening-hours'
    )


def run_wrong_key(program: str) -> None:
    """Check that a program of another workspace is reported as unknown."""
    status, body = request(
        'GET', ENTRIES[0], f'/v1/programs/{program}', key=OTHER_KEY
    )
    check(
        'the program is unknown to another workspace', status == HTTP_NOT_FOUND
    )
    check(
        'the refusal has the verdict not_run',
        body['error']['verdict'] == 'not_run',
    )


def check_executions() -> None:
    """Check that no request ran twice and the service received no key."""
    status, body = request('GET', SERVICE, '/executions', key='')
    check('the service lists its executions', status == HTTP_OK)
    check('no request ran twice', not body['doubles'])
    check('the service received no API key', KEY not in json.dumps(body))


def withdraw_key() -> None:
    """Withdraw a key; every instance must refuse it in time."""
    url = f'{OPERATOR_API}/v1/environment'
    document = request(HTTP_GET, url, '', key=OPERATOR_KEY)[1]
    document['revision'] += 1
    document['workspaces'][1]['keys'] = []
    status, answer = request('PUT', url, '', document, key=OPERATOR_KEY)
    check(f'the document was accepted: {answer}', status == HTTP_OK)
    deadline = time.monotonic() + WITHDRAWAL_TIMEOUT_S
    while not all(is_refused(entry) for entry in ENTRIES):
        check('the key was withdrawn in time', time.monotonic() < deadline)
        time.sleep(PAUSE_S)
    print_value(
        'withdrawn',
        f'revision {answer["revision"]} is active on every instance',
    )


def is_refused(entry: str) -> bool:
    """Return whether an instance refuses the other workspace's key."""
    path = '/v1/programs/p.entry-1.x'
    return request(HTTP_GET, entry, path, key=OTHER_KEY)[0] == HTTP_UNAUTHORIZED


def chat(entry: str, program: str, step: int, text: str) -> str:
    """Send a step with the openai library and return the response text."""
    client = openai.OpenAI(base_url=f'{entry}/v1', api_key=KEY)
    completion = client.chat.completions.create(
        model='conseil-lm',
        messages=[{'role': 'user', 'content': text}],
        extra_headers=step_headers(program, step),
    )
    return completion.choices[0].message.content or ''


def step_headers(program: str, step: int) -> dict[str, str]:
    """Return the headers that identify a step."""
    return {'Acaciaramp-Program': program, 'Acaciaramp-Step': str(step)}


def create_program(body: dict[str, Any]) -> str:
    """Create a program and return its id."""
    return str(call('POST', ENTRIES[0], '/v1/programs', body)['program'])


def call(
    method: str, entry: str, path: str, body: Any = None, key: str = KEY
) -> Any:
    """Send a request and return the JSON of its success response.

    Raises:
        DemoError: The response has an error status.
    """
    status, answer = request(method, entry, path, body, key)
    check(f'{method} {path} gave {status}: {answer}', status < HTTP_REDIRECT)
    return answer


def request(
    method: str, entry: str, path: str, body: Any = None, key: str = KEY
) -> tuple[int, Any]:
    """Send a request and return the status and JSON of the response."""
    headers = [('Authorization', f'Bearer {key}')] if key else []
    content = None if body is None else json.dumps(body).encode()
    resp = httpcore.request(
        method, entry + path, headers=headers, content=content
    )
    return resp.status, json.loads(resp.content)


def wait_ready(entry: str) -> None:
    """Wait until an instance is ready.

    Raises:
        DemoError: The instance is not ready after READY_TIMEOUT_S.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if httpcore.request('GET', f'{entry}/readyz').status == HTTP_OK:
                return
        except httpcore.ConnectError:
            time.sleep(0.1)
    raise DemoError(f'{entry} did not become ready in time')


def check(condition: str, is_true: bool) -> None:
    """Raise an error that names the condition unless it is true."""
    if not is_true:
        raise DemoError(condition)


def print_value(name: str, text: object) -> None:
    """Print a labelled value."""
    print(f'{name}: {text}')


if __name__ == '__main__':
    try:
        main()
    except (DemoError, openai.OpenAIError) as exc:
        sys.exit(f'The demo failed: {exc}')
