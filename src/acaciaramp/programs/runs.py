"""Steps under way: what came so far, and waking those who wait for more."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from acaciaramp.programs.api import Page

if TYPE_CHECKING:
    from acaciaramp.errors import Refusal
    from acaciaramp.programs.api import Read
    from acaciaramp.records import Answer


class Run:
    """One step under way on its home instance.

    A new attempt makes the pieces anew. As long as it repeats what was read
    already, readers notice nothing; when it differs, the generation rises.

    Attributes:
        scope: Cancels the step's task.
        keep: Whether the step goes on when its caller has gone.
        generation: Rises when pieces that were read are no longer true.
        pieces: The pieces so far.
        answer: The whole answer once it is there.
        refusal: Why there will be no answer.
    """

    def __init__(self, *, keep: bool) -> None:
        """Create the run of a step that has just begun."""
        self.scope = anyio.CancelScope()
        self.keep = keep
        self.generation = 0
        self.pieces: list[bytes] = []
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self._replayed: int | None = None
        self._changed = anyio.Event()

    @property
    def is_over(self) -> bool:
        """Whether the step has ended."""
        return self.answer is not None or self.refusal is not None

    def restart(self) -> None:
        """Begin a new attempt, which makes the pieces anew."""
        self._replayed = 0

    def add(self, piece: bytes) -> None:
        """Take the next piece of the attempt under way."""
        if self._is_replay(piece):
            return
        self.pieces.append(piece)
        self._notify()

    def finish(self, answer: Answer) -> None:
        """End the run with its whole answer."""
        if self._replayed is not None and self._replayed < len(self.pieces):
            self._cut(self._replayed)
        self.answer = answer
        self._notify()

    def fail(self, refusal: Refusal) -> None:
        """End the run without an answer."""
        self.refusal = refusal
        self._notify()

    async def wait_news(self, req: Read) -> None:
        """Return once a reader can be told more than it has."""
        while not self._has_news(req):
            await self.wait_change()

    def page(self, req: Read) -> Page:
        """Return all that a reader does not have.

        A reader of an older generation gets the pieces from the first one.
        """
        start = req.cursor if req.generation == self.generation else 0
        if req.is_whole:
            start = len(self.pieces)
        return Page(
            generation=self.generation,
            cursor=len(self.pieces),
            pieces=self.pieces[start:],
            answer=self.answer,
            refusal=self.refusal,
        )

    async def wait_change(self) -> None:
        """Return at the next piece or at the end."""
        await self._changed.wait()

    def _has_news(self, req: Read) -> bool:
        if self.is_over:
            return True
        if req.is_whole:
            return False
        is_behind = req.cursor < len(self.pieces)
        return is_behind or req.generation != self.generation

    def _is_replay(self, piece: bytes) -> bool:
        if self._replayed is None:
            return False
        if self._replayed == len(self.pieces):
            self._replayed = None
            return False
        if self.pieces[self._replayed] == piece:
            self._replayed += 1
            return True
        self._cut(self._replayed)
        self._replayed = None
        return False

    def _cut(self, length: int) -> None:
        self.pieces = self.pieces[:length]
        self.generation += 1

    def _notify(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()
