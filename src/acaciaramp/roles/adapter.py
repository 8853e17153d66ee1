"""Interface between the roles and a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from acaciaramp.clock import Clock
    from acaciaramp.coordination.follower import Follower
    from acaciaramp.coordination.leader import ReadEndpoints
    from acaciaramp.forwarding.messages import Codec
    from acaciaramp.metrics.client import Metrics
    from acaciaramp.routing.model import RoutingTable

    App = Callable[..., Awaitable[None]]


class PlatformAdapter(NamedTuple):
    """Translates between a platform's formats and those of the roles.

    Attributes:
        codec: Reads and writes the headers of requests.
        decode_table: Decodes a routing table as operators send it; raises
            ``InvalidTableError``.
        make_reader: Returns a function that reads the list of endpoints at an
            address, ``HOST:PORT``.
        make_operator_app: Returns the ASGI application for operators.
    """

    codec: Codec
    decode_table: Callable[[bytes], RoutingTable]
    make_reader: Callable[[str, Clock, Metrics], ReadEndpoints]
    make_operator_app: Callable[[Follower, Metrics, Clock], App]
