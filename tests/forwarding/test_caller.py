"""Bodies that are refused before they have arrived."""

from __future__ import annotations

import sys
from typing import Any

import anyio
import pytest

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.caller import Caller, announced_bytes

CLOSE = (b'connection', b'close')
MAX_BYTES = 100


class FakeServer:
    """A web server with the parts of one body.

    Attributes:
        parts: Parts of the body that were not received yet.
        sent: Messages that were sent.
    """

    def __init__(self, *parts: bytes) -> None:
        """Create the server."""
        self.parts = list(parts)
        self.sent: list[dict[str, Any]] = []

    async def receive(self) -> dict[str, Any]:
        part = self.parts.pop(0)
        return {
            'type': 'http.request',
            'body': part,
            'more_body': bool(self.parts),
        }

    async def send(self, message: dict[str, Any]) -> None:
        self.sent.append(message)

    def caller(self, announced: int | None = None) -> Caller:
        return Caller(
            self.receive,
            self.send,
            should_close=bool,
            announced_bytes=announced,
        )


async def refuse(caller: Caller) -> None:
    """Read a body that is refused, and send a response."""
    with pytest.raises(CallError) as caught:
        await caller.read_body(MAX_BYTES)
    assert caught.value.refusal.code is ErrorCode.BODY_TOO_LARGE
    await caller.send_response(413, [], b'')


# Guards against a part that is held beside the body that it was added to.
def test_a_part_of_a_body_is_released_before_the_next_one_is_awaited() -> None:
    parts = [bytes([number]) * MAX_BYTES for number in range(2)]
    references: list[int] = []

    async def receive() -> dict[str, Any]:
        references.append(sys.getrefcount(parts[0]))
        part = parts[len(references) - 1]
        has_more = len(references) < len(parts)
        return {'type': 'http.request', 'body': part, 'more_body': has_more}

    caller = Caller(receive, FakeServer().send, should_close=bool)
    body = anyio.run(caller.read_body, 2 * MAX_BYTES)
    assert body == b''.join(parts)
    assert references[1] == references[0]


# Guards against bytes that are held though their end is known to be refused.
def test_an_announced_body_over_the_limit_is_not_received() -> None:
    server = FakeServer(b'never received')
    anyio.run(refuse, server.caller(announced=MAX_BYTES + 1))
    assert server.parts == [b'never received']
    assert CLOSE in server.sent[0]['headers']


def test_a_body_is_not_received_beyond_the_limit() -> None:
    server = FakeServer(MAX_BYTES * b'x', b'y', b'never received')
    anyio.run(refuse, server.caller())
    assert server.parts == [b'never received']
    assert CLOSE in server.sent[0]['headers']


def test_a_connection_stays_open_after_a_whole_body() -> None:
    server = FakeServer(b'wh', b'ole')

    async def scenario() -> bytes | None:
        caller = server.caller(announced=5)
        body = await caller.read_body(MAX_BYTES)
        await caller.send_response(200, [], b'')
        return body

    assert anyio.run(scenario) == b'whole'
    assert CLOSE not in server.sent[0]['headers']


@pytest.mark.parametrize(
    ('headers', 'size'),
    [([], None), ([(b'content-length', b'12')], 12)],
)
def test_announced_bytes(headers: Any, size: int | None) -> None:
    assert announced_bytes(headers) == size
