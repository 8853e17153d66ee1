"""Which callers go first if a process holds too much for them."""

from __future__ import annotations

from acaciaramp.util.caller_budget import (
    BudgetLimits,
    CallerBudget,
    CloseReason,
)
from acaciaramp.util.resident_memory import ResidentMemory

KIB = 1_024
LIMITS = BudgetLimits(
    most_bytes=400 * KIB,
    most_large_bytes=300 * KIB,
    most_connection_bytes=250 * KIB,
    most_connections=3,
)


class FakeHolder:
    """A connection that holds some bytes.

    Attributes:
        size: Number of bytes that it holds.
        forwarded: Whether its request has been forwarded.
        ending: Whether its last response was sent.
        evictions: Number of times that it was evicted.
        counted: Number of times that its bytes were counted.
    """

    def __init__(self, size: int = 0) -> None:
        """Create the holder."""
        self.size = size
        self.forwarded = False
        self.ending = False
        self.evictions = 0
        self.counted = 0

    def held_bytes(self) -> int:
        self.counted += 1
        return self.size

    def is_evictable(self) -> bool:
        return not self.forwarded and not self.evictions

    def is_ending(self) -> bool:
        return self.ending

    def evict(self) -> CloseReason:
        self.evictions += 1
        self.size = 0
        return CloseReason.BODY


class Fixture:
    """A budget with a clock that is set by hand."""

    def __init__(self, limits: BudgetLimits = LIMITS) -> None:
        """Create the budget."""
        self.now_s = float(0)
        self.closures: list[tuple[CloseReason, int]] = []
        self.budget = CallerBudget(
            limits,
            lambda *closure: self.closures.append(closure),
            lambda: self.now_s,
        )

    def hold(self, size: int, *, forwarded: bool = False) -> FakeHolder:
        """Return a holder that has just received its bytes."""
        holder = FakeHolder()
        holder.forwarded = forwarded
        account = self.budget.open(holder)
        assert account is not None
        account.record_progress()
        holder.size = size
        account.update()
        return holder


def test_a_stalled_body_goes_before_a_larger_one_that_is_arriving() -> None:
    fixture = Fixture()
    stalled = fixture.hold(120 * KIB)
    fixture.now_s = 1
    arriving = fixture.hold(170 * KIB)
    newest = fixture.hold(100 * KIB)
    assert (stalled.evictions, arriving.evictions, newest.evictions) == (
        1,
        0,
        0,
    )
    assert fixture.closures == [(CloseReason.BODY, 120 * KIB)]
    assert fixture.budget.total_bytes == 270 * KIB


# Guards against small requests that are refused as large ones fill the memory.
def test_large_bodies_leave_room_for_small_ones() -> None:
    fixture = Fixture()
    fixture.hold(150 * KIB, forwarded=True)
    fixture.hold(150 * KIB, forwarded=True)
    small = fixture.hold(60 * KIB)
    assert small.evictions == 0


def test_a_large_body_is_refused_if_forwarded_ones_need_the_room() -> None:
    fixture = Fixture()
    first = fixture.hold(150 * KIB, forwarded=True)
    second = fixture.hold(150 * KIB, forwarded=True)
    refused = fixture.hold(100 * KIB)
    assert refused.evictions == 1
    assert first.evictions == second.evictions == 0


# Guards against a search of all connections for each part that arrives or is
# freed while forwarded requests, which cannot be ended, exceed their part.
def test_freeing_bytes_does_not_search_all_connections() -> None:
    fixture = Fixture()
    forwarded = fixture.hold(200 * KIB, forwarded=True)
    other = fixture.hold(110 * KIB, forwarded=True)
    small = fixture.hold(20 * KIB)
    forwarded.size = 240 * KIB
    fixture.budget._accounts[forwarded].update()
    counted = other.counted
    small.size = 10 * KIB
    fixture.budget._accounts[small].update()
    assert other.counted == counted
    assert not fixture.closures


def test_one_connection_holds_no_more_than_its_share() -> None:
    fixture = Fixture()
    assert fixture.hold(251 * KIB).evictions == 1
    # A request that may have been forwarded is not ended for it.
    assert fixture.hold(251 * KIB, forwarded=True).evictions == 0


def test_the_connection_without_progress_for_longest_makes_room() -> None:
    fixture = Fixture()
    oldest, used, third = (fixture.hold(0) for _ in range(3))
    account = fixture.budget._accounts[oldest]
    account.record_progress()
    fixture.hold(0)
    assert (oldest.evictions, used.evictions, third.evictions) == (0, 1, 0)


def test_connections_that_are_ending_make_room_first() -> None:
    fixture = Fixture()
    holders = [fixture.hold(0) for _ in range(3)]
    holders[2].ending = True
    fixture.hold(0)
    assert [holder.evictions for holder in holders] == [0, 0, 1]
    assert not fixture.closures


def test_a_connection_is_refused_if_all_others_are_used() -> None:
    fixture = Fixture()
    for _ in range(3):
        fixture.hold(0, forwarded=True)
    assert fixture.budget.open(FakeHolder()) is None
    assert fixture.closures == [(CloseReason.CONNECTIONS, 0)]


def test_a_closed_account_frees_its_bytes_and_its_connection() -> None:
    fixture = Fixture()
    holder = fixture.hold(100 * KIB)
    fixture.budget._accounts[holder].close()
    assert fixture.budget.total_bytes == 0
    assert [fixture.hold(0).evictions for _ in range(3)] == [0, 0, 0]


# Guards against limits that refuse what a config or an operator may send.
def test_default_limits_admit_the_largest_requests() -> None:
    limits = BudgetLimits.of_machine(None, None)
    assert limits.most_connection_bytes > 17_000_000
    assert limits.most_large_bytes > 17_000_000
    assert limits.most_connections == 2_460


def with_room(room_bytes: list[float]) -> Fixture:
    """Return a budget whose process has some room in its memory."""
    fixture = Fixture()
    memory = ResidentMemory(
        0,
        lambda *_: None,
        read_bytes=lambda: -int(room_bytes[0]),
        release=lambda: None,
    )
    fixture.budget = CallerBudget(
        LIMITS._replace(most_connections=10),
        lambda *closure: fixture.closures.append(closure),
        lambda: fixture.now_s,
        memory,
    )
    return fixture


# Guards against a budget that is kept though what is held takes more memory than
# its bytes.
def test_less_is_held_while_the_process_is_short_of_memory() -> None:
    fixture = with_room([-50 * KIB])
    stalled = fixture.hold(60 * KIB)
    fixture.now_s = 1
    arriving = fixture.hold(200 * KIB)
    assert (stalled.evictions, arriving.evictions) == (1, 0)


def test_a_body_has_room_however_short_of_memory_the_process_is() -> None:
    fixture = with_room([-1_000 * KIB])
    body = fixture.hold(140 * KIB)
    fixture.now_s = 1
    other = fixture.hold(140 * KIB)
    assert (body.evictions, other.evictions) == (1, 0)


def test_the_limit_is_the_usual_one_again_when_there_is_memory() -> None:
    room_bytes: list[float] = [-1_000 * KIB]
    fixture = with_room(room_bytes)
    fixture.hold(140 * KIB)
    fixture.now_s = 1
    second = fixture.hold(140 * KIB)
    room_bytes[0] = 1_000 * KIB
    fixture.now_s = 2
    third = fixture.hold(140 * KIB)
    assert (second.evictions, third.evictions) == (0, 0)


# Guards against bytes that are evicted twice: they are freed a little later.
def test_what_was_just_evicted_is_not_missing_again() -> None:
    fixture = with_room([-100 * KIB])
    holders = [fixture.hold(60 * KIB) for _ in range(6)]
    evicted = sum(holder.evictions for holder in holders)
    assert evicted == 2
    fixture.hold(1)
    assert sum(holder.evictions for holder in holders) == evicted
