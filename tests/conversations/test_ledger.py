"""Budgets hold and kept turns are found, by the ledger's commands."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.conversations.ledger import (
    ACCOUNT_KEPT_MS,
    ENDED_KEPT_MS,
    Ledger,
)
from acaciaramp.conversations.messages import (
    CloseReply,
    CloseTurn,
    KeptTurn,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    TurnKey,
)
from acaciaramp.ids import ProgramId, WorkspaceId
from tests import builders as build

PROGRAM = ProgramId('program')


def key(attempt: str, workspace: WorkspaceId = build.WORKSPACE) -> TurnKey:
    return TurnKey(workspace, attempt)


def opened(ledger: Ledger, attempt: str, **changes: Any) -> OpenReply:
    reservation = Reservation(program=PROGRAM, most_tokens=30, budget=100)
    members = {'turn': key(attempt), 'reservation': reservation} | changes
    reply = ledger.apply(msgspec.msgpack.encode(OpenTurn(**members)))
    assert isinstance(reply, OpenReply)
    return reply


def closed(ledger: Ledger, attempt: str, **changes: Any) -> None:
    members: dict[str, Any] = {'turn': key(attempt), 'program': PROGRAM}
    members |= changes
    reply = ledger.apply(msgspec.msgpack.encode(CloseTurn(**members)))
    assert isinstance(reply, CloseReply)


def keep(
    ledger: Ledger, attempt: str, content: bytes, previous: str | None = None
) -> None:
    kept = KeptTurn(previous=previous, content=content, until_ms=1_000)
    closed(ledger, attempt, program=None, kept=kept)


def test_turns_under_way_count_at_their_most() -> None:
    ledger = Ledger()
    outcomes = [opened(ledger, name).outcome for name in 'abcd']
    assert outcomes == [OpenOutcome.OPENED] * 3 + [OpenOutcome.EXHAUSTED]


def test_a_settled_turn_counts_as_what_it_generated() -> None:
    ledger = Ledger()
    for name in 'abc':
        opened(ledger, name)
    closed(ledger, 'a', tokens=10)
    assert opened(ledger, 'd').spent == 100
    assert opened(ledger, 'e').outcome is OpenOutcome.EXHAUSTED


def test_a_repeated_command_changes_nothing() -> None:
    ledger = Ledger()
    opened(ledger, 'a')
    assert opened(ledger, 'a').spent == 30
    closed(ledger, 'a', tokens=10)
    closed(ledger, 'a', tokens=10)
    assert ledger.account(key('a'), PROGRAM).spent == 10


def test_only_the_first_turn_is_new() -> None:
    ledger = Ledger()
    assert opened(ledger, 'a').is_new
    assert not opened(ledger, 'b').is_new


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(1, 60), st.integers(0, 60)),
        max_size=60,
    )
)
def test_what_ran_never_exceeds_the_budget(
    steps: list[tuple[int, int, int]],
) -> None:
    ledger = Ledger()
    under_way: dict[str, int] = {}
    generated = 0
    for number, (slot, most, tokens) in enumerate(steps):
        for attempt in list(under_way)[slot:]:
            settled = min(tokens, under_way.pop(attempt))
            generated += settled
            closed(ledger, attempt, tokens=settled)
        wanted = Reservation(program=PROGRAM, most_tokens=most, budget=100)
        reply = opened(ledger, str(number), reservation=wanted)
        if reply.outcome is OpenOutcome.OPENED:
            under_way[str(number)] = most
        assert generated + sum(under_way.values()) <= 100


def test_a_chain_is_its_turns_oldest_first() -> None:
    ledger = Ledger()
    keep(ledger, 'a', b'1')
    keep(ledger, 'b', b'2', previous='a')
    reply = opened(ledger, 'c', reservation=None, previous='b')
    assert reply == OpenReply(OpenOutcome.OPENED, b'12')


def test_a_chain_that_the_caller_has_is_not_sent() -> None:
    ledger = Ledger()
    keep(ledger, 'a', b'1')
    reply = opened(ledger, 'b', reservation=None, previous='a', has_chain=True)
    assert reply == OpenReply(OpenOutcome.OPENED)


def test_turns_of_other_workspaces_are_unknown() -> None:
    ledger = Ledger()
    keep(ledger, 'a', b'1')
    reply = opened(
        ledger,
        'b',
        turn=key('b', WorkspaceId('other')),
        reservation=None,
        previous='a',
    )
    assert reply.outcome is OpenOutcome.UNKNOWN_TURN


def test_an_unknown_turn_reserves_nothing() -> None:
    ledger = Ledger()
    reply = opened(ledger, 'b', previous='none')
    assert reply.outcome is OpenOutcome.UNKNOWN_TURN
    assert ledger.account(key('b'), PROGRAM).spent == 0


def test_a_snapshot_holds_everything() -> None:
    ledger = Ledger()
    opened(ledger, 'a')
    keep(ledger, 'b', b'1')
    again = Ledger()
    again.restore(ledger.snapshot())
    assert again.chain_of(key('b')) == b'1'
    assert again.account(key('a'), PROGRAM).spent == 30
    assert again.snapshot() == ledger.snapshot()


def test_turns_go_when_their_time_is_over_unless_continued() -> None:
    ledger = Ledger()
    keep(ledger, 'old', b'1')
    keep(ledger, 'base', b'2')
    kept = KeptTurn(previous='base', content=b'3', until_ms=9_000)
    closed(ledger, 'next', program=None, kept=kept)
    for number in range(300):
        closed(ledger, str(number), program=None, at_ms=2_000)
    assert ledger.chain_of(key('old')) is None
    assert ledger.chain_of(key('next')) == b'23'


def test_budgets_outlast_the_time_of_turns() -> None:
    ledger = Ledger()
    opened(ledger, 'a')
    for number in range(300):
        closed(ledger, str(number), program=None, at_ms=ACCOUNT_KEPT_MS - 1)
    assert ledger.account(key('a'), PROGRAM).spent == 30


def test_a_turn_that_has_ended_is_not_reserved_by_a_late_copy() -> None:
    ledger = Ledger()
    closed(ledger, 'a')
    assert opened(ledger, 'a').outcome is OpenOutcome.ENDED
    again = Ledger()
    again.restore(ledger.snapshot())
    assert opened(again, 'a').outcome is OpenOutcome.ENDED
    assert again.account(key('a'), PROGRAM).spent == 0


def test_ends_of_turns_are_forgotten_after_their_time() -> None:
    ledger = Ledger()
    closed(ledger, 'a')
    for number in range(300):
        late_ms = ENDED_KEPT_MS + 1
        closed(ledger, str(number), program=None, at_ms=late_ms)
    assert opened(ledger, 'a').outcome is OpenOutcome.OPENED
