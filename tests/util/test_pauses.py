"""A pause of the process is logged when the process continues."""

from __future__ import annotations

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.util import pauses


@pytest.mark.parametrize(('late_ms', 'expected'), [(3_000, [3_000]), (50, [])])
def test_a_pause_is_logged_once(
    monkeypatch: pytest.MonkeyPatch, late_ms: int, expected: list[int]
) -> None:
    recorded: list[int] = []

    def record(_: str, *, paused_ms: int) -> None:
        recorded.append(paused_ms)

    monkeypatch.setattr(pauses.logger, 'warning', record)

    async def scenario() -> None:
        clock = ManualClock()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pauses.log_pauses, clock)
            for passed_ms in (500, 500 + late_ms, 500):
                await anyio.wait_all_tasks_blocked()
                clock.advance(passed_ms)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert recorded == expected
