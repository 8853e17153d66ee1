"""Waits until the instances on the ports given are ready."""

from __future__ import annotations

import sys
import time

import httpcore

READY_WITHIN_S = 20
PAUSE_S = 0.1
HTTP_OK = 200


def is_ready(port: str) -> bool:
    """Return whether the instance on a port is ready."""
    try:
        resp = httpcore.request('GET', f'http://127.0.0.1:{port}/readyz')
    except httpcore.ConnectError:
        return False
    return resp.status == HTTP_OK


def main() -> None:
    """Return once all are ready."""
    give_up = time.monotonic() + READY_WITHIN_S
    waiting = sys.argv[1:]
    while waiting:
        waiting = [port for port in waiting if not is_ready(port)]
        if time.monotonic() > give_up:
            sys.exit(f'not ready: {waiting}')
        time.sleep(PAUSE_S)


if __name__ == '__main__':
    main()
