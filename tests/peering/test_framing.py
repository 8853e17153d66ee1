"""Large frames that are being received take a bounded room."""

from __future__ import annotations

import anyio

from acaciaramp.peering.framing import FrameRoom

KIB = 1_024


# Guards against peers that announce large frames and stop short of their end.
def test_large_frames_wait_for_room_and_small_ones_do_not() -> None:
    room = FrameRoom(200 * KIB)
    received: list[str] = []
    may_end = anyio.Event()

    async def receive(name: str, size: int) -> None:
        async with room.taken(size):
            received.append(name)
            await may_end.wait()

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            for name, size in (
                ('first', 150 * KIB),
                ('waits', 100 * KIB),
                ('small', 60 * KIB),
            ):
                tasks.start_soon(receive, name, size)
                await anyio.wait_all_tasks_blocked()
            assert received == ['first', 'small']
            may_end.set()
        assert received == ['first', 'small', 'waits']

    anyio.run(scenario)


def test_a_frame_larger_than_the_room_is_received_alone() -> None:
    room = FrameRoom(100 * KIB)

    async def scenario() -> bool:
        async with room.taken(101 * KIB):
            return True

    assert anyio.run(scenario)
