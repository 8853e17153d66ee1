"""How much resident memory a process may still take."""

from __future__ import annotations

import math

from acaciaramp.util.resident_memory import (
    ResidentMemory,
    read_resident_bytes,
)

MB = 1_000_000
MEMORY_BYTES = 100 * MB


class Fixture:
    """A process with memory and a clock that are set by hand.

    Attributes:
        resident_bytes: Resident memory of the process; None if not known.
        freed_bytes: How much of it is returned when that is asked for.
        now_s: Time, seconds.
        changes: What was recorded.
        releases: Number of times that free memory was returned.
        memory: What is tested.
    """

    def __init__(self, resident_bytes: int | None) -> None:
        """Create the process."""
        self.resident_bytes = resident_bytes
        self.freed_bytes = 0
        self.now_s = float(0)
        self.changes: list[tuple[bool, int]] = []
        self.releases = 0
        self.memory = ResidentMemory(
            MEMORY_BYTES,
            lambda *change: self.changes.append(change),
            lambda: self.resident_bytes,
            self._release,
            lambda: self.now_s,
        )

    def _release(self) -> None:
        self.releases += 1
        if self.resident_bytes is not None:
            self.resident_bytes -= self.freed_bytes


def test_the_room_is_what_is_left_of_the_usable_memory() -> None:
    fixture = Fixture(50 * MB)
    assert fixture.memory.room_bytes() == 20 * MB
    assert not fixture.changes
    assert not fixture.releases


def test_free_memory_is_returned_before_memory_counts_as_scarce() -> None:
    fixture = Fixture(80 * MB)
    fixture.freed_bytes = 20 * MB
    assert fixture.memory.room_bytes() == 10 * MB
    assert not fixture.changes


# Guards against the time that it takes to look for free memory again and again.
def test_free_memory_is_returned_once_a_second_at_most() -> None:
    fixture = Fixture(80 * MB)
    for now_s in (0, 0.5, 0.9, 1.0):
        fixture.now_s = now_s
        fixture.memory.room_bytes()
    assert fixture.releases == 2


def test_each_change_is_recorded_once() -> None:
    fixture = Fixture(80 * MB)
    for resident_mb in (80, 71, 69, 66, 64, 69, 71):
        fixture.resident_bytes = resident_mb * MB
        fixture.memory.room_bytes()
    expected = [(True, 80 * MB), (False, 64 * MB), (True, 71 * MB)]
    assert fixture.changes == expected


def test_memory_that_is_not_known_sets_no_limit() -> None:
    assert Fixture(None).memory.room_bytes() == math.inf


def test_the_memory_of_this_process_is_known() -> None:
    resident_bytes = read_resident_bytes()
    assert resident_bytes is not None
    assert MB < resident_bytes < 10_000 * MB
