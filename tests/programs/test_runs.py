"""Pieces of a step under way, and attempts that make them anew."""

from __future__ import annotations

import anyio

from acaciaramp.programs.api import Read
from acaciaramp.programs.runs import Run
from tests import builders as build


def read(generation: int = 0, cursor: int = 0) -> Read:
    return Read(
        program=build.PROGRAM,
        workspace=build.WORKSPACE,
        number=build.FIRST_STEP,
        generation=generation,
        cursor=cursor,
    )


async def new_run() -> Run:
    return Run(keep=True)


def run_with(*pieces: bytes) -> Run:
    run = anyio.run(new_run)
    for piece in pieces:
        run.add(piece)
    return run


def test_reader_gets_what_it_does_not_have() -> None:
    page = run_with(b'a', b'b', b'c').page(read(cursor=1))
    assert page.pieces == [b'b', b'c']
    assert page.cursor == 3


def test_attempt_that_repeats_itself_goes_unnoticed() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    for piece in (b'a', b'b', b'c'):
        run.add(piece)
    page = run.page(read(cursor=2))
    assert (page.generation, page.pieces) == (0, [b'c'])


def test_attempt_that_differs_raises_the_generation() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    run.add(b'a')
    run.add(b'x')
    page = run.page(read(generation=0, cursor=2))
    assert (page.generation, page.pieces) == (1, [b'a', b'x'])


def test_attempt_that_says_less_raises_the_generation() -> None:
    run = run_with(b'a', b'b')
    run.restart()
    run.add(b'a')
    run.finish(build.answer())
    assert run.page(read(cursor=2)).generation == 1
