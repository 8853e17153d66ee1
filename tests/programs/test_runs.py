"""Pieces of a running step, and attempts that generate them again."""

from __future__ import annotations

import anyio

from acaciaramp.programs.api import Read
from acaciaramp.programs.runs import StepRun
from tests import builders as build


def make_read(generation: int = 0, cursor: int = 0) -> Read:
    return Read(
        program=build.PROGRAM,
        workspace=build.WORKSPACE,
        number=build.FIRST_STEP,
        generation=generation,
        cursor=cursor,
    )


async def make_run() -> StepRun:
    return StepRun(keep=True)


def run_with(*pieces: bytes) -> StepRun:
    run = anyio.run(make_run)
    for piece in pieces:
        run.append_piece(piece)
    return run


def test_page_has_the_pieces_after_the_cursor() -> None:
    page = run_with(b'a', b'b', b'c').make_page(make_read(cursor=1))
    assert page.pieces == [b'b', b'c']
    assert page.cursor == 3


def test_identical_new_attempt_keeps_the_generation() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    for piece in (b'a', b'b', b'c'):
        run.append_piece(piece)
    page = run.make_page(make_read(cursor=2))
    assert (page.generation, page.pieces) == (0, [b'c'])


def test_different_new_attempt_increments_the_generation() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    run.append_piece(b'a')
    run.append_piece(b'x')
    page = run.make_page(make_read(generation=0, cursor=2))
    assert (page.generation, page.pieces) == (1, [b'a', b'x'])


def test_shorter_new_attempt_increments_the_generation() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    run.append_piece(b'a')
    run.finish(build.answer())
    assert run.make_page(make_read(cursor=2)).generation == 1
