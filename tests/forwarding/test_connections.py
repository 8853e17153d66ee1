"""Connections to endpoints: bounded, used again, and closed before they age."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.connections import Connection, ConnectionPool
from acaciaramp.verdicts import Verdict
from tests.forwarding.endpoint import ScriptedEndpoint

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.coordination.messages import Endpoint

    Scenario = Callable[[ConnectionPool, Endpoint], Awaitable[None]]

MOST = 2
# Longer than any connection without word of its endpoint is kept.
OLD_MS = 10_000


def run(scenario: Scenario, clock: ManualClock | None = None) -> None:
    async def whole() -> None:
        pool = ConnectionPool(clock or ManualClock(), lambda _: MOST)
        async with ScriptedEndpoint(lambda _: []).serving() as endpoint:
            await scenario(pool, endpoint)

    anyio.run(whole)


def test_no_more_connections_than_the_endpoint_accepts() -> None:
    async def scenario(pool: ConnectionPool, endpoint: Endpoint) -> None:
        held = [await pool.acquire(endpoint) for _ in range(MOST)]
        with pytest.raises(EndpointError) as found:
            await pool.acquire(endpoint)
        assert found.value.failure is Failure.REFUSED
        assert found.value.verdict is Verdict.NOT_RUN
        await pool.discard(endpoint, held.pop())
        await pool.acquire(endpoint)

    run(scenario)


def test_an_endpoint_that_cannot_be_reached_uses_no_place() -> None:
    async def whole() -> None:
        pool = ConnectionPool(ManualClock(), lambda _: 1)
        fake = ScriptedEndpoint(lambda _: [])
        async with fake.serving() as served:
            endpoint = served
        for _ in range(MOST):
            with pytest.raises(EndpointError) as found:
                await pool.acquire(endpoint)
            assert found.value.failure is Failure.CONNECT

    anyio.run(whole)


def test_old_connections_are_closed_while_others_come_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = ManualClock()

    async def close_slowly(_: Connection) -> None:
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(Connection, 'aclose', close_slowly)
    monkeypatch.setattr(Connection, 'can_be_kept', lambda _: True)

    async def scenario(pool: ConnectionPool, endpoint: Endpoint) -> None:
        held = [await pool.acquire(endpoint) for _ in range(MOST)]
        for conn in held:
            await pool.release(endpoint, conn)
        clock.advance(OLD_MS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.close_expired)
            tasks.start_soon(pool.close_expired)
        again = [await pool.acquire(endpoint) for _ in range(MOST)]
        assert not set(again) & set(held)

    run(scenario, clock)
