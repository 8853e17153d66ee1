"""Requests to endpoints that limit their number, through the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import SlotReply, SlotRequest
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.endpoint_limits import EndpointLimits
from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
)
from tests.forwarding.harness import Harness, complete, refused, run

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint

PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=500)
# One request in 10 s, which is longer than any of these tests.
LIMIT_HEADER = 'server-limit: 0.1\r\n'


def limited(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request, b'limited', header_lines=LIMIT_HEADER)]


def limited_and_full(request: ReceivedRequest) -> list[bytes | None]:
    return [
        response_to(
            request,
            b'',
            '503 Service Unavailable',
            f'x-not-executed: 1\r\n{LIMIT_HEADER}',
        )
    ]


def limited_once(request: ReceivedRequest) -> list[bytes | None]:
    is_first = request.attempt == b'0'
    return limited(request) if is_first else complete(request)


def test_an_endpoint_gets_no_more_requests_than_the_limit_that_it_states() -> (
    None
):
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for number in range(40):
            caller = await harness.request(str(number))
            assert caller.status == 200
        assert len(fakes[0].received) == 1

    run(PLAIN, scenario, limited, complete)


def test_a_limit_in_a_refusal_counts() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for number in range(20):
            await harness.request(str(number))
        assert len(fakes[0].received) == 1

    run(PLAIN, scenario, limited_and_full, complete)


def test_a_refusal_that_states_no_limit_does_not_end_one() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        endpoint = build.listed_endpoint('e-0')
        harness.limits.record(endpoint, 100_000)
        await harness.request()
        assert harness.limits.is_limited(endpoint)

    run(PLAIN, scenario, refused)


def test_a_request_without_a_slot_is_refused_at_once() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request('first')
        caller = await harness.request('second')
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 9
        assert harness.metrics.counts['refused.endpoint_limited'] == 1
        assert len(fakes[0].received) == 1

    run(PLAIN, scenario, limited)


def test_a_running_program_waits_for_a_slot() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.limits.record(build.listed_endpoint('e-0'), 20)
        caller = await harness.request('a', (b'x-program-id', b'p'))
        assert caller.status == 200

    run(PLAIN, scenario, complete)


def test_a_slot_of_an_endpoint_that_has_left_meanwhile_is_not_used() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        (endpoint,) = harness.endpoints
        harness.limits.record(endpoint, 5)

        def reserve(req: SlotRequest) -> SlotReply:
            harness.selector.replace_endpoints(())
            return SlotReply(endpoint.id, 0)

        harness.slots.reserve = reserve  # type: ignore[method-assign]
        assert (await harness.request()).status == 503
        assert not fakes[0].received

    run(PLAIN, scenario, complete)


def test_a_limit_ends_with_the_first_response_that_states_none() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request('0')
        assert harness.limits.is_limited(build.listed_endpoint('e-0'))
        harness.limits.record(build.listed_endpoint('e-0'), 1_000)
        for number in range(1, 10):
            caller = await harness.request(str(number), (b'x-program-id', b'p'))
            assert caller.status == 200
        assert not harness.limits.is_limited(build.listed_endpoint('e-0'))

    run(PLAIN, scenario, limited_once)


def test_other_endpoints_serve_while_the_owner_of_the_slots_is_silent() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.has_owner = False
        for number in range(20):
            assert (await harness.request(str(number))).status == 200
        assert len(fakes[0].received) == 1

    run(PLAIN, scenario, limited, complete)


def test_without_an_owner_of_the_slots_a_request_is_refused() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        await harness.request('first')
        harness.has_owner = False
        assert (await harness.request('second')).status == 503
        assert len(fakes[0].received) == 1

    run(PLAIN, scenario, limited)


@pytest.fixture
def endpoints() -> list[Endpoint]:
    return [build.listed_endpoint(name) for name in ('a', 'b')]


class ScriptedOwner:
    """An owner of slots that has none for a time.

    Attributes:
        asked: The requests that it received.
        wait_ms: Time until it has a slot; None if it does not reply.
    """

    def __init__(self) -> None:
        """Create the owner; its next slot is 300 ms away."""
        self.asked: list[SlotRequest] = []
        self.wait_ms: int | None = 300

    async def reserve(self, req: SlotRequest) -> SlotReply:
        """Refuse a slot."""
        self.asked.append(req)
        if self.wait_ms is None:
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'nobody answers')
        return SlotReply(None, self.wait_ms)


def test_the_owner_is_not_asked_again_before_it_has_a_slot(
    endpoints: list[Endpoint],
) -> None:
    clock = ManualClock()
    owner = ScriptedOwner()
    limits = EndpointLimits(owner.reserve, clock)

    async def main() -> None:
        for endpoint in endpoints:
            limits.record(endpoint, 2)
        clock.advance(50)
        await limits.reserve(endpoints, 0)
        assert (await limits.reserve(endpoints, 0)).wait_ms == 300
        assert len(owner.asked) == 1
        assert [item.age_ms for item in owner.asked[0].limits] == [50, 50]
        clock.advance(300)
        await limits.reserve(endpoints, 0)
        assert len(owner.asked) == 2

    anyio.run(main)


def test_the_owner_is_left_alone_for_a_time_if_it_does_not_reply(
    endpoints: list[Endpoint],
) -> None:
    owner = ScriptedOwner()
    owner.wait_ms = None
    limits = EndpointLimits(owner.reserve, ManualClock())

    async def main() -> None:
        limits.record(endpoints[0], 2)
        with pytest.raises(CallError):
            await limits.reserve(endpoints[:1], 0)
        assert (await limits.reserve(endpoints[:1], 0)).endpoint is None
        assert len(owner.asked) == 1

    anyio.run(main)


def test_limits_of_endpoints_that_are_gone_are_forgotten(
    endpoints: list[Endpoint],
) -> None:
    limits = EndpointLimits(ScriptedOwner().reserve, ManualClock())
    for endpoint in endpoints:
        limits.record(endpoint, 2)
    limits.retain({'b'})
    assert [limits.per_s(item.id) for item in endpoints] == [None, 2]
