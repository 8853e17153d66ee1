"""What an entry learns of endpoints from the responses that it forwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from acaciaramp.routing.model import RouteKind
from acaciaramp.scheduling.speeds import ServiceSpeeds
from tests import builders as build
from tests.forwarding.endpoint import response_to
from tests.forwarding.harness import Harness, dropped, run

if TYPE_CHECKING:
    from tests.forwarding.endpoint import ReceivedRequest, ScriptedEndpoint

NON_IDEMPOTENT = build.route(kind=RouteKind.NON_IDEMPOTENT)
WORK = (
    (b'x-token-counts', b'1460,80'),
    (b'x-prefix-hash', b'5c1e07a2:800,91bd3f06:660'),
)


def loaded(request: ReceivedRequest) -> list[bytes | None]:
    lines = 'x-instance-load: 3,1,4,250\r\n'
    return [response_to(request, b'thing', header_lines=lines)]


def test_the_load_and_speed_in_a_response_are_recorded() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        caller = await harness.request('a1', *WORK)
        assert caller.status == 200
        board = harness.selector.board
        state = board.load_of('e-0')
        assert (state.running, state.waiting, state.slots) == (3, 1, 4)
        assert state.duration_percent == 250
        assert (state.in_flight, state.context_tokens) == (0, 0)
        assert [report.endpoint for report in board.take_news()] == ['e-0']

    run(NON_IDEMPOTENT, scenario, loaded)


def test_the_time_of_a_plain_response_is_learned() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        speeds = harness.selector._finish._speeds
        for number in range(3):
            await harness.request(f'a{number}')
        (learned,) = speeds.values()
        assert learned.plain_ms != ServiceSpeeds().plain_ms

    run(NON_IDEMPOTENT, scenario, quick)


def quick(request: ReceivedRequest) -> list[bytes | None]:
    lines = 'x-instance-load: 0,0,4,100\r\n'
    return [response_to(request, b'thing', header_lines=lines)]


def test_a_failed_attempt_leaves_no_request_in_flight() -> None:
    async def scenario(harness: Harness, _: list[ScriptedEndpoint]) -> None:
        await harness.request('a1', *WORK)
        state = harness.selector.board.load_of('e-0')
        assert (state.in_flight, state.context_tokens) == (0, 0)
        assert state.busy == 0

    run(NON_IDEMPOTENT, scenario, dropped)
