"""Only requests that crash several endpoints are quarantined."""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.coordination.messages import CrashReport
from acaciaramp.coordination.quarantine import Quarantine
from acaciaramp.ids import EndpointId


def record_crashes(
    quarantine: Quarantine, digest: str, *endpoints: str
) -> None:
    for endpoint in endpoints:
        quarantine.record_crash(CrashReport(digest, EndpointId(endpoint)))


def test_crashes_of_three_endpoints_quarantine_a_request() -> None:
    quarantine = Quarantine(ManualClock())
    record_crashes(quarantine, 'bad', 'a', 'b', 'b', 'b')
    assert quarantine.active_digests() == ()
    record_crashes(quarantine, 'bad', 'c')
    record_crashes(quarantine, 'beside', 'c')
    assert quarantine.active_digests() == ('bad',)


# Guards against a request that crashes the same endpoints again and again.
def test_endpoints_that_start_again_under_their_ids_count_again() -> None:
    quarantine = Quarantine(ManualClock())
    for born_ms in (1_000, 2_000, 2_000, 3_000):
        assert not quarantine.active_digests()
        quarantine.record_crash(CrashReport('bad', EndpointId('a'), born_ms))
    assert quarantine.active_digests() == ('bad',)


def test_quarantine_expires() -> None:
    clock = ManualClock()
    quarantine = Quarantine(clock)
    record_crashes(quarantine, 'bad', 'a', 'b', 'c')
    clock.advance(60_000)
    assert quarantine.active_digests() == ('bad',)
    clock.advance(1)
    assert quarantine.active_digests() == ()


def test_crashes_long_apart_do_not_add_up() -> None:
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for endpoint in 'abc':
        record_crashes(quarantine, 'rare', endpoint)
        clock.advance(60_001)
    record_crashes(quarantine, 'rare', 'd')
    assert quarantine.active_digests() == ()


def test_many_other_crashes_do_not_end_a_quarantine() -> None:
    quarantine = Quarantine(ManualClock())
    record_crashes(quarantine, 'bad', 'a', 'b', 'c')
    for number in range(2_000):
        record_crashes(quarantine, f'other-{number}', 'a')
    assert quarantine.active_digests() == ('bad',)
