"""ConnectionPool limits, reuses and expires connections."""

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
from tests.forwarding.harness import make_dialer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.coordination.messages import Endpoint

    Scenario = Callable[[ConnectionPool, Endpoint], Awaitable[None]]

MAX_CONNECTIONS = 2
# Longer than the idle timeout of an endpoint that does not send one.
EXPIRED_MS = 10_000


def run(scenario: Scenario, clock: ManualClock | None = None) -> None:
    async def main() -> None:
        pool_clock = clock or ManualClock()
        pool = ConnectionPool(
            make_dialer(pool_clock), pool_clock, lambda _: MAX_CONNECTIONS
        )
        async with ScriptedEndpoint(lambda _: []).serving() as endpoint:
            await scenario(pool, endpoint)

    anyio.run(main)


def test_the_number_of_connections_is_limited() -> None:
    async def scenario(pool: ConnectionPool, endpoint: Endpoint) -> None:
        acquired = [
            await pool.acquire(endpoint) for _ in range(MAX_CONNECTIONS)
        ]
        with pytest.raises(EndpointError) as raised:
            await pool.acquire(endpoint)
        assert raised.value.failure is Failure.REFUSED
        assert raised.value.verdict is Verdict.NOT_RUN
        await pool.discard(endpoint, acquired.pop())
        await pool.acquire(endpoint)

    run(scenario)


def test_a_failed_connection_does_not_count_towards_the_limit() -> None:
    async def main() -> None:
        clock = ManualClock()
        pool = ConnectionPool(make_dialer(clock), clock, lambda _: 1)
        fake = ScriptedEndpoint(lambda _: [])
        async with fake.serving() as served:
            endpoint = served
        for _ in range(MAX_CONNECTIONS):
            with pytest.raises(EndpointError) as raised:
                await pool.acquire(endpoint)
            assert raised.value.failure is Failure.CONNECT

    anyio.run(main)


def test_concurrent_expiry_leaves_no_expired_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two runs of close_expired overlap, since closing a connection awaits.

    Neither run may leave an expired connection in the pool.
    """
    clock = ManualClock()

    async def close_slowly(_: Connection) -> None:
        await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(Connection, 'aclose', close_slowly)
    monkeypatch.setattr(Connection, 'is_reusable', lambda _: True)

    async def scenario(pool: ConnectionPool, endpoint: Endpoint) -> None:
        acquired = [
            await pool.acquire(endpoint) for _ in range(MAX_CONNECTIONS)
        ]
        for conn in acquired:
            await pool.release(endpoint, conn)
        clock.advance(EXPIRED_MS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pool.close_expired)
            tasks.start_soon(pool.close_expired)
        reopened = [
            await pool.acquire(endpoint) for _ in range(MAX_CONNECTIONS)
        ]
        assert not set(reopened) & set(acquired)

    run(scenario, clock)
