"""Responses in many small parts leave the event loop to other tasks.

Guards against an endpoint that sends chunks of one byte or tiny events without end:
the entry then loses its links to other instances, and refuses ordinary requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.pacing import RelayTurns
from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import (
    FakeCaller,
    ReceivedRequest,
    response_to,
)
from tests.forwarding.harness import Harness, run

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.forwarding.endpoint import ScriptedEndpoint

LONG_MS = 60_000
STREAMING = build.route(timeout_ms=LONG_MS)
WHOLE = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=LONG_MS)
PARTS = 5_000
# Two turns of 32 parts may begin between two runs of another task.
MOST_PARTS_AT_ONCE = 64


async def largest_step(
    count: Callable[[], int], work: Callable[[], Awaitable[object]]
) -> int:
    """Return by how much a count grows at most without another task running."""
    steps = [0]

    async def watch() -> None:
        before = count()
        while True:
            await anyio.lowlevel.checkpoint()
            steps.append(count() - before)
            before = count()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        await work()
        tasks.cancel_scope.cancel()
    return max(steps)


def one_byte_chunks(request: ReceivedRequest) -> list[bytes | None]:
    head = (
        b'HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\n'
        b'transfer-encoding: chunked\r\n\r\n' % request.attempt
    )
    return [head + PARTS * b'1\r\n\n\r\n' + b'0\r\n\r\n']


class CountingCaller(FakeCaller):
    """A caller that counts the parts of its response."""

    @property
    def parts(self) -> int:
        """Number of parts that were sent."""
        return len(self.sent)


def test_tiny_chunks_of_a_stream_leave_time_to_others() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = CountingCaller()
        step = await largest_step(
            lambda: caller.parts, lambda: harness.request(caller=caller)
        )
        assert caller.body == PARTS * b'\n'
        assert step <= MOST_PARTS_AT_ONCE

    run(STREAMING, scenario, one_byte_chunks)


def test_tiny_chunks_of_a_whole_response_leave_time_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    received = [0]
    append = build_append(received)
    monkeypatch.setattr(
        'acaciaramp.forwarding.relay.ResponseBuffer.append', append
    )

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        step = await largest_step(lambda: received[0], harness.request)
        assert received[0] == PARTS
        assert step <= MOST_PARTS_AT_ONCE

    run(WHOLE, scenario, one_byte_chunks)


def build_append(received: list[int]) -> Callable[[object, bytes], None]:
    def append(_: object, part: bytes) -> None:
        received[0] += len(part)

    return append


# A read of 64 KiB would bring 2,600 of them.
def test_informational_responses_leave_time_to_others() -> None:
    count = 2_000

    def informational(request: ReceivedRequest) -> list[bytes | None]:
        final = response_to(request, b'thing')
        return [count * b'HTTP/1.1 100 Continue\r\n\r\n' + final]

    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        runs = [0]

        async def watch() -> None:
            while True:
                await anyio.lowlevel.checkpoint()
                runs[0] += 1

        async with anyio.create_task_group() as tasks:
            caller = await harness.request('a1')
            tasks.start_soon(watch)
            runs[0] = 0
            caller = await harness.request('a2')
            tasks.cancel_scope.cancel()
        assert caller.body == b'thing'
        # One read of up to 4 KiB at a time.
        assert runs[0] >= count * 25 // 4_096

    run(WHOLE, scenario, informational)


def pause_times(
    route_parts: int, size: int, clock: ManualClock, step_ms: int
) -> int:
    """Return how often a response pauses, whose parts are ``step_ms`` apart."""
    pauses = [0]

    class CountedTurns(RelayTurns):
        async def pause(self, took_ms: int) -> None:
            pauses[0] += 1

    async def main() -> None:
        pace = CountedTurns(clock).open()
        for _ in range(route_parts):
            clock.advance(step_ms)
            await pace.record_part(size)

    anyio.run(main)
    return pauses[0]


@pytest.mark.parametrize(
    ('parts', 'size', 'pauses'),
    [(31, 1, 0), (64, 1, 2), (3, 32_768, 1), (2, 65_536, 2)],
)
def test_a_turn_ends_after_some_parts_or_bytes(
    parts: int, size: int, pauses: int
) -> None:
    assert pause_times(parts, size, ManualClock(), 0) == pauses


def test_only_one_response_has_its_turn() -> None:
    async def main() -> int:
        clock = ManualClock()
        turns = RelayTurns(clock)
        ended = [0]

        async def pause() -> None:
            await turns.pause(5)
            ended[0] += 1

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(pause)
            await anyio.wait_all_tasks_blocked()
            clock.advance(5)
            await anyio.wait_all_tasks_blocked()
            first = ended[0]
            tasks.cancel_scope.cancel()
        return first

    assert anyio.run(main) == 1


# Guards against ordinary streams that wait for their turn.
def test_a_response_that_waits_for_its_parts_needs_no_turn() -> None:
    async def main() -> None:
        with anyio.fail_after(1):
            await RelayTurns(ManualClock()).pause(101)

    anyio.run(main)
