"""What a restart must not give again."""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.limits.share import Share
from tests import builders as build

_TENANT = build.registry(
    workspaces=[build.workspace_tree('medina', build.KEY, rate=0.001, burst=4)]
).workspaces['medina']


def test_restarted_instance_does_not_admit_its_burst_again() -> None:
    clock = ManualClock()
    before = Share(_TENANT, 1, clock)
    assert [before.try_admit() for _ in range(4)] == [True, True, True, True]
    after = Share(_TENANT, 1, clock)
    assert not after.try_admit()


def test_restarted_lender_does_not_use_what_it_has_lent() -> None:
    clock = ManualClock(1_000)
    lender = Share(_TENANT, 1 / 2, clock)
    borrower = Share(_TENANT, 1 / 2, clock)
    loan = lender.lend(2_000, gives_way=False)
    borrower.borrow(loan, clock.now_ms(), 2_000)
    restarted = Share(_TENANT, 1 / 2, clock)
    assert borrower.current + restarted.current <= 1
