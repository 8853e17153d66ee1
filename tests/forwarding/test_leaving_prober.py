"""Endpoints that have said that they are leaving are probed until they serve again."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.leaving_prober import (
    LeavingProber,
    make_health_probe,
)
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.metrics.client import Metrics
from acaciaramp.platform.headers import PlatformCodec
from acaciaramp.routing.model import Service
from acaciaramp.verdicts import Verdict
from tests import builders as build
from tests.forwarding.endpoint import response_to
from tests.forwarding.harness import (
    SERVICE_UNAVAILABLE,
    dropped,
    run,
    unresponsive,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from acaciaramp.coordination.messages import Endpoint
    from tests.forwarding.endpoint import (
        ReceivedRequest,
        Script,
        ScriptedEndpoint,
    )
    from tests.forwarding.harness import Harness

DELAY_MS = 3_000
QUERY = EndpointQuery(service=build.MODEL)
NO_RESPONSE = EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'down')


class Probed:
    """Endpoints with their prober, and the clock of both.

    Attributes:
        clock: The clock.
        endpoints: The endpoints as they are listed.
        selector: Knows the endpoints.
        outcomes: What a probe of each endpoint returns, or raises.
        probes: Time and endpoint id of each probe.
        returned: Ids of the endpoints that serve again.
        on_probe: Called during each probe.
    """

    def __init__(self, count: int = 1) -> None:
        """Create a number of endpoints; all of them have said that they leave."""
        self.clock = ManualClock()
        self.endpoints: tuple[Endpoint, ...] = tuple(
            build.listed_endpoint(f'e-{number}') for number in range(count)
        )
        self.selector = EndpointSelector(
            AvailabilityZone('north'), 'east', {}, self.clock, random.Random(1)
        )
        self.selector.replace_endpoints(self.endpoints)
        self.outcomes: dict[str, bool | EndpointError | None] = {
            item.id: False for item in self.endpoints
        }
        self.probes: list[tuple[int, str]] = []
        self.returned: list[str] = []
        self.on_probe: Callable[[], object] = bool
        self.prober = LeavingProber(
            self.selector,
            self._probe,
            lambda item: self.returned.append(item.id),
            self.clock,
            Metrics(),
            DELAY_MS,
        )
        for item in self.endpoints:
            self.selector.record_leaving(item)

    @property
    def usable(self) -> list[str]:
        """Ids of the endpoints that get requests."""
        return sorted(item.id for item in self.selector.rank(QUERY))

    def list_as(self, **changes: Any) -> None:
        """Change the entries of all endpoints in the list."""
        self.endpoints = tuple(
            msgspec.structs.replace(item, **changes) for item in self.endpoints
        )
        self.selector.replace_endpoints(self.endpoints)

    def pass_s(self, seconds: int) -> None:
        """Let time pass, with a check in each half second."""

        async def check() -> None:
            for _ in range(2 * seconds):
                self.clock.advance(500)
                await self.prober.check()

        anyio.run(check)

    async def _probe(self, endpoint: Endpoint) -> bool | None:
        self.probes.append((self.clock.now_ms(), endpoint.id))
        self.on_probe()
        outcome = self.outcomes[endpoint.id]
        if isinstance(outcome, EndpointError):
            raise outcome
        return outcome


# Guards against a service that is refused for good once each of its endpoints has
# started again under its id.
def test_endpoints_that_serve_again_get_requests_again() -> None:
    probed = Probed(3)
    probed.pass_s(10)
    assert probed.usable == []
    probed.outcomes['e-1'] = True
    probed.pass_s(8)
    assert probed.usable == probed.returned == ['e-1']
    probed.outcomes |= {'e-0': True, 'e-2': True}
    probed.pass_s(8)
    assert probed.usable == ['e-0', 'e-1', 'e-2']


# Guards against the return of an endpoint after a failure that tells nothing.
def test_an_endpoint_that_does_not_respond_gets_no_requests() -> None:
    probed = Probed()
    probed.outcomes['e-0'] = NO_RESPONSE
    probed.pass_s(60)
    assert probed.usable == []
    probed.outcomes['e-0'] = True
    probed.pass_s(8)
    assert probed.usable == ['e-0']


# Guards against probes without a bound on their rate.
def test_probes_back_off_exponentially() -> None:
    probed = Probed()
    start_ms = probed.clock.now_ms()
    probed.pass_s(40)
    times_s = [(at_ms - start_ms) // 1_000 for at_ms, _ in probed.probes]
    assert times_s == [3, 4, 6, 10, 18, 26, 34]


def test_few_endpoints_are_probed_at_once_and_each_has_its_turn() -> None:
    probed = Probed(30)
    probed.pass_s(8)
    times = [at_ms for at_ms, _ in probed.probes]
    assert max(map(times.count, times)) == 4
    assert {endpoint for _, endpoint in probed.probes} == set(probed.outcomes)


def test_an_endpoint_that_the_list_calls_leaving_is_not_probed() -> None:
    probed = Probed()
    probed.outcomes['e-0'] = True
    (earlier,) = probed.endpoints
    probed.list_as(is_leaving=True)
    # A response to a request that was sent before the list changed.
    probed.selector.record_leaving(earlier)
    probed.pass_s(30)
    assert not probed.probes
    probed.list_as(is_leaving=False)
    probed.pass_s(1)
    assert probed.usable == ['e-0']


# Guards against an outcome that is older than what is known of the endpoint.
@pytest.mark.parametrize('is_listed', [False, True])
def test_what_is_learned_during_a_probe_goes_before_its_outcome(
    *, is_listed: bool
) -> None:
    probed = Probed()
    probed.outcomes['e-0'] = True

    def change() -> None:
        if is_listed:
            probed.list_as(is_leaving=True)
        else:
            probed.clock.advance(1)
            probed.selector.record_leaving(probed.endpoints[0])

    probed.on_probe = change
    probed.pass_s(4)
    assert len(probed.probes) == 1
    assert probed.usable == []


# Guards against requests to an endpoint that has said that it is leaving while a list
# lacked it, once an older list has it again.
def test_an_endpoint_that_is_gone_is_not_probed_until_it_is_listed() -> None:
    probed = Probed()
    probed.outcomes['e-0'] = True
    (gone,) = probed.endpoints
    probed.selector.replace_endpoints(())
    probed.selector.record_leaving(gone)
    probed.pass_s(60)
    assert not probed.probes
    probed.list_as()
    assert probed.usable == []
    probed.pass_s(1)
    assert probed.usable == ['e-0']


def test_an_endpoint_that_leaves_once_more_gets_no_requests() -> None:
    probed = Probed()
    probed.outcomes['e-0'] = True
    probed.pass_s(4)
    assert probed.usable == ['e-0']
    probed.outcomes['e-0'] = False
    probed.selector.record_leaving(probed.endpoints[0])
    probed.pass_s(20)
    assert probed.usable == []


# Guards against a mark that nothing ends, where a service has no health path.
def test_an_endpoint_that_cannot_be_probed_is_used_after_a_while() -> None:
    probed = Probed()
    probed.outcomes['e-0'] = None
    probed.pass_s(29)
    assert probed.usable == []
    probed.pass_s(9)
    assert probed.usable == ['e-0']


def _health(status: str, header_lines: str = '') -> Script:
    def script(request: ReceivedRequest) -> list[bytes | None]:
        return [response_to(request, b'', status, header_lines)]

    return script


@pytest.mark.parametrize(
    ('script', 'expected'),
    [
        (_health('200 OK'), True),
        (_health('200 OK', 'x-instance-id: e-0\r\n'), True),
        (_health('200 OK', 'x-instance-id: e-9\r\n'), False),
        (_health('200 OK', 'server-leaving: 1\r\n'), False),
        (_health(SERVICE_UNAVAILABLE), False),
        (_health('421 Misdirected Request'), False),
        (_health('302 Found'), False),
        (dropped, 'cut'),
        (unresponsive, 'silent'),
    ],
)
def test_the_health_of_an_endpoint_is_read(
    script: Script, expected: bool | str
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        service = Service(name=build.MODEL, health_path='/healthz')
        probe = make_health_probe(
            PlatformCodec(),
            harness.connections,
            lambda: {build.MODEL: service},
            harness.gateway._clock,
        )
        endpoint = harness.endpoints[0]
        if isinstance(expected, str):
            with pytest.raises(EndpointError) as caught:
                await probe(endpoint)
            assert caught.value.failure.value == expected
        else:
            assert await probe(endpoint) is expected
        (request,) = fakes[0].received
        assert request.head.startswith(b'GET /healthz HTTP/1.1\r\n')
        assert b'x-expect-instance: e-0' in request.head.lower()
        assert not harness.connections._open_counts

    run(build.route(), scenario, script)


def test_a_service_without_a_health_path_is_not_probed() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        service = Service(name=build.MODEL)
        for services in ({}, {build.MODEL: service}):
            probe = make_health_probe(
                PlatformCodec(),
                harness.connections,
                lambda services=services: services,  # type: ignore[misc]
                harness.gateway._clock,
            )
            assert await probe(harness.endpoints[0]) is None
        assert not fakes[0].received

    run(build.route(), scenario, dropped)
