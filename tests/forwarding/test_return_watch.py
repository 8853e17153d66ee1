"""Endpoints that have said that they are leaving are asked until they serve again."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.endpoints.failures import EndpointError, Failure
from acaciaramp.forwarding.return_watch import ReturnWatch, make_health_check
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

LEAST_MS = 3_000
QUERY = EndpointQuery(service=build.MODEL)
NO_ANSWER = EndpointError(Failure.CONNECT, Verdict.NOT_RUN, 'down')


class Watched:
    """Endpoints with the watch, and the clock of both.

    Attributes:
        clock: The clock.
        endpoints: The endpoints as they are listed.
        selector: Knows the endpoints.
        answers: Whether each endpoint serves; None if it cannot be asked, an
            error if it does not answer.
        asked: When each question was asked, with the id of the endpoint.
        returned: Ids of the endpoints that serve again.
        on_question: Called during each question.
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
        self.answers: dict[str, bool | EndpointError | None] = {
            item.id: False for item in self.endpoints
        }
        self.asked: list[tuple[int, str]] = []
        self.returned: list[str] = []
        self.on_question: Callable[[], object] = bool
        self.watch = ReturnWatch(
            self.selector,
            self._ask,
            lambda item: self.returned.append(item.id),
            self.clock,
            Metrics(),
            LEAST_MS,
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
                await self.watch.check()

        anyio.run(check)

    async def _ask(self, endpoint: Endpoint) -> bool | None:
        self.asked.append((self.clock.now_ms(), endpoint.id))
        self.on_question()
        answer = self.answers[endpoint.id]
        if isinstance(answer, EndpointError):
            raise answer
        return answer


# Guards against a service that is refused for good once each of its endpoints has
# started again under its id.
def test_endpoints_that_serve_again_get_requests_again() -> None:
    watched = Watched(3)
    watched.pass_s(10)
    assert watched.usable == []
    watched.answers['e-1'] = True
    watched.pass_s(8)
    assert watched.usable == watched.returned == ['e-1']
    watched.answers |= {'e-0': True, 'e-2': True}
    watched.pass_s(8)
    assert watched.usable == ['e-0', 'e-1', 'e-2']


# Guards against the return of an endpoint after a failure that tells nothing.
def test_an_endpoint_that_does_not_answer_gets_no_requests() -> None:
    watched = Watched()
    watched.answers['e-0'] = NO_ANSWER
    watched.pass_s(60)
    assert watched.usable == []
    watched.answers['e-0'] = True
    watched.pass_s(8)
    assert watched.usable == ['e-0']


# Guards against questions without a bound on their rate.
def test_questions_are_rarer_and_rarer() -> None:
    watched = Watched()
    start_ms = watched.clock.now_ms()
    watched.pass_s(40)
    asked = [(at_ms - start_ms) // 1_000 for at_ms, _ in watched.asked]
    assert asked == [3, 4, 6, 10, 18, 26, 34]


def test_few_endpoints_are_asked_at_once_and_each_has_its_turn() -> None:
    watched = Watched(30)
    watched.pass_s(8)
    times = [at_ms for at_ms, _ in watched.asked]
    assert max(map(times.count, times)) == 4
    assert {endpoint for _, endpoint in watched.asked} == set(watched.answers)


def test_an_endpoint_that_the_list_calls_leaving_is_not_asked() -> None:
    watched = Watched()
    watched.answers['e-0'] = True
    (earlier,) = watched.endpoints
    watched.list_as(is_leaving=True)
    # A response to a request that was sent before the list changed.
    watched.selector.record_leaving(earlier)
    watched.pass_s(30)
    assert not watched.asked
    watched.list_as(is_leaving=False)
    watched.pass_s(1)
    assert watched.usable == ['e-0']


# Guards against an answer that is older than what the endpoint has said since.
@pytest.mark.parametrize('is_listed', [False, True])
def test_what_comes_during_a_question_goes_before_its_answer(
    *, is_listed: bool
) -> None:
    watched = Watched()
    watched.answers['e-0'] = True

    def say_again() -> None:
        if is_listed:
            watched.list_as(is_leaving=True)
        else:
            watched.clock.advance(1)
            watched.selector.record_leaving(watched.endpoints[0])

    watched.on_question = say_again
    watched.pass_s(4)
    assert len(watched.asked) == 1
    assert watched.usable == []


# Guards against the return of an endpoint that is not listed any more.
def test_an_endpoint_that_is_gone_is_not_asked() -> None:
    watched = Watched()
    watched.answers['e-0'] = True
    (gone,) = watched.endpoints
    watched.selector.replace_endpoints(())
    watched.selector.record_leaving(gone)
    watched.pass_s(60)
    assert not watched.asked
    assert watched.usable == []


def test_an_endpoint_that_leaves_once_more_gets_no_requests() -> None:
    watched = Watched()
    watched.answers['e-0'] = True
    watched.pass_s(4)
    assert watched.usable == ['e-0']
    watched.answers['e-0'] = False
    watched.selector.record_leaving(watched.endpoints[0])
    watched.pass_s(20)
    assert watched.usable == []


# Guards against a mark that nothing ends, where a service has no health path.
def test_an_endpoint_that_cannot_be_asked_is_used_after_a_while() -> None:
    watched = Watched()
    watched.answers['e-0'] = None
    watched.pass_s(29)
    assert watched.usable == []
    watched.pass_s(9)
    assert watched.usable == ['e-0']


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
        check = make_health_check(
            PlatformCodec(),
            harness.connections,
            lambda: {build.MODEL: service},
            harness.gateway._clock,
        )
        endpoint = harness.endpoints[0]
        if isinstance(expected, str):
            with pytest.raises(EndpointError) as caught:
                await check(endpoint)
            assert caught.value.failure.value == expected
        else:
            assert await check(endpoint) is expected
        (request,) = fakes[0].received
        assert request.head.startswith(b'GET /healthz HTTP/1.1\r\n')
        assert b'x-expect-instance: e-0' in request.head.lower()
        assert not harness.connections._open_counts

    run(build.route(), scenario, script)


def test_a_service_without_a_health_path_is_not_asked() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        service = Service(name=build.MODEL)
        for services in ({}, {build.MODEL: service}):
            check = make_health_check(
                PlatformCodec(),
                harness.connections,
                lambda services=services: services,  # type: ignore[misc]
                harness.gateway._clock,
            )
            assert await check(harness.endpoints[0]) is None
        assert not fakes[0].received

    run(build.route(), scenario, dropped)
