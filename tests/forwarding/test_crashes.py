"""Only requests that end the lifetime of endpoints count as crashing them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.routing.model import RouteKind
from tests import builders as build
from tests.forwarding.endpoint import RecordedCrashes
from tests.forwarding.harness import (
    Harness,
    dropped,
    run,
    streamed,
    unresponsive,
)

if TYPE_CHECKING:
    from acaciaramp.routing.model import Route
    from tests.forwarding.endpoint import ReceivedRequest, ScriptedEndpoint

RETAINED = build.route(is_retained=True, retention_ms=60_000)


def dropped_second(request: ReceivedRequest) -> list[bytes | None]:
    """Answer first turns, and drop the connection of all others."""
    return streamed(request) if request.body == b'input' else [None]


# Guards against turns that are refused since turns of other conversations, with
# the same input, have crashed endpoints.
def test_turns_with_equal_inputs_in_other_conversations_differ() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for first in ('a1', 'b1'):
            await harness.request(first)
        for second in ('a2', 'a3', 'b2'):
            previous = f'{second[0]}1'.encode()
            await harness.request(second, (b'x-previous-turn', previous))
        harness.crashes.watch.observe([])
        again, other = harness.crashes.digests
        assert other != again

    run(RETAINED, scenario, dropped_second)


# Guards against a request that escapes the quarantine by a header without meaning.
@pytest.mark.parametrize(
    'route',
    [
        build.route(),
        build.route(kind=RouteKind.NON_IDEMPOTENT, is_retained=True),
        build.route(kind=RouteKind.IDEMPOTENT, is_retained=True),
    ],
)
def test_routes_that_retain_nothing_ignore_the_continued_turn(
    route: Route,
) -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        for attempt in ('a1', 'a2'):
            await harness.request(
                attempt, (b'x-previous-turn', attempt.encode())
            )
        harness.crashes.watch.observe([])
        assert len(harness.crashes.digests) == 1

    run(route, scenario, dropped)


class WatchedEndpoint(RecordedCrashes):
    """A crash watch with one endpoint, and the clock of both.

    Attributes:
        endpoint: The endpoint as listed.
        clock: Clock of the watch.
    """

    def __init__(self) -> None:
        """Create an endpoint that accepts connections."""
        self.clock = ManualClock()
        super().__init__(self.clock)
        self.endpoint = build.listed_endpoint(born_ms=1_000)

    def lose(self, digest: str = 'd') -> None:
        """Lose the connection of a request."""
        self.watch.suspect(digest, self.endpoint)

    def check(self, times: int = 3) -> None:
        """Let the watch check, a while apart."""

        async def main() -> None:
            for _ in range(times):
                await self.watch.check()
                self.clock.advance(300)

        anyio.run(main)


# Guards against turns that are refused after the connections of three requests
# were reset, though no endpoint had crashed.
def test_a_reset_connection_to_a_live_endpoint_is_no_crash() -> None:
    watched = WatchedEndpoint()
    watched.lose()
    watched.check()
    watched.watch.observe([watched.endpoint])
    assert watched.dials == 1
    assert not watched.reported


def test_an_endpoint_that_refuses_connections_has_crashed() -> None:
    watched = WatchedEndpoint()
    watched.refuses = True
    watched.lose()
    watched.check(times=1)
    assert not watched.reported
    watched.check()
    assert watched.digests == ['d']
    watched.lose('later')
    watched.watch.observe([])
    assert watched.digests == ['d', 'later']


def test_an_endpoint_that_has_started_again_has_crashed() -> None:
    watched = WatchedEndpoint()
    watched.lose()
    watched.check()
    # The response may be of the later start.
    watched.watch.record_response(watched.endpoint, watched.clock.now_ms())
    later = build.listed_endpoint(born_ms=2_000)
    watched.watch.observe([later])
    watched.watch.observe([later])
    assert watched.digests == ['d']


def test_only_what_failed_after_the_last_response_ends_with_an_endpoint() -> (
    None
):
    watched = WatchedEndpoint()
    watched.lose('before')
    watched.clock.advance(10)
    watched.watch.record_response(watched.endpoint, watched.clock.now_ms())
    watched.lose('after')
    watched.watch.observe([])
    assert watched.digests == ['after']


def test_a_planned_end_is_no_crash() -> None:
    watched = WatchedEndpoint()
    watched.lose()
    watched.watch.observe(
        [build.listed_endpoint(born_ms=1_000, is_leaving=True)]
    )
    watched.watch.observe([])
    watched.lose()
    watched.refuses = True
    watched.check()
    assert not watched.reported
    said_so = build.listed_endpoint('e-2', born_ms=1_000)
    watched.watch.record_leaving(said_so)
    watched.watch.suspect('d', said_so)
    watched.check()
    assert not watched.reported


# Guards against crashes that are not counted, as the endpoint once was leaving.
def test_an_end_after_the_return_of_a_leaving_endpoint_is_a_crash() -> None:
    watched = WatchedEndpoint()
    watched.watch.record_leaving(watched.endpoint)
    watched.lose()
    watched.watch.record_return(watched.endpoint)
    watched.watch.observe([])
    assert not watched.digests
    watched.watch.observe([watched.endpoint])
    watched.lose('later')
    watched.watch.observe([])
    assert watched.digests == ['later']


def test_an_end_long_after_a_failure_is_no_crash() -> None:
    watched = WatchedEndpoint()
    watched.lose()
    watched.clock.advance(15_001)
    watched.check()
    watched.watch.observe([])
    assert not watched.reported


def test_suspects_are_bounded() -> None:
    watched = WatchedEndpoint()
    for number in range(100):
        watched.lose(str(number))
    watched.watch.observe([])
    assert len(watched.reported) == 64
    assert watched.digests[-1] == '99'


# Guards against a request that makes one endpoint after the other fall silent: its
# connections are not lost before its time limit.
def test_an_endpoint_that_starts_again_after_a_silence_has_crashed() -> None:
    watched = WatchedEndpoint()
    watched.watch.observe([watched.endpoint])
    watched.watch.suspect_silent('d', watched.endpoint)
    watched.check()
    watched.watch.observe([watched.endpoint])
    assert not watched.dials
    assert not watched.reported
    watched.watch.observe([build.listed_endpoint('e-2')])
    assert watched.digests == ['d']


def test_a_restart_that_the_list_has_shown_before_the_time_limit_counts() -> (
    None
):
    watched = WatchedEndpoint()
    watched.watch.observe([build.listed_endpoint(born_ms=2_000)])
    watched.watch.suspect_silent('d', watched.endpoint)
    assert watched.digests == ['d']


def test_an_endpoint_that_responds_to_others_is_only_slow() -> None:
    watched = WatchedEndpoint()
    watched.watch.record_response(watched.endpoint, sent_ms=0)
    watched.clock.advance(500)
    watched.watch.suspect_silent('d', watched.endpoint)
    watched.watch.observe([])
    assert not watched.reported


def test_a_request_without_an_answer_in_time_is_suspected() -> None:
    async def scenario(harness: Harness, fakes: list[ScriptedEndpoint]) -> None:
        assert (await harness.request()).status == 504
        assert not harness.crashes.reported
        harness.crashes.watch.observe([])
        assert len(harness.crashes.reported) == 1

    route = build.route(kind=RouteKind.NON_IDEMPOTENT, timeout_ms=50)
    run(route, scenario, unresponsive)


# Guards against a request that crashes endpoints anew after each change of the
# control leader.
def test_recent_crashes_are_reported_to_a_new_leader() -> None:
    watched = WatchedEndpoint()
    watched.lose('old')
    watched.watch.observe([])
    watched.clock.advance(30_000)
    second = build.listed_endpoint('e-2')
    watched.watch.suspect('new', second)
    watched.watch.report_again()
    assert watched.digests == ['old', 'new', 'old', 'new']
    watched.clock.advance(30_001)
    watched.watch.report_again()
    assert watched.digests[4:] == ['new']


# Guards against timers that run on every entry while nothing has failed.
def test_the_watch_waits_until_an_endpoint_is_suspected() -> None:
    async def main() -> int:
        watched = WatchedEndpoint()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.watch.run)
            await anyio.wait_all_tasks_blocked()
            timers = len(watched.clock._timers)
            watched.refuses = True
            watched.lose()
            for _ in range(8):
                await anyio.wait_all_tasks_blocked()
                watched.clock.advance(100)
            await anyio.wait_all_tasks_blocked()
            assert watched.digests == ['d']
            timers += len(watched.clock._timers)
            tasks.cancel_scope.cancel()
        return timers

    assert anyio.run(main) == 0
