"""Memory that is returned to the system, in a process of its own."""

from __future__ import annotations

import subprocess
import sys

MB = 1_000_000
# Bodies that grow in steps, beside small objects that live on; a larger block is
# freed first, which changes the default settings of the heap.
SCRIPT = """
import sys
from acaciaramp.util.heap import map_large_blocks

def resident_bytes():
    status = open('/proc/self/status').read()
    return 1_024 * int(status.partition('VmRSS:')[2].split()[0])

if not map_large_blocks():
    sys.exit('the C library has no such settings')
idle = resident_bytes()
large = bytearray(8_000_000)
del large
bodies, objects = [], []
for _ in range(1_000):
    body = bytearray()
    for _ in range(4):
        body += bytes(16_384)
        objects.append(bytearray(1_000))
    bodies.append(body)
bodies.clear()
print(resident_bytes() - idle)
"""


# Guards against bodies whose memory stays in use after they were freed.
def test_freed_bodies_are_returned_to_the_system() -> None:
    result = subprocess.run(  # noqa: S603
        [sys.executable, '-c', SCRIPT],
        check=True,
        capture_output=True,
        text=True,
    )
    # 4,000 objects take 4 MB, and the bodies that are freed 64 MB.
    assert int(result.stdout) < 16 * MB
