"""LoadExchange between entry instances that are joined by fake links."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple, cast

import anyio
import msgspec
import pytest

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import View
from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.load_exchange import TIMEOUT_MS, LoadExchange
from acaciaramp.forwarding.load_messages import (
    LoadNews,
    NewsKind,
    WireReport,
    WireStart,
    decode_news,
    encode_news,
)
from acaciaramp.forwarding.messages import EndpointLoad
from acaciaramp.forwarding.selector import EndpointSelector
from acaciaramp.ids import AvailabilityZone, EndpointId, InstanceId
from acaciaramp.metrics.client import Metrics
from acaciaramp.peering.messages import Channel
from acaciaramp.scheduling.load_board import LoadBoard
from acaciaramp.settings.node import RoleName
from tests import builders as build

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from acaciaramp.peering.links import Links

ENDPOINTS = [build.listed_endpoint(f'e-{number}') for number in range(48)]
STEP_MS = 10
# Two pauses between pushes: to the instance that passes news on, and from it.
ZONE_MS = 500


class FakeLink(NamedTuple):
    """A link from one instance to another one."""

    sender: Instance
    target: InstanceId

    async def request(
        self, channel: Channel, body: bytes, wait_ms: int
    ) -> bytes:
        """Deliver news."""
        assert channel is Channel.LOADS
        assert wait_ms == TIMEOUT_MS
        return await self.sender.send(self.target, body)


class Instance:
    """One entry instance of a fleet."""

    def __init__(self, fleet: Fleet, name: str, zone: str) -> None:
        """Create the instance with a board of its own."""
        node = msgspec.structs.replace(
            build.node(name, RoleName.ENTRY),
            availability_zone=AvailabilityZone(zone),
        )
        self.name = node.instance
        self.zone = node.availability_zone
        self.metrics = Metrics()
        self.selector = EndpointSelector(
            self.zone,
            'east',
            {},
            fleet.clock,
            random.Random(name),
            board=LoadBoard(fleet.clock, self.metrics),
        )
        self.selector.replace_endpoints(ENDPOINTS)
        self.sent: list[tuple[InstanceId, LoadNews]] = []
        self.sent_bytes = 0
        self.closed: list[InstanceId] = []
        self._fleet = fleet
        self.exchange = LoadExchange(
            node,
            self.selector,
            cast('Links', self),
            fleet.clock,
            random.Random(name),
            self.metrics,
            fleet.tasks,
        )

    def get(self, target: InstanceId) -> FakeLink:
        """Return the link to an instance."""
        return FakeLink(self, target)

    def close(self, target: InstanceId) -> None:
        """Close the link to an instance."""
        self.closed.append(target)

    async def send(self, target: InstanceId, body: bytes) -> bytes:
        """Send news to an instance."""
        self.sent.append((target, decode_news(body)))
        self.sent_bytes += len(body)
        return await self._fleet.deliver(target, body)

    def observe(self, number: int, running: int = 3) -> None:
        """Record the load that an endpoint has reported."""
        self.selector.record_load(
            ENDPOINTS[number], EndpointLoad(running, 0, 4, 100)
        )

    def knows(self, number: int, running: int = 3) -> bool:
        """Return whether the load of an endpoint is known here."""
        state = self.selector.board.load_of(ENDPOINTS[number].id)
        return state.running == running and state.slots == 4

    def targets(self, kind: NewsKind) -> set[InstanceId]:
        """Return the instances that were sent news of a kind."""
        return {target for target, news in self.sent if news.kind is kind}


class Fleet:
    """Entry instances, joined by links without delay.

    Attributes:
        dead: Instances from which no reply comes.
        refusing: Instances without the channel.
    """

    def __init__(self, tasks: TaskGroup, **zones: int) -> None:
        """Create instances named after their zone, and start them.

        Args:
            tasks: Runs the instances.
            **zones: Number of instances in each zone.
        """
        self.clock = ManualClock(60_000)
        self.tasks = tasks
        self.dead: set[InstanceId] = set()
        self.refusing: set[InstanceId] = set()
        self.instances = {
            InstanceId(f'{zone}-{number:02}'): Instance(
                self, f'{zone}-{number:02}', zone
            )
            for zone, count in zones.items()
            for number in range(count)
        }
        self.view = View(
            entries=tuple(self.instances),
            entry_zones=tuple(item.zone for item in self.instances.values()),
        )
        for item in self.instances.values():
            item.exchange.replace_peers(self.view)
            tasks.start_soon(item.exchange.run)

    def __getitem__(self, name: str) -> Instance:
        return self.instances[InstanceId(name)]

    async def deliver(self, target: InstanceId, body: bytes) -> bytes:
        """Deliver news as a link does.

        Raises:
            CallError: No reply came, or the peer refused it.
        """
        if target in self.refusing:
            raise CallError(ErrorCode.INTERNAL, 'an internal error')
        if target in self.dead:
            await self.clock.sleep_ms(TIMEOUT_MS)
            raise CallError(ErrorCode.HOME_UNREACHABLE, 'no reply')
        return await self.instances[target].exchange.handle(body)

    async def wait(self, duration_ms: int) -> None:
        """Let time pass for all instances."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            await settle()

    def knowing(self, number: int, running: int = 3) -> list[str]:
        """Return the instances that know the load of an endpoint."""
        return [
            name
            for name, item in self.instances.items()
            if item.knows(number, running)
        ]


def with_tasks(
    test: Callable[[TaskGroup], Awaitable[None]],
) -> Callable[[], None]:
    """Return a test that runs a coroutine function with a task group."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await test(tasks)
            tasks.cancel_scope.cancel()

    def run() -> None:
        anyio.run(main)

    run.__doc__ = test.__doc__
    return run


async def settle() -> None:
    """Let all tasks run that can."""
    for _ in range(6):
        await asyncio.sleep(0)


@with_tasks
async def test_news_reach_the_zone_and_then_the_others_within_a_second(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=17, b=17, c=17)
    await fleet.wait(200)
    fleet['a-05'].observe(7)
    await fleet.wait(ZONE_MS)
    zone = {f'a-{number:02}' for number in range(17)}
    assert set(fleet.knowing(7)) >= zone
    await fleet.wait(1_000 - ZONE_MS)
    assert len(fleet.knowing(7)) == 3 * 17
    board = fleet['c-16'].selector.board
    assert board.load_of('e-7').reported_ms == 60_200


@with_tasks
async def test_requests_that_were_sent_reach_the_peers(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=3, b=2)
    fleet['a-01'].observe(7)
    await fleet.wait(50)
    fleet['a-01'].selector.record_start(ENDPOINTS[7], '')
    await fleet.wait(1_000)
    for item in fleet.instances.values():
        assert item.selector.board.load_of('e-7').busy == 4


@with_tasks
async def test_only_the_lowest_address_of_a_zone_sends_to_other_zones(
    tasks: TaskGroup,
) -> None:
    """Guards against traffic between zones that grows with the entries."""
    fleet = Fleet(tasks, a=5, b=5)
    for round_number in range(20):
        for item in fleet.instances.values():
            item.observe(round_number)
        await fleet.wait(100)
    for name, item in fleet.instances.items():
        foreign = {
            target for target, _ in item.sent if fleet[target].zone != item.zone
        }
        lowest = {'a-00': {'b-00'}, 'b-00': {'a-00'}}
        assert foreign == lowest.get(name, set())
    digests = [
        news for _, news in fleet['a-00'].sent if news.kind is NewsKind.DIGEST
    ]
    assert len(digests) <= 5


@with_tasks
async def test_the_next_instance_exchanges_when_the_lowest_one_dies(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=5, b=5)
    fleet['a-03'].observe(1)
    await fleet.wait(1_000)
    fleet.dead.add(InstanceId('a-00'))
    for name in ('a-01', 'a-02', 'a-03', 'b-00'):
        fleet[name].observe(2)
    await fleet.wait(1_500)
    fleet['a-03'].observe(3)
    fleet['b-03'].observe(4)
    await fleet.wait(1_500)
    live = set(fleet.instances) - {'a-00'}
    assert set(fleet.knowing(3)) >= live
    assert set(fleet.knowing(4)) >= live


@with_tasks
async def test_an_instance_that_comes_back_exchanges_again(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=3, b=1)
    fleet.dead.add(InstanceId('a-00'))
    for _ in range(20):
        fleet['a-01'].observe(1)
        await fleet.wait(200)
    assert fleet['a-01'].targets(NewsKind.DIGEST)
    fleet.dead.clear()
    for _ in range(100):
        fleet['a-01'].observe(2)
        await fleet.wait(200)
    fleet['a-01'].sent.clear()
    fleet['a-01'].observe(3)
    await fleet.wait(1_000)
    assert not fleet['a-01'].targets(NewsKind.DIGEST)
    assert len(fleet.knowing(3)) == 4


@with_tasks
async def test_a_silent_peer_delays_no_other_and_gets_few_messages(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=4)
    fleet.dead.add(InstanceId('a-03'))
    for round_number in range(40):
        fleet['a-01'].observe(round_number)
        await fleet.wait(ZONE_MS)
        assert fleet['a-00'].knows(round_number)
        assert fleet['a-02'].knows(round_number)
    to_silent = [
        target
        for item in fleet.instances.values()
        for target, _ in item.sent
        if target == 'a-03'
    ]
    assert 2 <= len(to_silent) <= 5
    failed = sum(
        item.metrics.counts['loads.failed'] for item in fleet.instances.values()
    )
    assert failed == len(to_silent)


@with_tasks
async def test_one_message_at_most_is_under_way_to_each_peer(
    tasks: TaskGroup,
) -> None:
    """Guards the memory of an instance whose peers hang."""
    fleet = Fleet(tasks, a=2)
    fleet.dead.add(InstanceId('a-00'))
    for number in range(8):
        fleet['a-01'].observe(number)
        await fleet.wait(50)
    assert len(fleet['a-01'].sent) == 1


@with_tasks
async def test_a_peer_without_the_channel_is_left_alone_for_ten_seconds(
    tasks: TaskGroup,
) -> None:
    """Guards an upgrade: peers of an earlier build refuse the channel."""
    fleet = Fleet(tasks, a=2)
    fleet.refusing.add(InstanceId('a-00'))
    for _ in range(38):
        fleet['a-01'].observe(1)
        await fleet.wait(250)
    assert len(fleet['a-01'].sent) == 1
    fleet.refusing.clear()
    for _ in range(8):
        fleet['a-01'].observe(2)
        await fleet.wait(250)
    assert fleet['a-00'].knows(2)


@with_tasks
async def test_links_to_instances_that_are_gone_are_closed(
    tasks: TaskGroup,
) -> None:
    """Guards against connection attempts to all addresses there ever were."""
    fleet = Fleet(tasks, a=3)
    item = fleet['a-02']
    without = View(entries=fleet.view.entries[1:], entry_zones=(item.zone,) * 2)
    item.exchange.replace_peers(without)
    assert not item.closed
    item.observe(1)
    await fleet.wait(250)
    assert item.targets(NewsKind.ZONE) == {'a-00'}
    settled = msgspec.structs.replace(without, is_settled=True)
    item.exchange.replace_peers(settled)
    assert item.closed == ['a-00']
    item.sent.clear()
    item.observe(2)
    await fleet.wait(250)
    assert item.targets(NewsKind.ZONE) == {'a-01'}


@with_tasks
async def test_nothing_is_sent_for_endpoints_that_state_no_duration(
    tasks: TaskGroup,
) -> None:
    """Guards deployments whose endpoints report three figures."""
    fleet = Fleet(tasks, a=3, b=1)
    item = fleet['a-01']
    for number in range(5):
        item.selector.record_start(ENDPOINTS[number], '')
        item.selector.record_load(ENDPOINTS[number], EndpointLoad(1, 0, 4))
        await fleet.wait(250)
    assert not item.sent


@with_tasks
async def test_an_entry_sends_few_bytes_in_the_largest_deployment(
    tasks: TaskGroup,
) -> None:
    """103 entries, 48 endpoints and 50 requests per second.

    Guards the links of the entries, of which the exchanging ones send most.
    """
    fleet = Fleet(tasks, a=18, b=17, c=17, d=17, e=17, f=17)
    rng = random.Random(1)
    instances = list(fleet.instances.values())
    for _ in range(300):
        item = rng.choice(instances)
        number = rng.randrange(len(ENDPOINTS))
        item.selector.record_start(ENDPOINTS[number], '')
        item.observe(number, rng.randrange(2, 5))
        await fleet.wait(20)
    sent = sorted(item.sent_bytes / 6 for item in instances)
    assert 0 < sent[-1] < 10_000


@with_tasks
async def test_a_busy_entry_sends_large_news_to_fewer_peers(
    tasks: TaskGroup,
) -> None:
    """40 entries in a zone, of which one forwards 100 requests per second."""
    fleet = Fleet(tasks, a=40)
    rng = random.Random(1)
    item = fleet['a-07']
    for _ in range(200):
        number = rng.randrange(len(ENDPOINTS))
        item.selector.record_start(ENDPOINTS[number], '')
        item.observe(number)
        await fleet.wait(10)
    assert item.sent_bytes < 2 * 10_000
    assert 'a-00' in item.targets(NewsKind.ZONE)


@with_tasks
async def test_messages_of_a_zone_grow_with_its_entries_and_not_their_square(
    tasks: TaskGroup,
) -> None:
    """Guards the processor time of a fleet: each message costs all its hops."""
    fleet = Fleet(tasks, a=20)
    rng = random.Random(1)
    instances = list(fleet.instances.values())
    for _ in range(200):
        item = rng.choice(instances)
        item.observe(rng.randrange(len(ENDPOINTS)))
        await fleet.wait(10)
    sent = sum(len(item.sent) for item in instances)
    # Each second at most 6.7 pushes of each entry, and as many relays to it.
    assert 0 < sent <= 2 * 6.7 * 2 * 20


@with_tasks
async def test_nothing_is_sent_while_half_of_the_known_slots_are_free(
    tasks: TaskGroup,
) -> None:
    """Guards calm fleets against messages that no decision needs."""
    fleet = Fleet(tasks, a=3, b=1)
    for number in range(6):
        fleet['a-01'].observe(number, running=1)
        await fleet.wait(200)
    assert not any(item.sent for item in fleet.instances.values())
    for number in range(6):
        fleet['a-01'].observe(number, running=4)
    await fleet.wait(1_000)
    assert len(fleet.knowing(5, running=4)) == 4


@with_tasks
async def test_own_requests_do_not_come_back_as_those_of_others(
    tasks: TaskGroup,
) -> None:
    """Guards against endpoints that look fuller than they are."""
    fleet = Fleet(tasks, a=6)
    item = fleet['a-05']
    item.observe(7)
    await fleet.wait(20)
    for _ in range(4):
        item.selector.record_start(ENDPOINTS[7], '')
    await fleet.wait(ZONE_MS)
    for other in fleet.instances.values():
        assert other.selector.board.load_of('e-7').sent_since == 4


@with_tasks
async def test_late_repeated_and_false_news_change_nothing_else(
    tasks: TaskGroup,
) -> None:
    fleet = Fleet(tasks, a=1)
    item = fleet['a-00']
    board = item.selector.board

    async def tell(*reports: WireReport) -> None:
        news = LoadNews(NewsKind.ZONE, reports)
        await item.exchange.handle(encode_news(news))

    first, second = EndpointId('e-1'), EndpointId('e-2')
    await tell(WireReport(first, 2, 0, 4, 100, 100))
    await tell(WireReport(first, 4, 9, 4, 100, 500))
    assert item.knows(1, 2)
    await tell(
        WireReport(first, 99_999_999, 0, 4, 100, 50),
        WireReport(first, 2, 0, 4, 5, 50),
        WireReport(second, 1, 0, 4, 100, 50),
        WireReport(EndpointId('unlisted'), 1, 0, 4, 100, 50),
    )
    assert item.knows(1, 2)
    assert item.knows(2, 1)
    assert item.metrics.counts['bad_input.load'] == 2
    assert board.load_of('unlisted').slots == 0


# News with a report, a start and an instance, as c2299a7 encodes it.
EARLIER_NEWS = bytes.fromhex(
    '9501009196a3652d3102000464329192a3652d311491a3612d31'
)


class EarlierStart(msgspec.Struct, frozen=True, array_like=True):
    """A start as c2299a7 decodes it."""

    endpoint: EndpointId
    age_ms: int


def test_news_of_an_earlier_build_are_read_and_it_reads_those_of_this_one() -> (
    None
):
    """Guards an upgrade: starts have no origin there."""
    news = decode_news(EARLIER_NEWS)
    assert news.kind is NewsKind.ZONE
    assert news.reports == (WireReport(EndpointId('e-1'), 2, 0, 4, 100, 50),)
    assert news.starts == (WireStart(EndpointId('e-1'), 20, origin=0),)
    assert news.pass_on == (InstanceId('a-1'),)
    start = msgspec.msgpack.encode(WireStart(EndpointId('e-1'), 20, origin=7))
    decoded = msgspec.msgpack.decode(start, type=EarlierStart)
    assert decoded == EarlierStart(EndpointId('e-1'), 20)


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xc1',
        encode_news(
            LoadNews(
                NewsKind.ZONE,
                starts=(WireStart(EndpointId('e-1'), -1),),
            )
        ),
        encode_news(
            LoadNews(
                NewsKind.ZONE,
                starts=(WireStart(EndpointId('e-1'), 1),) * 1_025,
            )
        ),
    ],
)
def test_malformed_and_oversized_news_are_refused(body: bytes) -> None:
    with pytest.raises(CallError):
        decode_news(body)
