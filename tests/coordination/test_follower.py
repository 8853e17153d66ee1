"""The follower of the control group and replies that it cannot use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import anyio
import anyio.lowlevel
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.codec import decode_request, encode, pack_table
from acaciaramp.coordination.follower import Follower
from acaciaramp.coordination.messages import (
    NO_TABLE,
    Done,
    FollowReply,
    FollowRequest,
    ReadState,
    StateReply,
)
from acaciaramp.coordination.tables import make_delta
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.roles.common import noop
from acaciaramp.settings.node import RoleName
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.peering.links import Links


class ScriptedLinks:
    """Links to control instances that all give the same reply.

    Attributes:
        requests: Number of requests so far.
    """

    is_connected = True

    def __init__(self, reply: bytes) -> None:
        """Create the links."""
        self.requests = 0
        self.metrics = Metrics()
        self._reply = reply

    def get(self, _: InstanceId) -> ScriptedLinks:
        """Return the link to an instance."""
        return self

    async def request(self, *_: Any) -> bytes:
        """Count the request and return the reply."""
        self.requests += 1
        await anyio.lowlevel.checkpoint()
        return self._reply


@pytest.mark.parametrize('reply', [encode(Done()), b'\xc1'])
def test_unusable_reply_is_not_asked_for_again_at_once(reply: bytes) -> None:
    links = ScriptedLinks(reply)
    clock = ManualClock()
    follower = Follower(
        build.node('e-1', RoleName.ENTRY),
        lambda: [InstanceId('c-1')],
        cast('Links', links),
        clock,
        noop,
        noop,
        lambda: None,
    )
    errors: list[CallError] = []

    async def request() -> None:
        try:
            await follower.request(ReadState(), StateReply, 1_000)
        except CallError as exc:
            errors.append(exc)

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request)
            for _ in range(1_000):
                await anyio.wait_all_tasks_blocked()
                clock.advance(1)
            await anyio.wait_all_tasks_blocked()
            tasks.start_soon(follower.run)
            for _ in range(1_000):
                await anyio.wait_all_tasks_blocked()
                clock.advance(1)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert len(errors) == 1
    assert links.requests <= 25


class SilentLinks(ScriptedLinks):
    """Open links whose replies take longer than every timeout.

    Attributes:
        timeouts_ms: Timeout of each request.
    """

    def __init__(self, clock: ManualClock) -> None:
        """Create the links."""
        super().__init__(b'')
        self.timeouts_ms: list[int] = []
        self._clock = clock

    async def request(self, *args: Any) -> bytes:
        """Reply with a failure after the timeout."""
        wait_ms: int = args[-1]
        self.timeouts_ms.append(wait_ms)
        await self._clock.sleep_ms(wait_ms)
        raise CallError(ErrorCode.HOME_UNREACHABLE, 'silent')


def test_timeout_of_reports_grows_until_a_large_reply_can_arrive() -> None:
    clock = ManualClock()
    links = SilentLinks(clock)
    follower = Follower(
        build.node('e-1', RoleName.ENTRY),
        lambda: [InstanceId('c-1')],
        cast('Links', links),
        clock,
        noop,
        noop,
        lambda: None,
    )

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            for _ in range(400):
                await anyio.wait_all_tasks_blocked()
                clock.advance(100)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    assert links.timeouts_ms[:5] == [1_200, 2_400, 4_800, 9_600, 9_600]


class TableLinks(ScriptedLinks):
    """Links to a leader that sends one reply after the other.

    Attributes:
        versions: Version that each report names.
    """

    def __init__(self, *replies: FollowReply) -> None:
        """Create the links."""
        super().__init__(b'')
        self.versions: list[int] = []
        self._replies = list(replies)

    async def request(self, *args: Any) -> bytes:
        """Return the next reply; wait for ever after the last."""
        req = decode_request(args[1])
        assert isinstance(req, FollowRequest)
        self.versions.append(req.version)
        if not self._replies:
            await anyio.sleep_forever()
        return encode(self._replies.pop(0))


def follow(
    links: TableLinks, *, needs_table: bool = True
) -> tuple[Follower, list[bytes]]:
    """Let a follower handle all replies; return it and the tables it got."""
    bodies: list[bytes] = []
    follower = Follower(
        build.node('e-1', RoleName.ENTRY),
        lambda: [InstanceId('c-1')],
        cast('Links', links),
        ManualClock(),
        bodies.append if needs_table else None,
        noop,
        lambda: None,
    )

    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    return follower, bodies


FIRST = b'{"version":1,"routes":[{"name":"a"},{"name":"b"}]}'
SECOND = b'{"version":2,"routes":[{"name":"a"},{"name":"c"}]}'


def test_table_follows_from_a_difference() -> None:
    links = TableLinks(
        FollowReply(version=1, table=pack_table(FIRST)),
        FollowReply(version=2, delta=make_delta(FIRST, SECOND)),
    )
    follower, bodies = follow(links)
    assert bodies == [FIRST, SECOND]
    assert links.versions == [0, 1, 2]
    assert follower.table.body == SECOND


def test_whole_table_is_requested_after_an_unusable_difference() -> None:
    links = TableLinks(
        FollowReply(version=1, table=pack_table(FIRST)),
        FollowReply(version=2, delta=make_delta(SECOND, FIRST)),
        FollowReply(version=2, table=pack_table(SECOND)),
    )
    _, bodies = follow(links)
    assert bodies == [FIRST, SECOND]
    assert links.versions == [0, 1, 0, 2]


def test_instance_without_need_of_a_table_gets_none() -> None:
    links = TableLinks(FollowReply(version=1))
    _, bodies = follow(links, needs_table=False)
    assert links.versions == [NO_TABLE, NO_TABLE]
    assert not bodies
