"""Waits until the instances on the given local ports are ready."""

from __future__ import annotations

import sys
import time

import httpcore

READY_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.1
HTTP_OK = 200


def is_ready(port: str) -> bool:
    """Return whether the instance on a port is ready."""
    try:
        resp = httpcore.request('GET', f'http://127.0.0.1:{port}/readyz')
    except httpcore.ConnectError:
        return False
    return resp.status == HTTP_OK


def main() -> None:
    """Poll the ports of the command line until all are ready.

    Exits with an error if an instance is not ready after READY_TIMEOUT_S.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    pending = sys.argv[1:]
    while pending:
        pending = [port for port in pending if not is_ready(port)]
        if time.monotonic() > deadline:
            sys.exit(f'instances not ready in time, by port: {pending}')
        time.sleep(POLL_INTERVAL_S)


if __name__ == '__main__':
    main()
