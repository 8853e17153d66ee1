"""Heads of engines and services whose status is none or is not final."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.endpoints.http import HttpClient
from acaciaramp.endpoints.plain import PlainClient
from acaciaramp.verdicts import Verdict
from tests import builders as build
from tests.endpoints.test_endless import (
    ANSWER,
    listed,
    make_call,
    send_chat,
)
from tests.forwarding.endpoint import ScriptedEndpoint
from tests.forwarding.test_statuses import INVALID, answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.records import Answer
    from tests.forwarding.endpoint import Script

SSE = b'content-type: text/event-stream'


async def send_tool_call(port: int, *, repeatable: bool) -> Answer:
    http = HttpClient(SystemClock())
    request = build.tool_request(repeatable=repeatable)
    try:
        return await PlainClient(http).send(
            listed(port), make_call(request), lambda _: None
        )
    finally:
        await http.aclose()


async def send_repeatable(port: int) -> Answer:
    return await send_tool_call(port, repeatable=True)


async def send_once(port: int) -> Answer:
    return await send_tool_call(port, repeatable=False)


def error_of(
    send: Callable[[int], Awaitable[Answer]], script: Script
) -> EndpointError:
    """Return the error that an attempt at an endpoint ends with."""

    async def main() -> EndpointError:
        async with ScriptedEndpoint(script).serving() as endpoint:
            with anyio.fail_after(20), pytest.raises(EndpointError) as caught:
                await send(endpoint.port)
        return caught.value

    return anyio.run(main)


# Guards against an answer with a status that is none, which callers of
# acaciaramp serve would get as the outcome of their step.
@pytest.mark.parametrize('send', [send_chat, send_once, send_repeatable])
@pytest.mark.parametrize('status', INVALID)
def test_a_response_without_a_valid_final_status_is_none(
    send: Callable[[int], Awaitable[Answer]], status: bytes
) -> None:
    exc = error_of(send, answer(status, SSE, body=ANSWER))
    assert exc.verdict is Verdict.MAY_HAVE_RUN
    assert exc.failure in {
        Failure.CONNECTION_LOST,
        Failure.MALFORMED,
        Failure.SERVER_ERROR,
    }


@pytest.mark.parametrize('send', [send_chat, send_once])
def test_informational_heads_without_end_are_no_response(
    send: Callable[[int], Awaitable[Answer]],
) -> None:
    def script(_: object) -> list[bytes | None]:
        return [b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'] * 100_000

    assert error_of(send, script).verdict is Verdict.MAY_HAVE_RUN
