"""The leader of the ledger is found, and left when it is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import msgspec
import pytest

from acaciaramp.clock import SystemClock
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
    """Links to storage instances of which one may lead.

    Attributes:
        leader: The one that leads.
        hint: Whom the others take for the leader.
        asked: Who was asked, in order.
    """

    def __init__(self, leader: str | None, hint: str | None) -> None:
        """Create the links."""
        self.leader = leader
        self.hint = hint
        self.silent: set[str] = set()
        self.asked: list[str] = []

    def get(self, instance: InstanceId) -> FakeLink:
        """Return the link to an instance."""
        return FakeLink(self, instance)


class FakeLink:
    """The link to one storage instance."""

    def __init__(self, links: FakeLinks, instance: str) -> None:
        """Create the link."""
        self._links = links
        self._instance = instance

    async def request(self, _: Channel, body: bytes, wait_ms: int) -> bytes:
        """Answer, or refuse where another one leads."""
        links = self._links
        links.asked.append(self._instance)
        if self._instance in links.silent:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'silent')
        if self._instance != links.leader:
            raise CallError(ErrorCode.NOT_LEADER, 'no', leader=links.hint)
        return msgspec.msgpack.encode(OpenReply(OpenOutcome.OPENED))


def client(links: FakeLinks) -> LedgerClient:
    return LedgerClient(cast('Links', links), lambda: NAMES, SystemClock())


def test_the_hint_is_followed_and_remembered() -> None:
    links = FakeLinks(leader='c', hint='c')

    async def scenario() -> None:
        found = client(links)
        await found.open(OPEN, 1_000)
        await found.open(OPEN, 1_000)

    anyio.run(scenario)
    assert links.asked == ['a', 'c', 'c']


def test_a_silent_instance_is_not_asked_again_at_others_word() -> None:
    links = FakeLinks(leader=None, hint='a')
    links.silent = {'a'}

    async def scenario() -> None:
        with pytest.raises(CallError):
            await client(links).open(OPEN, 400)

    anyio.run(scenario)
    assert links.asked.count('a') == 1
    assert {'b', 'c'} <= set(links.asked)


def test_a_reply_of_another_kind_is_an_error() -> None:
    class OddLink(FakeLink):
        async def request(self, *_: object) -> bytes:
            return msgspec.msgpack.encode(CloseReply())

    links = FakeLinks(leader='a', hint=None)
    links.get = lambda instance: OddLink(links, instance)  # type: ignore[method-assign]
    with pytest.raises(CallError, match='another kind'):
        anyio.run(client(links).open, OPEN, 100)
