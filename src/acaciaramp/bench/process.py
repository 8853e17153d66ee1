"""Reads the resource usage of a process from the proc file system."""

from __future__ import annotations

import os
import pathlib

import msgspec

_BYTES_PER_MB = 1_048_576
# Indexes of utime and stime among the fields of /proc/PID/stat that follow the
# command name.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12


class ProcessUsage(msgspec.Struct, frozen=True):
    """Resource usage of a process since its start.

    Attributes:
        cpu_s: Processor time in user and system mode, seconds.
        memory_mb: Resident memory, in units of 1,048,576 bytes.
    """

    cpu_s: float
    memory_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of a process.

    Raises:
        OSError: There is no process with this ID.
    """
    proc_folder = pathlib.Path('/proc') / str(pid)
    stat_fields = (proc_folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(stat_fields[_USER_TICKS_FIELD]) + int(
        stat_fields[_SYSTEM_TICKS_FIELD]
    )
    pages = int((proc_folder / 'statm').read_text().split()[1])
    return ProcessUsage(
        cpu_s=ticks / os.sysconf('SC_CLK_TCK'),
        memory_mb=pages * os.sysconf('SC_PAGE_SIZE') / _BYTES_PER_MB,
    )
