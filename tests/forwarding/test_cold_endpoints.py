"""Each request to a cold endpoint needs a slot of the owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.slots import SlotOwner
from acaciaramp.forwarding.cold_endpoints import ColdEndpoints
from acaciaramp.forwarding.endpoint_limits import EndpointLimits
from acaciaramp.routing.model import RouteKind, Service
from tests import builders as build
from tests.forwarding.harness import Harness, complete, refused, run

if TYPE_CHECKING:
    from acaciaramp.coordination.messages import Endpoint
    from tests.forwarding.endpoint import ScriptedEndpoint

PLAIN: dict[str, Any] = {'kind': RouteKind.IDEMPOTENT, 'timeout_ms': 500}
COLD_START_MS = 4_000
# One request in 10 s, which is longer than any of these tests.
SERVICES = {
    build.MODEL: Service(
        name=build.MODEL, cold_start_ms=COLD_START_MS, cold_per_s=0.1
    )
}
# The bound of the users.
OVERRUN, SLACK = 1.5, 5


def chill(harness: Harness, *cold: bool) -> None:
    """Let the list say which endpoints are cold."""
    endpoints = [
        msgspec.structs.replace(endpoint, is_cold=is_cold)
        for endpoint, is_cold in zip(harness.endpoints, cold, strict=True)
    ]
    known = ColdEndpoints(lambda: SERVICES, ManualClock())
    known.replace_endpoints(endpoints)
    harness.limits._cold_per_s = known.per_s
    harness.selector.replace_endpoints(endpoints)


def test_other_endpoints_serve_what_a_cold_one_has_no_slot_for() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        chill(harness, True, False)
        for number in range(20):
            assert (await harness.request(str(number))).status == 200
        assert [len(fake.received) for fake in fakes] == [0, 20]

    run(build.route(**PLAIN), scenario, complete, complete)


def test_cold_endpoint_gets_nothing_while_the_owner_does_not_reply() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.has_owner = False
        chill(harness, True, False)
        for number in range(20):
            assert (await harness.request(str(number))).status == 200
        assert not fakes[0].received

    run(build.route(**PLAIN), scenario, complete, complete)


def test_cold_endpoint_alone_refuses_what_has_no_slot_as_not_run() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        chill(harness, True)
        caller = await harness.request('a', (b'x-program-id', b'p'))
        assert caller.status == 503
        assert float(caller.headers[b'retry-after']) > 9
        assert not fakes[0].received

    run(build.route(**PLAIN), scenario, complete)


def test_warm_endpoint_needs_no_slot() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.has_owner = False
        chill(harness, True)
        chill(harness, False)
        assert (await harness.request()).status == 200

    run(build.route(**PLAIN), scenario, complete)


def test_refusal_of_a_cold_endpoint_leaves_it_cold() -> None:
    # A stated limit ends with a response that states none, coldness does not.
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        chill(harness, True, False)
        harness.limits.record(harness.endpoints[0], None)
        assert harness.limits.is_limited(cold_endpoint('e-0', is_cold=True))

    run(build.route(**PLAIN), scenario, refused, complete)


class JumpingClock(ManualClock):
    """A clock whose wall clock may jump.

    Attributes:
        jump_ms: How far the wall clock has jumped.
    """

    jump_ms = 0

    def wall_ms(self) -> int:
        """Return the wall-clock time."""
        return super().wall_ms() + self.jump_ms


def cold_endpoint(name: str = 'e-1', **changes: Any) -> Endpoint:
    return build.listed_endpoint(name, **changes)


def test_start_counts_if_the_list_says_nothing_despite_clock_jumps() -> None:
    clock = JumpingClock()
    known = ColdEndpoints(lambda: SERVICES, clock)
    clock.advance(10_000)
    endpoint = cold_endpoint(born_ms=clock.wall_ms() - 1_000)
    known.replace_endpoints([endpoint])
    assert known.per_s(endpoint) == 0.1
    clock.advance(2_999)
    clock.jump_ms = 60_000
    known.replace_endpoints([endpoint])
    assert known.per_s(endpoint) == 0.1
    clock.advance(1)
    assert known.per_s(endpoint) is None
    # Started anew under its id.
    again = cold_endpoint(born_ms=clock.wall_ms())
    known.replace_endpoints([again])
    assert known.per_s(again) == 0.1


def test_service_without_a_cold_limit_is_not_limited() -> None:
    services = {build.MODEL: Service(name=build.MODEL)}
    known = ColdEndpoints(lambda: services, ManualClock())
    endpoint = cold_endpoint(is_cold=True)
    known.replace_endpoints([endpoint])
    assert known.per_s(endpoint) is None


def test_all_instances_together_stay_within_the_bound_over_new_owners() -> None:
    per_s = 20.0
    clock = ManualClock()
    owners = [SlotOwner(clock)]
    sent: list[int] = []

    async def reserve(req: Any) -> Any:
        return owners[-1].reserve(req)

    def make_entry(_: int) -> EndpointLimits:
        return EndpointLimits(reserve, clock, lambda _: per_s)

    entries = list(map(make_entry, range(5)))
    endpoint = cold_endpoint()
    for step in range(2_000):
        clock.advance(5)
        # A new owner begins every 2 s, without what the last one knew.
        if step % 400 == 0:
            owners.append(SlotOwner(clock))
        coroutine = entries[step % 5].reserve([endpoint], 1_000)
        try:
            coroutine.send(None)
        except StopIteration as stop:
            reply = stop.value
        if reply.endpoint is not None:
            sent.append(clock.now_ms() + reply.wait_ms)
    most = max(sum(at <= other < at + 1_000 for other in sent) for at in sent)
    assert most <= per_s * OVERRUN + SLACK
    assert len(sent) > 0.9 * per_s * 10
