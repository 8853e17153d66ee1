"""Bounds of processes, and a check of a process against them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from tests.memory.processes import STREAM_PATH

if TYPE_CHECKING:
    from tests.memory.processes import Process

MB = 1_000_000
KIB = 1_024
# Half of the memory of the smallest machine, an entry with 128 MB, so that few
# callers show the fault.
MEMORY_MB = 64
# Half of it again: an idle process takes 45 MB of 128 MB, and what it holds for
# callers at most half of them.
GROWTH_BYTES = MEMORY_MB * MB // 2
# ``acaciaramp serve`` runs with its default, that of an entry of 128 MB.
SERVE_GROWTH_BYTES = 64 * MB
MAX_DESCRIPTORS = 150
SETTINGS = {'memory_mb': MEMORY_MB, 'max_descriptors': MAX_DESCRIPTORS}
BODY_BYTES = 4_194_304
# Longer than any test, so that what is left open stays open unless the process
# closes it to keep within its memory.
LONG_MS = 120_000
CONFIG: dict[str, Any] = {
    'version': 1,
    'routes': [
        {
            'name': 'form',
            'host': 'example.test',
            'pathPrefix': '/form',
            'routeKind': 'non_idempotent',
            'timeoutMs': LONG_MS,
            'service': 'form',
            'public': True,
        },
        {
            'name': 'chat',
            'host': 'example.test',
            'pathPrefix': STREAM_PATH,
            'routeKind': 'streaming',
            'timeoutMs': LONG_MS,
            'service': 'form',
            'public': True,
            'retained': True,
            'retentionS': 600.0,
        },
    ],
    'services': [{'name': 'form', 'engine': {'chunkTokens': 1}}],
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': BODY_BYTES,
        'headerTimeoutMs': LONG_MS,
        'idleTimeoutMs': LONG_MS,
    },
}


class Watch:
    """Checks a process against its bounds."""

    def __init__(self, process: Process, growth_bytes: int) -> None:
        """Warm the process up and read its memory while it is idle."""
        self._process = process
        self._growth_bytes = growth_bytes
        process.warm_up()
        self._idle_bytes = process.peak_bytes

    def check(self, max_descriptors: int = MAX_DESCRIPTORS) -> None:
        """Check the process while callers keep their connections open."""
        process = self._process
        assert process.is_alive
        status = process.request().status
        # The largest memory is read last, so that it includes what came until
        # the ordinary request was answered.
        descriptors = process.descriptors
        grown = process.peak_bytes - self._idle_bytes
        sys.stdout.write(
            f'idle {self._idle_bytes} B, grown {grown} B, bound '
            f'{self._growth_bytes} B; {descriptors} descriptors\n'
        )
        assert status == 200
        assert grown < self._growth_bytes
        assert descriptors < max_descriptors
