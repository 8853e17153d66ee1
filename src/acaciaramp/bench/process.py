"""What a process has used, read from the proc file system."""

from __future__ import annotations

import os
import pathlib

import msgspec

_BYTES_PER_MB = 1_048_576
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


class ProcessUsage(msgspec.Struct, frozen=True):
    """What a process has used so far.

    Attributes:
        cpu_s: Processor time, seconds.
        memory_mb: Resident memory, megabytes.
    """

    cpu_s: float
    memory_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Return what a process has used.

    Raises:
        OSError: There is no such process.
    """
    folder = pathlib.Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    pages = int((folder / 'statm').read_text().split()[1])
    return ProcessUsage(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        memory_mb=pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB,
    )
