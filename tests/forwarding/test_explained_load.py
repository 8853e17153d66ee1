"""What the log tells of the load that decided a choice or a refusal."""

from __future__ import annotations

import random

from acaciaramp.clock import ManualClock
from acaciaramp.forwarding.messages import EndpointLoad, TurnParams
from acaciaramp.forwarding.selector import EndpointQuery, EndpointSelector
from acaciaramp.ids import AvailabilityZone
from acaciaramp.metrics.client import Metrics
from acaciaramp.scheduling.load_board import LoadBoard, LoadReport
from tests import builders as build

ZONE = AvailabilityZone('north')


def test_an_endpoint_without_a_report_has_no_age_of_its_load() -> None:
    """Guards against the uptime of the machine as the age of a report."""
    clock = ManualClock(60_000)
    selector = EndpointSelector(
        ZONE, 'here', {ZONE: 'here'}, clock, random.Random(1)
    )
    item = build.listed_endpoint('a', availability_zone=ZONE)
    selector.replace_endpoints([item])
    query = EndpointQuery(service=item.service)
    assert selector.explain(item, query)['load_age_ms'] is None
    selector.record_load(item, EndpointLoad(1, 0, 4))
    clock.advance(300)
    assert selector.explain(item, query)['load_age_ms'] == 300


def test_the_load_of_a_service_tells_the_mean_age_of_its_reports() -> None:
    clock = ManualClock(1_000)
    board = LoadBoard(clock, Metrics())
    for name, observed_ms in (('a', 500), ('b', 900)):
        board.record(
            LoadReport(
                endpoint=build.listed_endpoint(name).id,
                running=1,
                waiting=0,
                slots=4,
                duration_percent=None,
                observed_ms=observed_ms,
            )
        )
    assert board.pressure(['a', 'b', 'c']).age_ms == 300


def test_a_late_program_has_no_time_left() -> None:
    """Guards against figures that hide whose work an endpoint does."""
    params = TurnParams(program_left_ms=200)
    call = build.call(inbound=build.inbound(turn=params, started_ms=1_000))
    assert call.program_left_ms(1_050) == 150
    assert call.program_left_ms(1_500) == -300
    assert build.call().program_left_ms(1_000) is None
