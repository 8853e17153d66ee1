"""Tests that a restart does not exceed the rate limit.

An instance does not store what it admitted or lent, so after a restart it must
neither admit its burst again nor use shares that it has lent.
"""

from __future__ import annotations

from acaciaramp.clock import ManualClock
from acaciaramp.limits.share import Share
from tests import builders as build

_WORKSPACE = build.registry(
    workspaces=[build.workspace_tree('medina', build.KEY, rate=0.001, burst=4)]
).workspaces['medina']
_LOAN_MS = 2_000
# Time in which the rate fills an empty bucket.
_FILL_MS = 4_000_000


def start(base_share: float, clock: ManualClock) -> Share:
    """Return the share of an instance that starts at the current time."""
    return Share(_WORKSPACE, base_share, clock.now_ms() + _LOAN_MS, clock)


def test_restarted_instance_does_not_admit_its_burst_twice() -> None:
    clock = ManualClock()
    before = start(1, clock)
    clock.advance(_LOAN_MS + _FILL_MS)
    assert [before.try_admit() for _ in range(4)] == [True, True, True, True]
    after = start(1, clock)
    assert not after.try_admit()
    clock.advance(_LOAN_MS)
    assert not after.try_admit()


def test_restarted_lender_does_not_use_lent_shares() -> None:
    clock = ManualClock(1_000)
    lender = start(1 / 2, clock)
    borrower = start(1 / 2, clock)
    clock.advance(_LOAN_MS + _FILL_MS)
    for share in (lender, borrower):
        share.expire_loans()
    assert lender.current + borrower.current == 1
    loan = lender.lend(_LOAN_MS, yields_fraction=False)
    borrower.add_loan(loan, clock.now_ms())
    restarted = start(1 / 2, clock)
    assert borrower.current + restarted.current <= 1
    clock.advance(_LOAN_MS)
    for share in (restarted, borrower):
        share.expire_loans()
    assert borrower.current + restarted.current == 1
