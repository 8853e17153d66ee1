"""Exchange of the load of endpoints between entry instances.

Answers the load of many instances of which each hears an endpoint rarely. Those
of one zone push what they observe to one of them, that with the lowest address. It
passes on what it gets, and exchanges digests with those of the other zones, since
traffic between zones is expensive. So the messages of a zone grow with its
instances, and not with their square.

News is sent of services only half of whose slots are taken: others have free slots at
any endpoint. Messages are not answered, not repeated, and sent beside the requests:
what is lost is followed by newer news.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from acaciaramp.errors import CallError, ErrorCode
from acaciaramp.forwarding.load_messages import (
    LoadNews,
    NewsBatch,
    NewsKind,
    decode_news,
    encode_news,
    reports_in,
    starts_in,
)
from acaciaramp.ids import AvailabilityZone, InstanceId
from acaciaramp.metrics.names import Counter
from acaciaramp.peering.messages import Channel
from acaciaramp.util.logs import get_logger

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from anyio.abc import TaskGroup

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.messages import Node, View
    from acaciaramp.forwarding.selector import EndpointSelector
    from acaciaramp.ids import EndpointId, ServiceName
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.peering.links import Links
    from acaciaramp.peering.server import Handlers
    from acaciaramp.scheduling.load_board import LoadReport, RequestStart

logger = get_logger('loads')

# A message that has not arrived by then is older than the next one.
TIMEOUT_MS = 300
# Pause between pushes within a zone, chosen at random so that instances do not
# push at once.
_MIN_PUSH_MS = 150
_MAX_PUSH_MS = 250
# Share of the slots of a service that are taken from which its load is exchanged.
_PRESSED_SHARE = 0.5
# Bytes between zones are expensive.
_DIGEST_PERIOD_MS = 500
# News goes to so many peers, which pass it on: to send it to a zone of 17 instances
# takes one of them over 10 KB/s.
_RELAY_HEADS = 4
# Pauses after messages that failed. A peer of an earlier build ignores or refuses
# the channel.
_MIN_PAUSE_MS = 1_000
_MAX_PAUSE_MS = 10_000


class _Peer(msgspec.Struct, eq=False):
    """Another entry instance.

    Attributes:
        instance: Its address.
        zone: Its availability zone.
        is_pending: Whether a message to it is under way.
        pause_ms: Length of its last pause; 0 if its last message arrived.
        paused_until_ms: When it may be contacted again.
    """

    instance: InstanceId
    zone: AvailabilityZone
    is_pending: bool = False
    pause_ms: int = 0
    paused_until_ms: int = 0


class LoadExchange:
    """Sends news of this instance to its peers and records theirs."""

    def __init__(
        self,
        node: Node,
        selector: EndpointSelector,
        links: Links,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        tasks: TaskGroup,
    ) -> None:
        """Create the exchange without peers; ``run`` starts it.

        Args:
            node: This instance.
            selector: Knows the endpoints and their load.
            links: Links to peers.
            clock: Source of time.
            rng: Chooses peers and pauses.
            metrics: Counts messages.
            tasks: Task group for messages under way; there is at most one for
                each peer.
        """
        self._node = node
        self._selector = selector
        self._links = links
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._tasks = tasks
        self._peers: dict[InstanceId, _Peer] = {}
        self._digest = NewsBatch()
        self._relays = NewsBatch()
        self._origin = zlib.crc32(node.instance.encode())
        self._next_digest_ms = clock.now_ms()
        self._was_exchanging = False

    @property
    def handlers(self) -> Handlers:
        """Handler of the peers' messages, by channel."""
        return {Channel.LOADS: self.handle}

    def replace_peers(self, view: View) -> None:
        """Take the other entry instances of a view as peers.

        Those that are gone are kept until the view is settled: the view of a
        new leader lacks instances that have not reported to it yet.
        """
        zones = zip(view.entries, view.entry_zones, strict=False)
        peers = {
            instance: self._peers.get(instance, _Peer(instance, zone))
            for instance, zone in zones
            if instance != self._node.instance
        }
        gone = self._peers.keys() - peers.keys()
        if not view.is_settled:
            peers = self._peers | peers
            gone = set()
        self._peers = peers
        for instance in gone:
            self._links.close(instance)

    async def run(self) -> None:
        """Push news until cancelled."""
        while True:
            pause_ms = self._rng.randint(_MIN_PUSH_MS, _MAX_PUSH_MS)
            await self._clock.sleep_ms(pause_ms)
            self.push()

    def push(self) -> None:
        """Send what is new, without waiting for it to arrive."""
        reports, starts = self._take_own()
        near = self._usable(self._zone_peers())
        if self._is_exchanging(near):
            self._digest.add(reports, starts)
            self._relays.add(reports, starts)
            self._push_digest()
        elif reports or starts:
            own = NewsBatch()
            own.add(reports, starts)
            news = own.take(NewsKind.ZONE, self._clock.now_ms())
            self._send_all([_preferred(near)], encode_news(news))
        if self._relays:
            self._push_relays(near)

    async def handle(self, body: bytes) -> bytes:
        """Record news from a peer.

        Raises:
            CallError: The message is malformed.
        """
        news = decode_news(body)
        self._metrics.count(Counter.LOADS_RECEIVED)
        now_ms = self._clock.now_ms()
        find, board = self._selector.find, self._selector.board
        reports = [
            report
            for report in reports_in(news, now_ms)
            if find(report.endpoint) is not None
            and board.record(report, is_own=False)
        ]
        starts = [
            start
            for start in starts_in(news, now_ms)
            if find(start.endpoint) is not None
        ]
        for start in starts:
            if start.origin != self._origin:
                board.record_foreign_start(start)
        if news.kind is NewsKind.RELAY:
            self._pass_on(news)
        else:
            self._relays.add(reports, starts)
        if news.kind is NewsKind.ZONE and self._was_exchanging:
            self._digest.add(reports, starts)
        return b''

    def _take_own(self) -> tuple[list[LoadReport], list[RequestStart]]:
        """Return what is new of services that are under pressure."""
        selector, board = self._selector, self._selector.board
        reports, starts = board.take_news(), board.take_starts()
        is_pressed: dict[ServiceName, bool] = {}

        def is_news(endpoint_id: EndpointId) -> bool:
            endpoint = selector.find(endpoint_id)
            if endpoint is None:
                return False
            service = endpoint.service
            if service not in is_pressed:
                ids = [item.id for item in selector.staying(service)]
                taken = board.pressure(ids).taken_share
                is_pressed[service] = taken >= _PRESSED_SHARE
            return is_pressed[service]

        return (
            [report for report in reports if is_news(report.endpoint)],
            [
                start._replace(origin=self._origin)
                for start in starts
                if is_news(start.endpoint)
            ],
        )

    def _push_relays(self, near: Sequence[_Peer]) -> None:
        """Push news to some peers, which pass it on.

        They are the same ones each time, so that few links are opened.
        """
        news = self._relays.take(NewsKind.RELAY, self._clock.now_ms())
        peers = sorted(near, key=lambda peer: peer.instance)
        for number, head in enumerate(peers[:_RELAY_HEADS]):
            followers = peers[number + _RELAY_HEADS :: _RELAY_HEADS]
            names = tuple(peer.instance for peer in followers)
            relay = msgspec.structs.replace(news, pass_on=names)
            self._send_all([head], encode_news(relay))

    def _pass_on(self, news: LoadNews) -> None:
        followers = [
            self._peers[instance]
            for instance in news.pass_on
            if instance in self._peers
        ]
        relay = msgspec.structs.replace(news, pass_on=())
        self._send_all(self._usable(followers), encode_news(relay))

    def _push_digest(self) -> None:
        """Push the digest of this zone to the instances that exchange them."""
        now_ms = self._clock.now_ms()
        if not self._digest or now_ms < self._next_digest_ms:
            return
        self._next_digest_ms = now_ms + _DIGEST_PERIOD_MS
        by_zone: dict[AvailabilityZone, list[_Peer]] = {}
        for peer in self._usable(list(self._peers.values())):
            by_zone.setdefault(peer.zone, []).append(peer)
        by_zone.pop(self._node.availability_zone, None)
        self._send_all(
            [_preferred(peers) for peers in by_zone.values()],
            encode_news(self._digest.take(NewsKind.DIGEST, now_ms)),
        )

    def _zone_peers(self) -> list[_Peer]:
        zone = self._node.availability_zone
        return [peer for peer in self._peers.values() if peer.zone == zone]

    def _usable(self, peers: Sequence[_Peer]) -> list[_Peer]:
        now_ms = self._clock.now_ms()
        return [peer for peer in peers if peer.paused_until_ms <= now_ms]

    def _is_exchanging(self, near: Sequence[_Peer]) -> bool:
        """Return whether this instance exchanges the digests of its zone.

        A peer that does not take messages is passed over, so that another one
        takes its place before the view shows that it is gone.
        """
        own = self._node.instance
        exchanges = all(
            own < peer.instance for peer in near if not peer.pause_ms
        )
        if exchanges != self._was_exchanging:
            logger.info(
                'The instance that exchanges the load digests of this zone has '
                'changed.',
                is_this_one=exchanges,
                peers=len(near),
            )
            self._digest = NewsBatch()
        self._was_exchanging = exchanges
        return exchanges

    def _send_all(self, targets: Sequence[_Peer], body: bytes) -> None:
        for peer in targets:
            if not peer.is_pending:
                peer.is_pending = True
                self._tasks.start_soon(self._send_to, peer, body)

    async def _send_to(self, peer: _Peer, body: bytes) -> None:
        try:
            await self._links.get(peer.instance).request(
                Channel.LOADS, body, TIMEOUT_MS
            )
        except CallError as exc:
            self._pause(peer, exc)
            return
        finally:
            peer.is_pending = False
        peer.pause_ms = 0
        self._metrics.count(Counter.LOADS_SENT)

    def _pause(self, peer: _Peer, exc: CallError) -> None:
        """Contact a peer no more for a while, longer after each failure."""
        self._metrics.count(Counter.LOADS_FAILED)
        has_refused = exc.refusal.code is not ErrorCode.HOME_UNREACHABLE
        if not peer.pause_ms:
            logger.warning(
                'A peer takes no news of loads; pausing.',
                instance=peer.instance,
                reason=exc,
            )
        longer_ms = _MAX_PAUSE_MS if has_refused else 2 * peer.pause_ms
        peer.pause_ms = min(max(longer_ms, _MIN_PAUSE_MS), _MAX_PAUSE_MS)
        peer.paused_until_ms = self._clock.now_ms() + peer.pause_ms


def _preferred(peers: Sequence[_Peer]) -> _Peer:
    """Return the peer of one zone that is expected to exchange its digests."""
    return min(peers, key=lambda peer: (bool(peer.pause_ms), peer.instance))
