"""Memory of the processes under fields after a body that have no end.

As in ``test_callers``, nothing depends on the speed of the machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests import builders as build
from tests.memory import callers
from tests.memory.processes import Address, replace_config
from tests.memory.watch import (
    CONFIG,
    GROWTH_BYTES,
    SERVE_GROWTH_BYTES,
    SETTINGS,
    Watch,
)

if TYPE_CHECKING:
    from tests.memory.processes import Fleet

# A field whose value has no end, and one whose name has none.
STARTS = [b'x-trailer: ', b'']
IDS = ['value', 'name']
CALLERS = 10
TRAILER_BYTES = 8_000_000


def trailers(start: bytes, target: str = '/form') -> list[bytes]:
    """Return requests whose trailers have no end."""
    return CALLERS * [callers.endless_trailer(start, TRAILER_BYTES, target)]


# Guards against a parser that collects an incomplete field without a bound.
@pytest.mark.parametrize('start', STARTS, ids=IDS)
def test_entry_holds_no_more_than_its_share_of_trailers(
    fleet: Fleet, start: bytes
) -> None:
    with fleet.entry(**SETTINGS) as process:
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(process.address, trailers(start)):
            watch.check()


# The listener for the load balancer answers without reading a body.
@pytest.mark.parametrize('start', STARTS, ids=IDS)
def test_entry_holds_no_more_than_its_share_of_trailers_to_readiness(
    fleet: Fleet, start: bytes
) -> None:
    with fleet.entry(**SETTINGS) as process:
        assert process.readiness is not None
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(process.readiness, trailers(start)):
            watch.check()


@pytest.mark.parametrize('start', STARTS, ids=IDS)
def test_control_instance_holds_no_more_than_its_share_of_trailers(
    fleet: Fleet, start: bytes
) -> None:
    address = Address(build.loopback_host(), 8367)
    with fleet.control(address, **SETTINGS) as process:
        replace_config(address, CONFIG)
        watch = Watch(process, GROWTH_BYTES)
        with callers.sending(address, trailers(start)):
            watch.check()


@pytest.mark.parametrize('start', STARTS, ids=IDS)
def test_serve_holds_no_more_than_its_share_of_trailers(
    fleet: Fleet, start: bytes
) -> None:
    with fleet.serve() as process:
        watch = Watch(process, SERVE_GROWTH_BYTES)
        with callers.sending(process.address, trailers(start)):
            watch.check(max_descriptors=1_000)
