"""LedgerClient finds the leader and avoids instances that do not reply."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock, SystemClock
from acaciaramp.conversations.client import LedgerClient
from acaciaramp.conversations.messages import (
    CloseReply,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    TurnKey,
)
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.ids import InstanceId
from tests import builders as build

if TYPE_CHECKING:
    from acaciaramp.peering.links import Links
    from acaciaramp.peering.messages import Channel

OPEN = OpenTurn(turn=TurnKey(build.WORKSPACE, 'a1'))
NAMES = [InstanceId(name) for name in 'abc']


class FakeLinks:
    """Links to storage instances, at most one of which is the leader.

    Attributes:
        leader: The leader, if any.
        hint: Leader that the other instances name in their refusals.
        unreachable: Instances that do not reply.
        requested: Instances that got a request, in order.
    """

    def __init__(self, leader: str | None, hint: str | None) -> None:
        """Create the links."""
        self.leader = leader
        self.hint = hint
        self.unreachable: set[str] = set()
        self.requested: list[str] = []

    def get(self, instance: InstanceId) -> FakeLink:
        """Return the link to an instance."""
        return FakeLink(self, instance)


class FakeLink:
    """The link to one storage instance."""

    def __init__(self, links: FakeLinks, instance: str) -> None:
        """Create the link."""
        self._links = links
        self._instance = instance

    @property
    def is_connected(self) -> bool:
        """Whether the instance can be reached."""
        return self._instance not in self._links.unreachable

    async def request(self, _: Channel, body: bytes, wait_ms: int) -> bytes:
        """Reply as the leader, or refuse as a follower."""
        links = self._links
        links.requested.append(self._instance)
        if self._instance in links.unreachable:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'silent')
        if self._instance != links.leader:
            raise CallError(ErrorCode.NOT_LEADER, 'no', leader=links.hint)
        return msgspec.msgpack.encode(OpenReply(OpenOutcome.OPENED))


def make_client(links: FakeLinks) -> LedgerClient:
    return LedgerClient(cast('Links', links), lambda: NAMES, SystemClock())


def test_the_leader_named_by_a_follower_is_remembered() -> None:
    links = FakeLinks(leader='c', hint='c')

    async def scenario() -> None:
        client = make_client(links)
        await client.open_turn(OPEN, 1_000)
        await client.open_turn(OPEN, 1_000)

    anyio.run(scenario)
    assert links.requested == ['a', 'c', 'c']


def test_an_unreachable_instance_is_avoided_despite_leader_hints() -> None:
    links = FakeLinks(leader=None, hint='a')
    links.unreachable = {'a'}

    async def scenario() -> None:
        with pytest.raises(CallError):
            await make_client(links).open_turn(OPEN, 400)

    anyio.run(scenario)
    assert links.requested.count('a') == 1
    assert {'b', 'c'} <= set(links.requested)


def test_a_reply_of_the_wrong_type_is_an_error() -> None:
    class WrongReplyLink(FakeLink):
        async def request(self, *_: object) -> bytes:
            return msgspec.msgpack.encode(CloseReply())

    links = FakeLinks(leader='a', hint=None)
    links.get = lambda instance: WrongReplyLink(links, instance)  # type: ignore[method-assign]
    with pytest.raises(CallError, match='another kind'):
        anyio.run(make_client(links).open_turn, OPEN, 100)


def test_waiting_requests_do_not_multiply_while_the_leader_is_slow() -> None:
    clock = ManualClock()

    class SlowLeaderLink(FakeLink):
        async def request(self, _: Channel, body: bytes, wait_ms: int) -> bytes:
            if self._instance == 'c':
                self._links.requested.append('c')
                await clock.sleep_ms(wait_ms)
                raise CallError(ErrorCode.HOME_UNREACHABLE, 'slow')
            await clock.sleep_ms(10)
            return await super().request(_, body, wait_ms)

    links = FakeLinks(leader='c', hint='c')
    links.get = lambda instance: SlowLeaderLink(links, instance)  # type: ignore[method-assign]
    waiting, duration_ms = 100, 3_000

    async def scenario() -> None:
        client = LedgerClient(cast('Links', links), lambda: NAMES, clock)
        async with anyio.create_task_group() as tasks:
            for _ in range(waiting):
                tasks.start_soon(client.open_turn, OPEN, 10 * duration_ms)
            for _ in range(duration_ms // 10):
                await anyio.wait_all_tasks_blocked()
                clock.advance(10)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    to_leader = links.requested.count('c')
    # Attempts that take 400 ms, 800 ms and 1,600 ms fit into the time.
    assert to_leader <= 4 * waiting
    assert len(links.requested) - to_leader <= duration_ms / 50
