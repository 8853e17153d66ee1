"""Entries of the instance list that cannot be read leave the others."""

from __future__ import annotations

import msgspec

from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.instances import decode_entries

GOOD = (
    b'{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",'
    b'"slots":12,"state":"draining","coldLeftMs":0,"id":"i-1","born":5}'
)
BAD = (
    b'{}',
    b'7',
    b'"\xff"',
    GOOD.replace(b'"slots":12', b'"slots":"many"'),
    GOOD.replace(b'draining', b'asleep'),
    GOOD.replace(b'10.0.0.9:80', b'nowhere'),
    GOOD.replace(b'10.0.0.9:80', b'10.0.0.9:x'),
    GOOD.replace(b'"i-1"', b'null'),
)


def test_unreadable_entries_are_left_out() -> None:
    entries = [msgspec.Raw(entry) for entry in (*BAD, GOOD, *BAD)]
    metrics = Metrics()
    (found,) = decode_entries(entries, metrics)
    assert metrics.counts['bad_input.list_entry'] == 2 * len(BAD)
    assert (found.id, found.host, found.port) == ('i-1', '10.0.0.9', 80)
    assert (found.slots, found.is_leaving, found.born_ms) == (12, True, 5)
