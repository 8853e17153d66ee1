"""Differences between versions of a table, and what they cost on a link."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from acaciaramp.coordination.codec import pack_table
from acaciaramp.coordination.tables import (
    DeltaError,
    HeldTable,
    TableHistory,
    apply_delta,
    make_delta,
)

ROUTES = 1_400


def table(version: int, **changes: Any) -> bytes:
    """Return a table with many routes; ``changes`` replace members of one."""
    routes: list[dict[str, Any]] = [
        {'name': f'r-{number}', 'pathPrefix': f'/p{number}/', 'timeoutMs': 3000}
        for number in range(ROUTES)
    ]
    routes[700] |= changes
    return json.dumps({'version': version, 'routes': routes}).encode()


@given(st.binary(), st.binary())
def test_any_version_follows_from_any_other(base: bytes, new: bytes) -> None:
    assert apply_delta(base, make_delta(base, new)) == new


@given(st.lists(st.sampled_from([b'{a', b'{b', b'{c', b'd'])), st.randoms())
def test_parts_may_move_and_repeat(parts: list[bytes], rng: Any) -> None:
    base = b''.join(parts)
    rng.shuffle(parts)
    new = b''.join(parts)
    assert apply_delta(base, make_delta(base, new)) == new


def test_small_change_of_a_large_table_is_small() -> None:
    base = table(1)
    new = table(2, timeoutMs=400)
    delta = make_delta(base, new)
    assert apply_delta(base, delta) == new
    assert len(delta) < len(pack_table(new)) / 20


def test_difference_from_another_table_is_refused() -> None:
    delta = make_delta(table(1), table(2))
    with pytest.raises(DeltaError):
        apply_delta(table(3), delta)
    with pytest.raises(DeltaError):
        apply_delta(table(1), delta[:-2])


def test_history_keeps_the_latest_versions() -> None:
    history = TableHistory()
    for version in range(1, 21):
        history.record(version, pack_table(table(version)))
    assert history.delta_from(1) is None
    assert history.delta_from(0) is None
    held = HeldTable()
    held.replace(15, pack_table(table(15)))
    delta = history.delta_from(15)
    assert delta is not None
    held.update(20, delta)
    assert (held.version, held.body) == (20, table(20))


def test_difference_that_is_no_smaller_than_the_table_is_not_sent() -> None:
    history = TableHistory()
    history.record(1, pack_table(b'{"a":1}'))
    history.record(2, pack_table(b'[2]'))
    assert history.delta_from(1) is None
