"""Connections that are closed for their memory are counted, and logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.clock import ManualClock
from acaciaramp.metrics import closures
from acaciaramp.metrics.client import Metrics
from acaciaramp.util.caller_budget import CloseReason

if TYPE_CHECKING:
    import pytest


# Guards against a log that uncontrolled callers fill.
def test_closures_are_counted_but_not_all_of_them_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[int] = []

    def record_line(event: str, **fields: int) -> None:
        lines.append(fields['omitted_lines'])

    monkeypatch.setattr(closures.logger, 'warning', record_line)
    clock, metrics = ManualClock(), Metrics()
    log = closures.ClosureLog(clock, metrics)
    for _ in range(100):
        log.record(CloseReason.BODY, 1)
    clock.advance(1_000)
    log.record(CloseReason.BODY, 1)
    assert metrics.counts['caller.closed.body'] == 101
    assert lines == [*(20 * [0]), 80]
