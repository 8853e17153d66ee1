"""SlotOwner keeps the request limits of endpoints over all instances."""

from __future__ import annotations

import random

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import (
    SlotReply,
    SlotRequest,
    StatedLimit,
)
from acaciaramp.coordination.slots import MAX_SLOT_WAIT_MS, SlotOwner
from acaciaramp.errors import CallError
from acaciaramp.ids import EndpointId
from tests.coordination.test_leader import ControlInstance, run_with_leader

ENDPOINT = EndpointId('e-1')
SPAN_MS = 4_000


def stated(per_s: float, name: str = 'e-1', age_ms: int = 0) -> StatedLimit:
    return StatedLimit(EndpointId(name), per_s, age_ms)


def slot_request(
    *limits: StatedLimit, longest_wait_ms: int = MAX_SLOT_WAIT_MS
) -> SlotRequest:
    return SlotRequest(limits, longest_wait_ms)


def test_all_instances_together_stay_within_a_limit() -> None:
    """The bound is that of the users: half as much again and 5 in 4 s."""
    clock = ManualClock()
    owner = SlotOwner(clock)
    times: list[int] = []
    rng = random.Random(1)
    for step in range(4_000):
        clock.advance(10)
        # A new owner begins every 4 s, without what the last one knew.
        if step % 400 == 0:
            owner = SlotOwner(clock)
        wait_ms = rng.choice((0, 100, 1_500))
        reply = owner.reserve(
            slot_request(stated(3.8), longest_wait_ms=wait_ms)
        )
        if reply.endpoint is not None:
            times.append(clock.now_ms() + reply.wait_ms)
    most = max(
        sum(start <= at < start + SPAN_MS for at in times) for start in times
    )
    assert most <= 1.5 * 3.8 * SPAN_MS / 1_000 + 5
    assert len(times) > 0.9 * 3.8 * 40


def test_a_request_gets_the_earliest_slot_of_its_endpoints() -> None:
    clock = ManualClock()
    owner = SlotOwner(clock)
    limits = (stated(1, 'slow'), stated(10, 'fast'))
    reply = owner.reserve(slot_request(*limits))
    assert (reply.endpoint, reply.wait_ms) == ('fast', 100)
    clock.advance(3_000)
    assert owner.reserve(slot_request(*limits)).endpoint == 'slow'


def test_a_request_that_cannot_wait_is_told_when_a_slot_is_free() -> None:
    owner = SlotOwner(ManualClock())
    reply = owner.reserve(slot_request(stated(2), longest_wait_ms=100))
    assert (reply.endpoint, reply.wait_ms) == (None, 500)
    assert owner.reserve(slot_request(stated(2))).endpoint == ENDPOINT


def test_the_newest_statement_of_a_limit_holds() -> None:
    clock = ManualClock()
    owner = SlotOwner(clock)
    clock.advance(10_000)
    owner.reserve(slot_request(stated(1, age_ms=500)))
    owner.reserve(slot_request(stated(0.2, age_ms=2_000)))
    assert owner.reserve(slot_request(stated(1, age_ms=600))).wait_ms <= 2_000
    reply = owner.reserve(slot_request(stated(0.2), longest_wait_ms=0))
    assert reply.wait_ms > 4_000


def test_an_endpoint_that_accepts_nothing_is_asked_again_some_time() -> None:
    clock = ManualClock()
    owner = SlotOwner(clock)
    assert owner.reserve(slot_request(stated(0))).endpoint is None
    clock.advance(10_000)
    assert owner.reserve(slot_request(stated(0))).endpoint == ENDPOINT


def test_a_new_owner_has_no_unused_slots() -> None:
    clock = ManualClock()
    owner = SlotOwner(clock)
    owner.reserve(slot_request(stated(2)))
    clock.advance(10_000)
    owner.start()
    reply = owner.reserve(slot_request(stated(2), longest_wait_ms=0))
    assert (reply.endpoint, reply.wait_ms) == (None, 500)


def test_the_leader_reserves_slots_at_limited_endpoints() -> None:
    async def scenario(control: ControlInstance) -> None:
        limit = stated(1)
        endpoints: list[EndpointId | None] = []
        for wait_ms in (1_000, 0):
            req = SlotRequest((limit,), wait_ms)
            reply = await control.coordinator.handle(req)
            assert isinstance(reply, SlotReply)
            endpoints.append(reply.endpoint)
        assert endpoints == ['e-1', None]
        assert control.metrics.counts['slot.requested.granted'] == 1
        assert control.metrics.counts['slot.requested.none'] == 1

    run_with_leader(scenario)


def test_an_instance_that_does_not_lead_reserves_no_slots() -> None:
    async def scenario() -> None:
        limit = stated(20)
        with pytest.raises(CallError, match='does not lead'):
            await ControlInstance().coordinator.handle(
                SlotRequest((limit,), 1_000)
            )

    anyio.run(scenario)
