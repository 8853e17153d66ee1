"""Request limits that endpoints state, through the gateway."""

from __future__ import annotations

import pytest

from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
)
from tests.forwarding.test_gateway import Harness, complete, refused, run

PLAIN = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=500)


def limited(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request, header_lines='server-limit: 2.5\r\n')]


@pytest.mark.parametrize(
    ('script', 'limit_per_s'), [(limited, 2.5), (complete, None), (refused, 4)]
)
def test_a_response_changes_a_limit_unless_it_is_a_refusal_without_one(
    script: object, limit_per_s: float | None
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        harness.limits.record(build.listed_endpoint('e-0'), 4)
        await harness.request()
        assert harness.limits.per_s('e-0') == limit_per_s

    run(PLAIN, scenario, script)  # type: ignore[arg-type]


def test_limits_of_endpoints_that_are_gone_are_forgotten() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for name in ('a', 'b'):
            harness.limits.record(build.listed_endpoint(name), 2)
        harness.limits.retain({'b'})
        assert [harness.limits.per_s(name) for name in 'ab'] == [None, 2]

    run(PLAIN, scenario)
