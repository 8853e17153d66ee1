"""One invalid row of the instance list does not hide the others."""

from __future__ import annotations

import anyio
import pytest

from acaciaramp.clock import SystemClock
from acaciaramp.endpoints.http import HttpClient
from acaciaramp.membership.instance_list import InstanceListPoller
from tests import builders as build
from tests.forwarding.endpoint import (
    ReceivedRequest,
    ScriptedEndpoint,
    response_to,
)

DEPTH = 100_000
LEAVING = b'{"id":"e-2","standing":"leaving"}'


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * DEPTH + b']' * DEPTH,
        b'7',
        b'{"id":7}',
        b'{}',
        b'{"id":"%s"}' % build.HALF_PAIR,
        b'{"id":"\xff"}',
    ],
)
def test_a_leaving_endpoint_is_seen_beside_an_odd_row(odd: bytes) -> None:
    def listed(request: ReceivedRequest) -> list[bytes | None]:
        rows = b','.join((odd, LEAVING))
        return [response_to(request, b'{"instances":[%s]}' % rows)]

    async def scenario() -> bool:
        async with ScriptedEndpoint(listed).serving() as endpoint:
            clock = SystemClock()
            url = f'http://{endpoint.host}:{endpoint.port}/instances'
            poller = InstanceListPoller(url, HttpClient(clock), clock)
            await poller.poll()
            return poller.is_leaving('e-2')

    assert anyio.run(scenario)
