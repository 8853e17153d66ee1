"""Requests whose outcome is unknown are sent again only if they may run twice."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import msgspec
import pytest

from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import ReceivedRequest, response_to
from tests.forwarding.harness import (
    SERVICE_UNAVAILABLE,
    complete,
    dropped,
    refused,
    run,
)
from tests.forwarding.test_reach import Network, harness_with_a_peer

if TYPE_CHECKING:
    from acaciaramp.routing.model import Route
    from tests.forwarding.endpoint import Script, ScriptedEndpoint
    from tests.forwarding.harness import Harness

ATTEMPTS = 3
# Valid, though only streams are resumed.
ORDER = build.route(
    kind=RouteKind.NON_IDEMPOTENT,
    is_resumable=True,
    attempts=ATTEMPTS,
    timeout_ms=2_000,
)


def cut_in_head(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request)[:30], None]


def cut_in_body(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request, b'thing')[:-1], None]


def to_another_request(_: ReceivedRequest) -> list[bytes | None]:
    return [response_to(ReceivedRequest(b'x-attempt-id: other', b'', 1))]


def unconfirmed(request: ReceivedRequest) -> list[bytes | None]:
    return [response_to(request, b'', SERVICE_UNAVAILABLE)]


LOST = (dropped, cut_in_head, cut_in_body, to_another_request, unconfirmed)


def sends(fakes: list[ScriptedEndpoint]) -> int:
    """Return how many requests the endpoints have received together."""
    return sum(len(fake.received) for fake in fakes)


@pytest.fixture
def network(monkeypatch: pytest.MonkeyPatch) -> Network:
    return Network(monkeypatch)


# Guards against an order that runs twice, as its route is marked as resumable.
@pytest.mark.parametrize('lost', LOST)
def test_a_non_idempotent_request_on_a_resumable_route_is_sent_once(
    lost: Script,
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        caller = await harness.request()
        assert sends(fakes) == 1
        assert caller.status == 502
        assert b'"may_have_run"' in caller.body

    run(ORDER, scenario, *[lost] * ATTEMPTS)


# Guards against an order that runs twice, as its connection runs through a peer.
def test_such_a_request_is_sent_once_through_a_peer(network: Network) -> None:
    async def main() -> None:
        async with harness_with_a_peer(ORDER, dropped, dropped) as (
            harness,
            fakes,
        ):
            network.cut = {endpoint.port for endpoint in harness.endpoints}
            network.is_refusing = True
            assert (await harness.request()).status == 502
            assert sends(fakes) == 1

    anyio.run(main)


# Guards against a request that is given up though no endpoint has run it.
def test_such_a_request_goes_on_to_an_endpoint_that_has_not_run_it() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        bodies = [(await harness.request(attempt)).body for attempt in 'abcd']
        assert bodies == [b'thing'] * 4
        assert fakes[0].received

    run(ORDER, scenario, refused, complete)


def _routes() -> list[tuple[Route, bool]]:
    """Return a route of each kind and mark, and whether it may be repeated."""
    repeatable = {
        (RouteKind.IDEMPOTENT, False),
        (RouteKind.IDEMPOTENT, True),
        (RouteKind.STREAMING, True),
    }
    return [
        (
            msgspec.structs.replace(
                ORDER, kind=kind, is_resumable=is_resumable
            ),
            (kind, is_resumable) in repeatable,
        )
        for kind, is_resumable in itertools.product(RouteKind, (False, True))
    ]


# Guards against a rule on repeats that holds for one kind of route only.
@pytest.mark.parametrize(('route', 'is_repeatable'), _routes())
def test_the_kind_of_a_route_decides_what_is_sent_again(
    route: Route, *, is_repeatable: bool
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 502
        assert sends(fakes) == (ATTEMPTS if is_repeatable else 1)

    run(route, scenario, *[dropped] * ATTEMPTS)
