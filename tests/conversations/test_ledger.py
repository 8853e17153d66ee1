"""The ledger enforces token budgets and returns retained turns."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.conversations.ledger import (
    ACCOUNT_RETENTION_MS,
    ENDED_RETENTION_MS,
    EXPIRY_MARGIN_MS,
    SWEEP_INTERVAL_COMMANDS,
    Ledger,
)
from acaciaramp.conversations.messages import (
    BegunStream,
    CloseReply,
    CloseTurn,
    OpenOutcome,
    OpenReply,
    OpenTurn,
    Reservation,
    RetainedTurn,
    StreamOrigin,
    TurnKey,
)
from acaciaramp.ids import ProgramId, WorkspaceId
from tests import builders as build

PROGRAM = ProgramId('program')


def key(attempt: str, workspace: WorkspaceId = build.WORKSPACE) -> TurnKey:
    return TurnKey(workspace, attempt)


def open_turn(ledger: Ledger, attempt: str, **changes: Any) -> OpenReply:
    reservation = Reservation(program=PROGRAM, most_tokens=30, budget=100)
    fields = {'turn': key(attempt), 'reservation': reservation} | changes
    reply = ledger.apply(msgspec.msgpack.encode(OpenTurn(**fields)))
    assert isinstance(reply, OpenReply)
    return reply


def close_turn(ledger: Ledger, attempt: str, **changes: Any) -> None:
    fields: dict[str, Any] = {'turn': key(attempt), 'program': PROGRAM}
    fields |= changes
    reply = ledger.apply(msgspec.msgpack.encode(CloseTurn(**fields)))
    assert isinstance(reply, CloseReply)


def retain(
    ledger: Ledger, attempt: str, content: bytes, previous: str | None = None
) -> None:
    kept = RetainedTurn(previous=previous, content=content, until_ms=1_000)
    close_turn(ledger, attempt, program=None, kept=kept)


def sweep(ledger: Ledger, at_ms: int) -> None:
    """Let the ledger remove what has expired at a time."""
    for number in range(SWEEP_INTERVAL_COMMANDS):
        close_turn(ledger, f'sweep-{number}', program=None, at_ms=at_ms)


def test_open_turns_count_with_their_maximum() -> None:
    ledger = Ledger()
    outcomes = [open_turn(ledger, name).outcome for name in 'abcd']
    assert outcomes == [OpenOutcome.OPENED] * 3 + [OpenOutcome.EXHAUSTED]


def test_a_settled_turn_counts_its_generated_tokens() -> None:
    ledger = Ledger()
    for name in 'abc':
        open_turn(ledger, name)
    close_turn(ledger, 'a', tokens=10)
    assert open_turn(ledger, 'd').spent == 100
    assert open_turn(ledger, 'e').outcome is OpenOutcome.EXHAUSTED


def test_commands_are_idempotent() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a')
    assert open_turn(ledger, 'a').spent == 30
    close_turn(ledger, 'a', tokens=10)
    close_turn(ledger, 'a', tokens=10)
    assert ledger.account(key('a'), PROGRAM).spent == 10


def test_only_the_first_turn_of_a_program_is_new() -> None:
    ledger = Ledger()
    assert open_turn(ledger, 'a').is_new
    assert not open_turn(ledger, 'b').is_new


def test_a_program_whose_turns_were_refused_is_still_unused() -> None:
    """Guards against refused programs that count as running when they return."""
    ledger = Ledger()
    assert open_turn(ledger, 'a').is_unused
    assert not open_turn(ledger, 'b').is_unused
    close_turn(ledger, 'a')
    close_turn(ledger, 'b')
    returned = open_turn(ledger, 'c')
    assert returned.is_unused
    assert not returned.is_new
    close_turn(ledger, 'c', tokens=1)
    assert not open_turn(ledger, 'd').is_unused


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(1, 60), st.integers(0, 60)),
        max_size=60,
    )
)
def test_used_and_reserved_tokens_never_exceed_the_budget(
    steps: list[tuple[int, int, int]],
) -> None:
    ledger = Ledger()
    in_flight: dict[str, int] = {}
    generated = 0
    for number, (open_count, max_tokens, tokens) in enumerate(steps):
        for attempt in list(in_flight)[open_count:]:
            settled = min(tokens, in_flight.pop(attempt))
            generated += settled
            close_turn(ledger, attempt, tokens=settled)
        reservation = Reservation(
            program=PROGRAM, most_tokens=max_tokens, budget=100
        )
        reply = open_turn(ledger, str(number), reservation=reservation)
        if reply.outcome is OpenOutcome.OPENED:
            in_flight[str(number)] = max_tokens
        assert generated + sum(in_flight.values()) <= 100


def test_a_chain_has_its_turns_oldest_first() -> None:
    ledger = Ledger()
    retain(ledger, 'a', b'1')
    retain(ledger, 'b', b'2', previous='a')
    reply = open_turn(ledger, 'c', reservation=None, previous='b')
    assert reply == OpenReply(OpenOutcome.OPENED, b'12')


def test_a_chain_that_the_sender_has_is_left_out() -> None:
    ledger = Ledger()
    retain(ledger, 'a', b'1')
    reply = open_turn(
        ledger, 'b', reservation=None, previous='a', has_chain=True
    )
    assert reply == OpenReply(OpenOutcome.OPENED)


def test_a_turn_of_another_workspace_is_unknown() -> None:
    ledger = Ledger()
    retain(ledger, 'a', b'1')
    reply = open_turn(
        ledger,
        'b',
        turn=key('b', WorkspaceId('other')),
        reservation=None,
        previous='a',
    )
    assert reply.outcome is OpenOutcome.UNKNOWN_TURN


def test_an_unknown_previous_turn_reserves_nothing() -> None:
    ledger = Ledger()
    reply = open_turn(ledger, 'b', previous='none')
    assert reply.outcome is OpenOutcome.UNKNOWN_TURN
    assert ledger.account(key('b'), PROGRAM).spent == 0


def test_a_snapshot_restores_the_whole_state() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a')
    retain(ledger, 'b', b'1')
    restored = Ledger()
    restored.restore(ledger.snapshot())
    assert restored.chain_of(key('b')) == b'1'
    assert restored.account(key('a'), PROGRAM).spent == 30
    assert restored.snapshot() == ledger.snapshot()


def test_expired_turns_are_removed_unless_continued() -> None:
    ledger = Ledger()
    retain(ledger, 'old', b'1')
    retain(ledger, 'base', b'2')
    kept = RetainedTurn(previous='base', content=b'3', until_ms=9_000)
    close_turn(ledger, 'next', program=None, kept=kept)
    sweep(ledger, at_ms=1_000 + EXPIRY_MARGIN_MS)
    assert ledger.chain_of(key('old')) == b'1'
    sweep(ledger, at_ms=1_001 + EXPIRY_MARGIN_MS)
    assert ledger.chain_of(key('old')) is None
    assert ledger.chain_of(key('next')) == b'23'


def test_a_turn_is_kept_until_the_one_that_continues_it_ends() -> None:
    ledger = Ledger()
    retain(ledger, 'a', b'1')
    open_turn(ledger, 'b', previous='a', at_ms=900, lasts_ms=3_000)
    sweep(ledger, at_ms=3_900 + EXPIRY_MARGIN_MS)
    retain(ledger, 'b', b'2', previous='a')
    assert ledger.chain_of(key('b')) == b'12'


def test_a_turn_that_is_not_opened_does_not_keep_the_one_before() -> None:
    ledger = Ledger()
    retain(ledger, 'a', b'1')
    too_large = Reservation(program=PROGRAM, most_tokens=30, budget=20)
    open_turn(
        ledger,
        'b',
        reservation=too_large,
        previous='a',
        at_ms=900,
        lasts_ms=99_000,
    )
    sweep(ledger, at_ms=50_000)
    assert ledger.chain_of(key('a')) is None


def test_a_turn_is_not_stored_without_the_one_that_it_continues() -> None:
    ledger = Ledger()
    kept = RetainedTurn(previous='gone', content=b'2', until_ms=1_000)
    command = CloseTurn(turn=key('b'), program=PROGRAM, tokens=20, kept=kept)
    open_turn(ledger, 'b')
    reply = ledger.apply(msgspec.msgpack.encode(command))
    assert reply == CloseReply(is_stored=False)
    assert ledger.chain_of(key('b')) is None
    assert ledger.account(key('b'), PROGRAM).spent == 20


# Each turn ends the time in the first member after the one before was opened,
# and is opened the time in the second member after that one ended.
@given(st.lists(st.tuples(st.integers(0, 99), st.integers(0, 20_000))))
def test_a_stored_chain_is_whole(turns: list[tuple[int, int]]) -> None:
    ledger = Ledger()
    now_ms = 0
    stored: list[str] = []
    for number, (length_ms, pause_ms) in enumerate(turns):
        previous = stored[-1] if stored else None
        opened = open_turn(
            ledger,
            str(number),
            reservation=None,
            previous=previous,
            at_ms=now_ms,
            lasts_ms=99,
        )
        if opened.outcome is not OpenOutcome.OPENED:
            stored = []
            continue
        now_ms += length_ms
        sweep(ledger, at_ms=now_ms)
        kept = RetainedTurn(
            previous=previous, content=b'%d.' % number, until_ms=now_ms + 1_000
        )
        close_turn(ledger, str(number), program=None, kept=kept, at_ms=now_ms)
        stored.append(str(number))
        expected = ''.join(f'{name}.' for name in stored).encode()
        assert ledger.chain_of(key(stored[-1])) == expected
        now_ms += pause_ms
        sweep(ledger, at_ms=now_ms)


def test_accounts_are_kept_for_their_retention_time() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a')
    for number in range(300):
        close_turn(
            ledger, str(number), program=None, at_ms=ACCOUNT_RETENTION_MS - 1
        )
    assert ledger.account(key('a'), PROGRAM).spent == 30


def test_a_late_duplicate_does_not_reserve_for_an_ended_turn() -> None:
    ledger = Ledger()
    close_turn(ledger, 'a')
    assert open_turn(ledger, 'a').outcome is OpenOutcome.ENDED
    restored = Ledger()
    restored.restore(ledger.snapshot())
    assert open_turn(restored, 'a').outcome is OpenOutcome.ENDED
    assert restored.account(key('a'), PROGRAM).spent == 0


def test_keys_of_ended_turns_expire() -> None:
    ledger = Ledger()
    close_turn(ledger, 'a')
    for number in range(300):
        late_ms = ENDED_RETENTION_MS + 1
        close_turn(ledger, str(number), program=None, at_ms=late_ms)
    assert open_turn(ledger, 'a').outcome is OpenOutcome.OPENED


def test_replicas_remove_expired_turns_at_the_same_command() -> None:
    original = Ledger()
    retain(original, 'old', b'content')
    for number in range(200):
        open_turn(original, f'a{number}')
    restored = Ledger()
    restored.restore(original.snapshot())
    for number in range(200):
        for ledger in (original, restored):
            open_turn(ledger, f'b{number}', at_ms=5_000 + EXPIRY_MARGIN_MS)
        assert restored.snapshot() == original.snapshot()
    assert original.chain_of(key('old')) is None


def begun(version: str, number: int = 1, until_ms: int = 1_000) -> BegunStream:
    origin = StreamOrigin(build.MODEL, version)
    return BegunStream(origin=origin, number=number, until_ms=until_ms)


def resume(ledger: Ledger, attempt: str, **changes: Any) -> OpenReply:
    return open_turn(ledger, 'reader', resumes=attempt, **changes)


def test_origin_of_a_begun_stream_is_returned_to_those_that_resume_it() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a', begins=begun('v1'))
    reply = resume(ledger, 'a')
    assert reply.origin == StreamOrigin(build.MODEL, 'v1')
    assert reply.spent == 60


def test_an_unknown_stream_reserves_nothing() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a', begins=begun('v1'))
    assert resume(ledger, 'b').outcome is OpenOutcome.UNKNOWN_STREAM
    foreign = key('reader', WorkspaceId('other'))
    reply = resume(ledger, 'a', turn=foreign)
    assert reply.outcome is OpenOutcome.UNKNOWN_STREAM
    assert ledger.account(key('a'), PROGRAM).spent == 30


def test_the_origin_with_the_highest_number_holds_in_any_order() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a', begins=begun('v2', 2), reservation=None)
    open_turn(ledger, 'a', begins=begun('v1', 1))
    assert resume(ledger, 'a').origin == StreamOrigin(build.MODEL, 'v2')


def test_a_turn_that_is_not_opened_records_no_origin() -> None:
    ledger = Ledger()
    for name in 'abc':
        open_turn(ledger, name)
    reply = open_turn(ledger, 'd', begins=begun('v1'))
    assert reply.outcome is OpenOutcome.EXHAUSTED
    unknown = resume(ledger, 'd', reservation=None)
    assert unknown.outcome is OpenOutcome.UNKNOWN_STREAM


def test_origins_are_kept_in_snapshots_until_they_expire() -> None:
    ledger = Ledger()
    open_turn(ledger, 'a', begins=begun('v1', until_ms=1_000))
    restored = Ledger()
    restored.restore(ledger.snapshot())
    assert resume(restored, 'a').origin == StreamOrigin(build.MODEL, 'v1')
    for number in range(300):
        open_turn(restored, f'x{number}', reservation=None, at_ms=1_001)
    assert resume(restored, 'a').outcome is OpenOutcome.UNKNOWN_STREAM
