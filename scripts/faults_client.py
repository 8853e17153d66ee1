"""Caller used by ``scripts/faults.sh``; runs one action per invocation.

Usage: faults_client.py PROGRAM_FILE create|turn|reserve|check PORT [STEP]
"""

from __future__ import annotations

import json
import pathlib
import sys
import time
from typing import Any

import httpcore

KEY = 'demo-key-medina'
ATELIER = 'http://127.0.0.1:7301'
RETRY_TIMEOUT_S = 30
RETRY_INTERVAL_S = 0.5
STEP_COUNT = 6
HTTP_REDIRECT = 300
HTTP_UNAVAILABLE = 503


def main() -> None:
    """Run the action given on the command line.

    ``create`` writes the program's id to the program file, from which the
    other actions read it.
    """
    program_file = pathlib.Path(sys.argv[1])
    action, port = sys.argv[2], sys.argv[3]
    address = f'http://127.0.0.1:{port}'
    if action == 'create':
        body = {'service': 'conseil-lm'}
        program = request_until_success('POST', f'{address}/v1/programs', body)
        program_file.write_text(program['program'], encoding='utf-8')
        return
    program = program_file.read_text(encoding='utf-8')
    if action == 'turn':
        send_turn(address, program, int(sys.argv[4]))
    elif action == 'reserve':
        reserve(address, program, int(sys.argv[4]))
    else:
        check(address, program)


def send_turn(address: str, program: str, step: int) -> None:
    """Send a chat request as a step; print its duration and text."""
    started = time.monotonic()
    completion = request_until_success(
        'POST',
        f'{address}/v1/chat/completions',
        {
            'model': 'conseil-lm',
            'messages': [{'role': 'user', 'content': f'turn {step}'}],
        },
        {'Acaciaramp-Program': program, 'Acaciaramp-Step': str(step)},
    )
    text = completion['choices'][0]['message']['content']
    print(f'turn {step} after {time.monotonic() - started:.1f} s: {text}')


def reserve(address: str, program: str, step: int) -> None:
    """Send a non-idempotent reservation as a step."""
    body = {
        'step': step,
        'service': 'atelier-app',
        'path': '/reservations',
        'body': {'form': 'cone-17'},
    }
    url = f'{address}/v1/programs/{program}/calls'
    print('reservation:', request_until_success('POST', url, body))


def check(address: str, program: str) -> None:
    """Check that all steps are done and no request ran twice."""
    url = f'{address}/v1/programs/{program}?history=1'
    history = request_until_success('GET', url)['history']
    states = [step['state'] for step in history]
    if states != ['done' for _ in range(STEP_COUNT)]:
        sys.exit(f'the history is incomplete; states of its steps: {states}')
    duplicates = request_until_success('GET', f'{ATELIER}/executions')[
        'doubles'
    ]
    if duplicates:
        sys.exit(f'requests executed more than once: {duplicates}')
    print(f'the history has {STEP_COUNT} steps and no request ran twice')


def request_until_success(
    method: str, url: str, body: Any = None, extra: dict[str, str] | None = None
) -> Any:
    """Return the JSON of a success response.

    Retries responses with status 503 for up to RETRY_TIMEOUT_S; exits with
    an error after that, and at once for any other error status.
    """
    deadline = time.monotonic() + RETRY_TIMEOUT_S
    headers = [('Authorization', f'Bearer {KEY}'), *(extra or {}).items()]
    content = None if body is None else json.dumps(body).encode()
    while True:
        resp = httpcore.request(method, url, headers=headers, content=content)
        if resp.status < HTTP_REDIRECT:
            return json.loads(resp.content)
        is_expired = time.monotonic() > deadline
        if resp.status != HTTP_UNAVAILABLE or is_expired:
            sys.exit(f'{method} {url} gave {resp.status}: {resp.content!r}')
        time.sleep(RETRY_INTERVAL_S)


if __name__ == '__main__':
    main()
