"""Operators' calls become orders to the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.coordination.messages import Evacuate, StateReply
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.operators import make_operator_app
from tests.forwarding.endpoint import FakeCaller

if TYPE_CHECKING:
    from acaciaramp.coordination.follower import Follower
    from acaciaramp.coordination.messages import ControlRequest


class FakeFollower:
    """A follower whose leader commits every order, if there is one.

    Attributes:
        orders: Orders in their order.
        has_leader: Whether a leader replies.
    """

    def __init__(self) -> None:
        """Create it with a leader."""
        self.orders: list[ControlRequest] = []
        self.has_leader = True

    async def request(
        self, req: ControlRequest, reply_type: type, timeout_ms: int
    ) -> StateReply:
        """Commit an order."""
        if not self.has_leader:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'no leader')
        self.orders.append(req)
        return StateReply(0, b'')


def call(follower: FakeFollower, method: str, path: str) -> int:
    """Send an operator's call and return the status."""

    async def main() -> int:
        app = make_operator_app(
            cast('Follower', follower), Metrics(), SystemClock()
        )
        caller = FakeCaller(b'')
        await app(
            {'method': method, 'path': path, 'headers': []},
            caller.receive,
            caller.send,
        )
        return caller.status

    return anyio.run(main)


def test_evacuation_is_acknowledged_once_it_is_committed() -> None:
    follower = FakeFollower()
    assert call(follower, 'POST', '/v1/evacuations/a-1/begin') == 200
    assert call(follower, 'POST', '/v1/evacuations/a-1/finish') == 200
    assert follower.orders == [
        Evacuate('a-1'),
        Evacuate('a-1', has_begun=False),
    ]


def test_evacuation_that_is_not_committed_is_not_acknowledged() -> None:
    follower = FakeFollower()
    follower.has_leader = False
    assert call(follower, 'POST', '/v1/evacuations/a-1/begin') == 503


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/evacuations/a-1/begin'),
        ('POST', '/v1/evacuations/a-1/stop'),
        ('POST', '/v1/evacuations//begin'),
        ('POST', '/v1/evacuations/begin'),
    ],
)
def test_other_calls_evacuate_nothing(method: str, path: str) -> None:
    follower = FakeFollower()
    assert call(follower, method, path) == 404
    assert not follower.orders
